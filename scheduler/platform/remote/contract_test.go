package remote

import (
	"net/http/httptest"
	"strings"
	"testing"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/platform/platformtest"
)

// serveLoopback serves p on a loopback address and returns its clients.
func serveLoopback(t *testing.T, p *memory.Platform) platform.Platform {
	server := httptest.NewServer(Handler(p.Services()))
	t.Cleanup(server.Close)
	host := strings.TrimPrefix(server.URL, "http://")
	for _, w := range []string{"x-w000", "x-w001"} {
		p.Fleet.SetAddress(w, host+"/worker/"+w)
	}
	return New(server.URL, Options{})
}

func TestContract(t *testing.T) { platformtest.Run(t, serveLoopback) }
