package member

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"daisylug.example/scheduler/schema"
)

// FuzzHeartbeat applies heartbeats of other versions and corrupted heartbeats to
// a group.
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
		g := New(instance("a", "x"), nil, nil, WithFullMesh(), WithHubs(2, 1))
		eg, ctx := errgroup.WithContext(t.Context())
		g.start(&runState{ctx: ctx, group: eg, closed: true})
		p := g.ensurePeer(instance("b", "x"), time.Now())
		p.link = &link{peer: p, heartbeatNow: make(chan struct{}, 1), done: make(chan struct{}), vouchFor: map[string]bool{}}
		g.applyHeartbeat(p.link, h)
		g.buildHeartbeat(p.link)
		g.evaluatePeers(time.Now())
	})
}
