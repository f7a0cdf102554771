package member

import (
	"cmp"
	"context"
	"slices"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// startLink starts the goroutines of an installed link. The caller holds the lock.
func (g *Group) startLink(l *link) {
	g.spawn(func(context.Context) { g.sendHeartbeats(l) })
	g.spawn(func(context.Context) { g.receiveHeartbeats(l) })
	g.spawn(func(ctx context.Context) { g.serveStreams(ctx, l) })
	if g.run.closed {
		l.close()
	}
}

// sendHeartbeats writes heartbeats, periodically and on request, until the link
// ends.
func (g *Group) sendHeartbeats(l *link) {
	defer g.removeLink(l)
	interval := l.peer.timing().interval
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastSent time.Time
	for {
		select {
		case <-l.done:
			return
		case <-l.heartbeatNow:
			// The gap prevents a storm of heartbeats that trigger each other.
			if !l.wait(minHeartbeatGap - time.Since(lastSent)) {
				return
			}
		case <-timer.C:
		}
		lastSent = time.Now()
		timer.Reset(interval)
		_ = l.control.SetWriteDeadline(time.Now().Add(connectionWriteTimeout))
		if err := writeFrame(l.control, g.buildHeartbeat(l)); err != nil {
			return
		}
	}
}

// buildHeartbeat returns the next heartbeat of a link.
func (g *Group) buildHeartbeat(l *link) *schema.Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l.sentSequence++
	h := &schema.Heartbeat{
		Sequence: l.sentSequence,
		Echo:     l.receivedSequence,
		Config:   g.configVersion,
		Leaving:  g.self.State == platform.StateLeaving,
		Doubted:  l.peer.takeSuspicion(now),
	}
	h.Joining = !g.settled()
	if h.Leaving && l.leavingSequence == 0 {
		l.leavingSequence = l.sentSequence
	}
	if l.announcedIncarnation != g.incarnation {
		l.announcedIncarnation = g.incarnation
		h.Incarnation = g.incarnation
	}
	if !l.peer.local {
		h.Contacts = g.buildContacts(l)
		return h
	}
	if l.sentSequence == 1 {
		// The first heartbeat introduces a new instance to peers it does not know yet.
		h.Contacts = g.buildContacts(l)
	}
	h.Values = g.buildValues(l)
	h.Suspects = g.buildSuspects(l, now)
	h.Vouchers = g.buildVouchers(l, now)
	return h
}

// buildContacts returns the members of the own data centre if they have changed
// since they were last sent on the link.
func (g *Group) buildContacts(l *link) []*schema.Peer {
	if l.sentSequence > 1 && l.announcedContacts == g.contactsVersion {
		return nil
	}
	l.announcedContacts = g.contactsVersion
	// The list includes the sender, so that it is never empty: an empty list means
	// that nothing has changed.
	all := []*schema.Peer{encodePeer(g.self, g.incarnation)}
	for _, p := range g.peers {
		if p.local && !p.unwanted && p.isMember() && p != l.peer {
			all = append(all, encodePeer(p.instance, p.incarnation))
		}
	}
	return all
}

// buildValues returns the values that have not been sent on the link yet, oldest
// first. Values that do not fit are sent with later heartbeats.
func (g *Group) buildValues(l *link) []*schema.Value {
	if l.announcedValues == g.valuesVersion {
		return nil
	}
	var keys []string
	for key, v := range g.values {
		if v.version > l.announcedValues {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(g.values[a].version, g.values[b].version) })
	var changed []*schema.Value
	for size, i := 0, 0; i < len(keys); i++ {
		v := g.values[keys[i]]
		size += len(keys[i]) + len(v.content)
		if i > 0 && size > maxValueSize {
			return changed
		}
		changed = append(changed, &schema.Value{Key: keys[i], Content: v.content, Deleted: v.deleted})
		l.announcedValues = v.version
	}
	return changed
}

// buildSuspects returns the instances from which nothing is heard directly, so
// that the peer can vouch for them.
func (g *Group) buildSuspects(l *link, now time.Time) []*schema.Sighting {
	var all []*schema.Sighting
	for name, p := range g.peers {
		if !p.local || p == l.peer || p.lastHeard.IsZero() || !p.silent(now) {
			continue
		}
		if p.dead && l.sentSequence%deadSuspectPeriod != 0 {
			continue
		}
		age := now.Sub(p.lastHeard).Milliseconds()
		all = append(all, &schema.Sighting{Name: name, Incarnation: p.incarnation, Age: uint32(age)})
	}
	return all
}

// buildVouchers returns the instances suspected by the peer from which this
// instance has heard recently.
func (g *Group) buildVouchers(l *link, now time.Time) []*schema.Sighting {
	var all []*schema.Sighting
	for name := range l.vouchFor {
		p := g.peers[name]
		if p != nil && p.known() && !p.silent(now) {
			age := now.Sub(p.lastDirect).Milliseconds()
			all = append(all, &schema.Sighting{Name: name, Incarnation: p.incarnation, Age: uint32(age)})
		}
	}
	clear(l.vouchFor)
	return all
}

// receiveHeartbeats reads heartbeats until the link ends.
func (g *Group) receiveHeartbeats(l *link) {
	defer g.removeLink(l)
	for {
		h := &schema.Heartbeat{}
		if err := readFrame(l.reader, h); err != nil {
			return
		}
		if !g.applyHeartbeat(l, h) {
			return
		}
	}
}

// applyHeartbeat applies a received heartbeat. It returns false if the link was
// replaced.
func (g *Group) applyHeartbeat(l *link, h *schema.Heartbeat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.peer.link != l {
		return false
	}
	now := time.Now()
	l.receivedSequence = max(l.receivedSequence, h.GetSequence())
	if h.GetEcho() > l.ackedSequence {
		l.ackedSequence, l.ackedAt = h.GetEcho(), now
	}
	g.applyDoubt(h)
	g.applySenderState(l, h, now)
	for _, s := range h.GetSuspects() {
		g.applySuspect(l, s, now)
	}
	for _, s := range h.GetVouchers() {
		g.applyVoucher(s, now)
	}
	g.applyContacts(l, h.GetContacts(), now)
	return true
}

// applyDoubt refutes a suspicion of the sender about the own instance by raising
// its incarnation.
func (g *Group) applyDoubt(h *schema.Heartbeat) {
	if d := h.GetDoubted(); d >= g.incarnation {
		g.incarnation = d + 1
		g.log.Info("refuted a suspicion about this instance", "incarnation", g.incarnation)
		g.triggerHeartbeats(func(*peer) bool { return true })
	}
}

// applySenderState records the state that the sender announces about itself.
func (g *Group) applySenderState(l *link, h *schema.Heartbeat, now time.Time) {
	p := l.peer
	l.incarnation = max(l.incarnation, h.GetIncarnation())
	changed := p.recordAlive(l.incarnation, now)
	if l.incarnation < p.incarnation {
		// The triggered heartbeat asks the sender to raise its incarnation above
		// the known one.
		l.triggerHeartbeat()
		return
	}
	p.lastDirect = now
	if p.dead {
		l.triggerHeartbeat()
	}
	if p.joining && !h.GetJoining() {
		p.joining = false
		changed = true
	}
	if h.GetLeaving() && p.instance.State != platform.StateLeaving {
		p.instance.State = platform.StateLeaving
		changed = true
	}
	if changed {
		g.membersChanged()
	}
	if p.configVersion != h.GetConfig() || len(h.GetValues()) > 0 {
		p.configVersion = h.GetConfig()
		g.notifySubscribers()
	}
	for _, v := range h.GetValues() {
		if v.GetDeleted() {
			delete(p.values, v.GetKey())
			continue
		}
		p.values[v.GetKey()] = v.GetContent()
	}
}

// applySuspect vouches for an instance that the sender suspects, and forwards the
// suspicion so that the instance can refute it.
func (g *Group) applySuspect(l *link, s *schema.Sighting, now time.Time) {
	p := g.peers[s.GetName()]
	if g.vouchersDisabled || p == nil || !p.known() || p.silent(now) {
		return
	}
	l.vouchFor[s.GetName()] = true
	l.triggerHeartbeat()
	// As long as vouchers reach the sender, there is nothing to refute.
	suspected := time.Duration(s.GetAge())*time.Millisecond > suspectTimeout
	if suspected && s.GetIncarnation() >= p.incarnation && p.link != nil {
		p.suspectedIncarnation = max(p.suspectedIncarnation, s.GetIncarnation())
		p.link.triggerHeartbeat()
	}
}

// applyVoucher records that another instance has heard from an instance that is
// silent here.
func (g *Group) applyVoucher(s *schema.Sighting, now time.Time) {
	p := g.peers[s.GetName()]
	if p == nil {
		return
	}
	age := time.Duration(s.GetAge()) * time.Millisecond
	if p.recordAlive(s.GetIncarnation(), now.Add(-age)) {
		g.membersChanged()
	}
}

// applyContacts adds the instances that the sender announces. Those of another
// data centre count as heard from as long as the sender keeps announcing them.
func (g *Group) applyContacts(l *link, contacts []*schema.Peer, now time.Time) {
	if contacts != nil {
		l.contacts = slices.Clone(contacts)
	}
	for _, c := range l.contacts {
		if c.GetName() == g.self.Name || c.GetName() == "" {
			continue
		}
		p := g.ensurePeer(decodePeer(c), now)
		if l.peer.local || p.local {
			continue
		}
		changed := p.recordAlive(c.GetIncarnation(), now)
		if c.GetIncarnation() >= p.incarnation && p.silent(now) {
			changed = p.updateInstance(c) || changed
		}
		if changed {
			g.membersChanged()
		}
	}
	if l.peer.local {
		l.contacts = nil
	}
}
