// Package remote connects the platform's services over HTTP and JSON. It has
// the client side, which implements the interfaces of package platform, and a
// handler that serves the same protocol from any implementation.
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
	// DefaultWorkerConnections lets 7 instances share the 60 connections of a
	// worker.
	DefaultWorkerConnections = 8
)

// Options bound the use of connections.
type Options struct {
	// Connections is the largest number of connections to each service.
	Connections int
	// WorkerConnections is the largest number of connections to each worker.
	// Further calls wait for one until their context ends.
	WorkerConnections int
}

// New returns the four services at a base URL. The fleet takes its addresses
// from the answers of the directory.
func New(baseURL string, o Options) platform.Platform {
	fleet := NewFleet(NewDirectory(baseURL, o), o)
	return platform.Platform{
		Table:     NewTable(baseURL, o),
		Objects:   NewObjects(baseURL, o),
		Directory: fleet.Directory(),
		Fleet:     fleet,
	}
}

func (o Options) service() int {
	if o.Connections > 0 {
		return o.Connections
	}
	return DefaultConnections
}

func (o Options) worker() int {
	if o.WorkerConnections > 0 {
		return o.WorkerConnections
	}
	return DefaultWorkerConnections
}

// Table is a client of a table service.
type Table struct{ c *client }

// NewTable returns a client of the table service at a base URL.
func NewTable(baseURL string, o Options) *Table {
	return &Table{c: newClient("table", baseURL+"/table", o.service())}
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
	return call[[]platform.Row](ctx, t.c, reading, "/read", readRequest{Keys: keys})
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	q := scanRequest{Prefix: prefix, After: after, Limit: limit}
	return call[[]platform.Row](ctx, t.c, reading, "/scan", q)
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, tx platform.Transaction) error {
	return order(ctx, t.c, "/commit", tx)
}

// Objects is a client of an object store.
type Objects struct{ c *client }

// NewObjects returns a client of the object store at a base URL.
func NewObjects(baseURL string, o Options) *Objects {
	return &Objects{c: newClient("objects", baseURL+"/objects", o.service())}
}

// Put implements platform.Objects. The server verifies the content's checksum
// before it stores it.
func (o *Objects) Put(ctx context.Context, name string, content []byte) error {
	_, err := o.c.send(ctx, writing, http.MethodPut, objectPath(name), content)
	return err
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.c.send(ctx, reading, http.MethodGet, objectPath(name), nil)
}

func objectPath(name string) string { return "?name=" + url.QueryEscape(name) }

// Directory is a client of the directory.
type Directory struct{ c *client }

// NewDirectory returns a client of the directory at a base URL.
func NewDirectory(baseURL string, o Options) *Directory {
	return &Directory{c: newClient("directory", baseURL+"/directory", o.service())}
}

// List implements platform.Directory.
func (d *Directory) List(ctx context.Context) (platform.Listing, error) {
	return call[platform.Listing](ctx, d.c, reading, "/list", none{})
}
