// Package remote provides the platform's services over HTTP and JSON: clients
// that implement the interfaces of package platform, and a handler that serves
// the same protocol from any implementation.
package remote

import (
	"context"
	"net/http"
	"net/url"

	"daisylug.example/scheduler/platform"
)

// Defaults of Options.
const (
	DefaultConnections = 16
	// DefaultWorkerConnections lets 7 instances share the 60 connections that a
	// worker accepts.
	DefaultWorkerConnections = 8
)

// Options limit the number of connections. A zero field means its default.
type Options struct {
	// Connections is the maximum number of connections to each service.
	Connections int
	// WorkerConnections is the maximum number of connections to each worker.
	// Further calls wait for a connection until their context is done.
	WorkerConnections int
}

// New returns clients of the four services at a base URL. The fleet takes the
// workers' addresses from the listings of the directory.
func New(baseURL string, o Options) platform.Platform {
	fleet := NewFleet(NewDirectory(baseURL, o), o)
	return platform.Platform{
		Table:     NewTable(baseURL, o),
		Objects:   NewObjects(baseURL, o),
		Directory: fleet.Directory(),
		Fleet:     fleet,
	}
}

func (o Options) maxServiceConnections() int {
	if o.Connections > 0 {
		return o.Connections
	}
	return DefaultConnections
}

func (o Options) maxWorkerConnections() int {
	if o.WorkerConnections > 0 {
		return o.WorkerConnections
	}
	return DefaultWorkerConnections
}

// Table is a client of a table service.
type Table struct{ client *client }

// NewTable returns a client of the table service at a base URL.
func NewTable(baseURL string, o Options) *Table {
	return &Table{client: newClient("table", baseURL+"/table", o.maxServiceConnections())}
}

type readRequest struct {
	Keys []string `json:"keys"`
}

type scanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// Read implements platform.Table.
func (t *Table) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return call[[]platform.Row](ctx, t.client, readOnly, "/read", readRequest{Keys: keys})
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	q := scanRequest{Prefix: prefix, After: after, Limit: limit}
	return call[[]platform.Row](ctx, t.client, readOnly, "/scan", q)
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, tx platform.Transaction) error {
	return callNoResult(ctx, t.client, "/commit", tx)
}

// Objects is a client of an object store.
type Objects struct{ client *client }

// NewObjects returns a client of the object store at a base URL.
func NewObjects(baseURL string, o Options) *Objects {
	return &Objects{client: newClient("objects", baseURL+"/objects", o.maxServiceConnections())}
}

// Put implements platform.Objects. The server verifies the checksum before it
// stores the content.
func (o *Objects) Put(ctx context.Context, name string, content []byte) error {
	_, err := o.client.send(ctx, mutating, http.MethodPut, objectPath(name), content)
	return err
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.client.send(ctx, readOnly, http.MethodGet, objectPath(name), nil)
}

func objectPath(name string) string { return "?name=" + url.QueryEscape(name) }

// Directory is a client of the directory.
type Directory struct{ client *client }

// NewDirectory returns a client of the directory at a base URL.
func NewDirectory(baseURL string, o Options) *Directory {
	return &Directory{client: newClient("directory", baseURL+"/directory", o.maxServiceConnections())}
}

// List implements platform.Directory.
func (d *Directory) List(ctx context.Context) (platform.Listing, error) {
	return call[platform.Listing](ctx, d.client, readOnly, "/list", empty{})
}
