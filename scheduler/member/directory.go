package member

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

// watchDirectory lists the directory every directoryInterval until ctx ends.
func (g *Group) watchDirectory(ctx context.Context) error {
	ticker := time.NewTicker(directoryInterval)
	defer ticker.Stop()
	for {
		g.refreshListing(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (g *Group) refreshListing(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	listing, err := g.directory.List(ctx)
	if err != nil {
		g.log.V(1).Info("failed to list the directory", "error", err)
		return
	}
	g.reconcile(listing, time.Now())
}

// reconcile applies a listing of the directory. It only adds peers to dial.
// Whether a peer is live, leaving or dead is decided by its heartbeats, because
// the directory lags. A listing without instances is treated as a fault of the
// directory and ignored.
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
		p := g.ensurePeer(i, now)
		p.listed = true
		if !p.isMember() {
			// A replacement may have started under a new address.
			p.instance = i
		}
	}
	g.removeUnheard()
	g.listing = listing
	g.hasListing = true
	g.notifySubscribers()
}

// removeUnheard removes peers that are no longer listed and were never heard
// from.
func (g *Group) removeUnheard() {
	for name, p := range g.peers {
		if !p.listed && p.lastHeard.IsZero() && p.link == nil && !p.dialling {
			delete(g.peers, name)
		}
	}
}
