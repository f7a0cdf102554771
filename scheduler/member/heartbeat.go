package member

import (
	"cmp"
	"context"
	"slices"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// serve starts the goroutines of an installed link. The caller holds the lock.
func (g *Group) serve(l *link) {
	g.spawn(func(context.Context) { g.send(l) })
	g.spawn(func(context.Context) { g.receive(l) })
	g.spawn(func(ctx context.Context) { g.answer(ctx, l) })
	if g.run.closed {
		l.close()
	}
}

// send writes heartbeats until the link ends.
func (g *Group) send(l *link) {
	defer g.drop(l)
	interval := l.peer.cadence().interval
	next := time.NewTimer(0)
	defer next.Stop()
	var sent time.Time
	for {
		select {
		case <-l.done:
			return
		case <-l.kick:
			// Answers to each other's heartbeats must not become a storm.
			if !l.rest(kickGap - time.Since(sent)) {
				return
			}
		case <-next.C:
		}
		sent = time.Now()
		next.Reset(interval)
		_ = l.control.SetWriteDeadline(time.Now().Add(connectionWriteTimeout))
		if err := writeFrame(l.control, g.compose(l)); err != nil {
			return
		}
	}
}

// compose builds the next heartbeat of a link.
func (g *Group) compose(l *link) *schema.Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l.sent++
	h := &schema.Heartbeat{
		Sequence: l.sent,
		Echo:     l.received,
		Config:   g.config,
		Leaving:  g.self.State == platform.StateLeaving,
		Doubted:  l.peer.doubt(now),
	}
	h.Joining = !g.settled()
	if h.Leaving && l.toldLeaving == 0 {
		l.toldLeaving = l.sent
	}
	if l.toldIncarnation != g.incarnation {
		l.toldIncarnation = g.incarnation
		h.Incarnation = g.incarnation
	}
	if !l.peer.local {
		h.Contacts = g.composeContacts(l)
		return h
	}
	if l.sent == 1 {
		// Introduces a new instance to those it does not know yet.
		h.Contacts = g.composeContacts(l)
	}
	h.Values = g.composeValues(l)
	h.Suspects = g.composeSuspects(l, now)
	h.Vouchers = g.composeVouchers(l, now)
	return h
}

// composeContacts returns the local members if they have changed.
func (g *Group) composeContacts(l *link) []*schema.Peer {
	if l.sent > 1 && l.toldContacts == g.contacts {
		return nil
	}
	l.toldContacts = g.contacts
	// With the sender itself the list is never empty, which would mean that
	// nothing has changed.
	all := []*schema.Peer{toPeer(g.self, g.incarnation)}
	for _, p := range g.peers {
		if p.local && !p.unwanted && p.member() && p != l.peer {
			all = append(all, toPeer(p.inst, p.incarnation))
		}
	}
	return all
}

// composeValues returns the values that the peer does not have yet, oldest
// first. Those that do not fit go with later heartbeats.
func (g *Group) composeValues(l *link) []*schema.Value {
	if l.toldValues == g.version {
		return nil
	}
	var keys []string
	for key, v := range g.values {
		if v.version > l.toldValues {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(g.values[a].version, g.values[b].version) })
	var changed []*schema.Value
	for size, i := 0, 0; i < len(keys); i++ {
		v := g.values[keys[i]]
		size += len(keys[i]) + len(v.content)
		if i > 0 && size > maxValue {
			return changed
		}
		changed = append(changed, &schema.Value{Key: keys[i], Content: v.content, Deleted: v.deleted})
		l.toldValues = v.version
	}
	return changed
}

// composeSuspects asks the peer about instances that are silent here.
func (g *Group) composeSuspects(l *link, now time.Time) []*schema.Sighting {
	var all []*schema.Sighting
	for name, p := range g.peers {
		if !p.local || p == l.peer || p.heard.IsZero() || !p.silent(now) {
			continue
		}
		if p.dead && l.sent%deadReminder != 0 {
			continue
		}
		age := now.Sub(p.heard).Milliseconds()
		all = append(all, &schema.Sighting{Name: name, Incarnation: p.incarnation, Age: uint32(age)})
	}
	return all
}

// composeVouchers answers the peer's suspicions.
func (g *Group) composeVouchers(l *link, now time.Time) []*schema.Sighting {
	var all []*schema.Sighting
	for name := range l.vouch {
		p := g.peers[name]
		if p != nil && p.known() && !p.silent(now) {
			age := now.Sub(p.direct).Milliseconds()
			all = append(all, &schema.Sighting{Name: name, Incarnation: p.incarnation, Age: uint32(age)})
		}
	}
	clear(l.vouch)
	return all
}

// receive reads heartbeats until the link ends.
func (g *Group) receive(l *link) {
	defer g.drop(l)
	for {
		h := &schema.Heartbeat{}
		if err := readFrame(l.reader, h); err != nil {
			return
		}
		if !g.apply(l, h) {
			return
		}
	}
}

// apply takes over one heartbeat. It returns false if the link was replaced.
func (g *Group) apply(l *link, h *schema.Heartbeat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.peer.link != l {
		return false
	}
	now := time.Now()
	l.received = max(l.received, h.GetSequence())
	if h.GetEcho() > l.echo {
		l.echo, l.acked = h.GetEcho(), now
	}
	g.applySelf(h)
	g.applyPeer(l, h, now)
	for _, s := range h.GetSuspects() {
		g.applySuspect(l, s, now)
	}
	for _, s := range h.GetVouchers() {
		g.applyVoucher(s, now)
	}
	g.applyContacts(l, h.GetContacts(), now)
	return true
}

// applySelf refutes a doubt about the own instance.
func (g *Group) applySelf(h *schema.Heartbeat) {
	if d := h.GetDoubted(); d >= g.incarnation {
		g.incarnation = d + 1
		g.log.Info("refuted a suspicion", "incarnation", g.incarnation)
		g.wake(func(*peer) bool { return true })
	}
}

// applyPeer records the sender's own state.
func (g *Group) applyPeer(l *link, h *schema.Heartbeat, now time.Time) {
	p := l.peer
	l.incarnation = max(l.incarnation, h.GetIncarnation())
	changed := p.hear(l.incarnation, now)
	if l.incarnation < p.incarnation {
		// The sender must exceed the incarnation under which it is known.
		l.wake()
		return
	}
	p.direct = now
	if p.dead {
		l.wake()
	}
	if p.joining && !h.GetJoining() {
		p.joining = false
		changed = true
	}
	if h.GetLeaving() && p.inst.State != platform.StateLeaving {
		p.inst.State = platform.StateLeaving
		changed = true
	}
	if changed {
		g.changed()
	}
	if p.config != h.GetConfig() || len(h.GetValues()) > 0 {
		p.config = h.GetConfig()
		g.notify()
	}
	for _, v := range h.GetValues() {
		if v.GetDeleted() {
			delete(p.values, v.GetKey())
			continue
		}
		p.values[v.GetKey()] = v.GetContent()
	}
}

// applySuspect vouches for an instance that the sender suspects, and passes
// the doubt on so that the instance can refute it.
func (g *Group) applySuspect(l *link, s *schema.Sighting, now time.Time) {
	p := g.peers[s.GetName()]
	if g.mute || p == nil || !p.known() || p.silent(now) {
		return
	}
	l.vouch[s.GetName()] = true
	l.wake()
	// While vouchers reach the sender, there is nothing to refute.
	doubted := time.Duration(s.GetAge())*time.Millisecond > suspectAfter
	if doubted && s.GetIncarnation() >= p.incarnation && p.link != nil {
		p.relay = max(p.relay, s.GetIncarnation())
		p.link.wake()
	}
}

// applyVoucher takes over that another instance has heard from a silent one.
func (g *Group) applyVoucher(s *schema.Sighting, now time.Time) {
	p := g.peers[s.GetName()]
	if p == nil {
		return
	}
	age := time.Duration(s.GetAge()) * time.Millisecond
	if p.hear(s.GetIncarnation(), now.Add(-age)) {
		g.changed()
	}
}

// applyContacts takes over the instances that the sender knows. Those of its
// own other data centre count as heard from as long as it keeps listing them.
func (g *Group) applyContacts(l *link, contacts []*schema.Peer, now time.Time) {
	if contacts != nil {
		l.contacts = slices.Clone(contacts)
	}
	for _, c := range l.contacts {
		if c.GetName() == g.self.Name || c.GetName() == "" {
			continue
		}
		p := g.ensure(fromPeer(c), now)
		if l.peer.local || p.local {
			continue
		}
		changed := p.hear(c.GetIncarnation(), now)
		if c.GetIncarnation() >= p.incarnation && p.silent(now) {
			changed = p.adopt(c) || changed
		}
		if changed {
			g.changed()
		}
	}
	if l.peer.local {
		l.contacts = nil
	}
}
