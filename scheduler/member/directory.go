package member

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

// watch reads the directory at a fixed interval until ctx ends.
func (g *Group) watch(ctx context.Context) error {
	tick := time.NewTicker(directoryInterval)
	defer tick.Stop()
	for {
		g.list(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (g *Group) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	listing, err := g.dir.List(ctx)
	if err != nil {
		g.log.V(1).Info("directory is not available", "error", err)
		return
	}
	g.reconcile(listing, time.Now())
}

// reconcile takes over a listing. It only ever adds peers to dial: whether a
// peer is live, leaving or dead is decided by what is heard from it, because
// the directory lags. A listing without instances is a fault of the directory.
func (g *Group) reconcile(listing platform.Listing, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(listing.Instances) == 0 || listing.AsOf.Before(g.listing.AsOf) {
		return
	}
	for _, p := range g.peers {
		p.listed = false
	}
	for _, i := range listing.Instances {
		if i.Name == g.self.Name {
			continue
		}
		if i.State == platform.StateLeaving && g.peers[i.Name] == nil {
			continue
		}
		p := g.ensure(i, now)
		p.listed = true
		if !p.member() {
			// A replacement may have come up under a new address.
			p.inst = i
		}
	}
	g.dropUnheard()
	g.listing = listing
	g.listed = true
	g.notify()
}

// dropUnheard forgets instances that were once listed, are no longer, and
// were never heard from.
func (g *Group) dropUnheard() {
	for name, p := range g.peers {
		if !p.listed && p.heard.IsZero() && p.link == nil && !p.dialling {
			delete(g.peers, name)
		}
	}
}
