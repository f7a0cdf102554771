package balance

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/schema"
)

// Export encodes the balances known here, for an instance of the same data
// centre that starts or takes over while the table is down.
func (a *Account) Export(now time.Time) ([]byte, error) {
	m := &schema.Holdings{Centre: a.options.Centre}
	for _, name := range a.teamNames() {
		t := a.team(name)
		if t == nil {
			continue
		}
		if h := t.export(now); h != nil {
			m.Holdings = append(m.Holdings, h)
		}
	}
	return proto.Marshal(m)
}

func (t *team) export(now time.Time) *schema.Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.balance == nil {
		return nil
	}
	t.advance(now)
	return &schema.Holding{
		Balance: t.balance,
		Version: t.version,
		Read:    timestamppb.New(t.readAt),
		Used:    t.unsettled(),
	}
}

// Import takes the balances that another instance exported if they are newer or
// count more usage. They count as unconfirmed.
func (a *Account) Import(encoded []byte, now time.Time) error {
	var m schema.Holdings
	if err := proto.Unmarshal(encoded, &m); err != nil {
		return &RecordError{Key: "holdings", Cause: err}
	}
	if m.Centre != a.options.Centre {
		return &CentreError{Centre: m.Centre, Own: a.options.Centre}
	}
	for _, h := range m.Holdings {
		if t := a.team(h.GetBalance().GetTeam()); t != nil {
			t.importHolding(h, now)
		}
	}
	return nil
}

func (t *team) importHolding(h *schema.Holding, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	switch {
	case t.balance == nil || h.Version > t.version:
		t.balance = h.Balance
		t.version = h.Version
		t.readAt = h.Read.AsTime()
		t.imported = true
		t.used = h.Used
		t.assumeRunningSinceRead(now)
	case h.Version == t.version:
		t.used = max(t.used, h.Used)
	}
}

// CentreError reports balances exported in another data centre.
type CentreError struct {
	Centre string
	Own    string
}

func (e *CentreError) Error() string {
	return "balances are of data centre " + e.Centre + ", not " + e.Own
}
