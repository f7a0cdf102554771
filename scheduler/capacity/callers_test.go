package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// quickWindow is the time over which a rate of quick requests is measured.
const quickWindow = 8 * time.Second

// TestCallers measures one daemon with 16 workers as a process: its processor
// time and bytes by the rate of quick requests, and its memory by the number of
// callers' connections that are open and idle. It prints the fits.
func TestCallers(t *testing.T) {
	if os.Getenv(enabled) == "" {
		t.Skip(enabled + " is not set")
	}
	c := newCentre(t, 100, 16, 1)
	c.configureQuick()
	time.Sleep(settle)
	fmt.Println("| role | mechanism | unit | measured (size: cost) | base + slope | residual | at design size | load |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	c.quickSlopes()
	c.connectionSlope()
}

func (c *centre) configureQuick() {
	api := "http://" + c.daemons[0].api
	shape := map[string]any{"workers": 1, "accelerators": 1}
	c.put(api+"/v1/templates/quote", map[string]any{"name": "quote", "class": "quick", "shape": shape, "estimate": 1, "idempotent": true})
	c.put(api+"/v1/teams/sales", map[string]any{"name": "sales", "templates": []string{"quote"}, "priority": 5, "weight": 1, "prepaid": 1e12})
}

// quickSlopes prints the use of the daemon by the rate of requests of 50 ms.
func (c *centre) quickSlopes() {
	d := c.daemons[0]
	var cpu, bytes, calls []point
	for _, rate := range []int{0, 50, 100, 200} {
		before := c.sample(d)
		answered := c.request(rate)
		after := c.sample(d)
		seconds := after.at.Sub(before.at).Seconds()
		size := float64(answered) / seconds
		var sent, called int64
		for kind, n := range after.counts {
			sent += n.bytes - before.counts[kind].bytes
			called += n.calls - before.counts[kind].calls
		}
		cpu = append(cpu, point{size, 100 * (after.cpu - before.cpu).Seconds() / seconds})
		bytes = append(bytes, point{size, float64(sent) / seconds})
		calls = append(calls, point{size, float64(called) / seconds})
	}
	at := load()
	slope{role: "entry: quick requests", mechanism: "dispatch.Daemon, requests/s", unit: "% of a core", design: 100}.print(cpu, at)
	slope{role: "entry: quick requests", mechanism: "dispatch.Daemon, requests/s", unit: "B/s with workers", design: 100}.print(bytes, at)
	slope{role: "entry: quick requests", mechanism: "dispatch.Daemon, requests/s", unit: "calls/s to workers", design: 100}.print(calls, at)
}

// request sends requests at a rate over quickWindow and returns the number of
// those that were answered.
func (c *centre) request(rate int) int64 {
	if rate == 0 {
		time.Sleep(quickWindow)
		return 0
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var answered atomic.Int64
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	n := 0
	for end := time.Now().Add(quickWindow); time.Now().Before(end); <-ticker.C {
		n++
		body := quickBody(fmt.Sprint(rate, "-", n))
		calls.Go(func() {
			if quickCall(client, "http://"+c.daemons[0].api+"/v1/quotes", body) {
				answered.Add(1)
			}
		})
	}
	calls.Wait()
	if answered.Load() == 0 {
		status, raw := c.call(http.MethodPost, "http://"+c.daemons[0].api+"/v1/quotes", json.RawMessage(quickBody("last")))
		c.t.Fatalf("no request was answered; one more: %d %s", status, raw)
	}
	return answered.Load()
}

func quickBody(id string) []byte {
	body, _ := json.Marshal(map[string]any{"team": "sales", "template": "quote", "id": id, "payload": map[string]any{"seconds": 0.05}})
	return body
}

func quickCall(client *http.Client, url string, body []byte) bool {
	a, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode == http.StatusOK
}

// connectionSlope prints the resident memory by the number of open connections
// that have carried one request each.
func (c *centre) connectionSlope() {
	d := c.daemons[0]
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	var points []point
	for _, size := range []int{0, 500, 1000, 2000} {
		for len(open) < size {
			open = append(open, c.connect(d.api))
		}
		time.Sleep(time.Second)
		points = append(points, point{float64(size), c.field(d.pid, "status", "VmRSS") / 1024})
	}
	slope{role: "callers' connections", mechanism: "kratos HTTP server, connections", unit: "MB resident", design: 1000}.print(points, load())
}

// connect opens a connection, sends one request on it and keeps it open.
func (c *centre) connect(address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.t.Fatal(err)
	}
	_, _ = fmt.Fprintf(conn, "GET /healthz HTTP/1.1\r\nHost: %s\r\n\r\n", address)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Read(make([]byte, 1024)); err != nil {
		c.t.Fatal(err)
	}
	return conn
}
