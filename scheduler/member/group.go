// Package member keeps the membership of instances: heartbeats over one
// session per peer, suspicion, leaving, and calls between instances. It also
// holds the weighted rendezvous hash that assigns keys to instances.
package member

import (
	"context"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
)

// Handler serves one method of calls from other instances. An error with a
// method Kind() string passes its kind to the caller.
type Handler func(ctx context.Context, from platform.Instance, request []byte) (proto.Message, error)

// Group is the membership of instances as one of them sees it.
type Group struct {
	self platform.Instance
	dir  platform.Directory
	tr   Transport
	log  klog.Logger
}

// New returns the group of the instance self. Run starts it.
func New(self platform.Instance, dir platform.Directory, tr Transport, options ...Option) *Group {
	g := &Group{self: self, dir: dir, tr: tr}
	for _, o := range options {
		o(g)
	}
	return g
}

// Option changes a default of New.
type Option func(*Group)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l klog.Logger) Option {
	return func(g *Group) { g.log = l }
}

// Run takes part in the group until ctx ends. It announces nothing when it
// ends; a graceful shutdown calls Leave first.
func (g *Group) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Self returns the own instance with its current state.
func (g *Group) Self() platform.Instance { return g.self }

// Members returns the live and leaving instances of all data centres that
// have been heard from, itself included, ordered by name. A suspected one is
// still a member. Before the group has settled it returns nothing.
func (g *Group) Members() []platform.Instance { return nil }

// Local returns the members in the own data centre.
func (g *Group) Local() []platform.Instance { return nil }

// Peers returns the details of all known peers.
func (g *Group) Peers() []Peer { return nil }

// Listing returns the latest usable listing of the directory.
func (g *Group) Listing() (platform.Listing, bool) { return platform.Listing{}, false }

// Ready is closed when the group has settled: each listed peer of the data
// centre has been heard from, or would by now be considered dead.
func (g *Group) Ready() <-chan struct{} { return nil }

// Subscribe returns a channel that receives a value after each change of the
// members, their application values or the listing. Changes that occur while
// a value is pending are merged into it. The function ends the subscription.
func (g *Group) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }

// SetConfig sets the configuration version in the own heartbeats.
func (g *Group) SetConfig(version uint64) { _ = version }

// SetValue sets an application value in the own heartbeats to the data
// centre; nil content deletes it. It is sent when it has changed.
func (g *Group) SetValue(key string, content []byte) { _, _ = key, content }

// Value returns the latest application value of a peer.
func (g *Group) Value(instance, key string) ([]byte, bool) {
	_, _ = instance, key
	return nil, false
}

// Leave announces that the instance is leaving and waits until all reachable
// peers of the data centre have received it. The group continues to run.
func (g *Group) Leave(ctx context.Context) error {
	_ = ctx
	return nil
}

// Handle sets the handler of a method. It replaces an earlier one.
func (g *Group) Handle(method string, h Handler) { _, _ = method, h }

// Call runs a method on another instance and stores its answer in response.
// The deadline of ctx goes along. The error is *NotSentError if the handler
// did not run, *RemoteError if it failed, otherwise *UnknownError.
func (g *Group) Call(ctx context.Context, instance, method string, request, response proto.Message) error {
	_, _, _ = ctx, request, response
	return &NotSentError{Instance: instance, Method: method, Cause: &UnreachableError{Instance: instance}}
}
