package member

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"daisylug.example/scheduler/schema"
)

// FuzzHeartbeat feeds a group with what another version, or a damaged peer, may
// send.
func FuzzHeartbeat(f *testing.F) {
	var good bytes.Buffer
	if err := writeFrame(&good, &schema.Heartbeat{
		Sequence: 3, Echo: 2, Config: 1, Incarnation: 9, Doubted: 7, Values: []*schema.Value{{Key: "k", Content: []byte("v")}},
		Suspects: []*schema.Sighting{{Name: "b", Age: 1500}}, Vouchers: []*schema.Sighting{{Name: "none"}},
		Contacts: []*schema.Peer{{Name: "c", Address: "c", Weight: -1}, {}},
	}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add(good.Bytes()[:good.Len()/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		h := &schema.Heartbeat{}
		if readFrame(bufio.NewReader(bytes.NewReader(data)), h) != nil {
			return
		}
		g := New(instance("a", "x"), nil, nil, WithWholeMesh(), WithHubs(2, 1))
		eg, ctx := errgroup.WithContext(t.Context())
		g.begin(&running{ctx: ctx, group: eg, closed: true})
		p := g.ensure(instance("b", "x"), time.Now())
		p.link = &link{peer: p, kick: make(chan struct{}, 1), done: make(chan struct{}), vouch: map[string]bool{}}
		g.apply(p.link, h)
		g.compose(p.link)
		g.evaluate(time.Now())
	})
}
