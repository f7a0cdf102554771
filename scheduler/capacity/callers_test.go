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

// quickMeasureDuration is the duration of the measurement at each rate of quick
// requests.
const quickMeasureDuration = 8 * time.Second

// TestCallers measures the process of one daemon with 16 workers: CPU time and
// bytes by the rate of quick requests, and resident memory by the number of
// callers' open, idle connections. It prints the linear fits.
func TestCallers(t *testing.T) {
	if os.Getenv(enabledEnv) == "" {
		t.Skip(enabledEnv + " is not set")
	}
	c := newDataCentre(t, 100, 16, 1)
	c.configureQuickRequests()
	time.Sleep(settleDelay)
	fmt.Println("| role | mechanism | unit | measured (size: cost) | base + slope | residual | at design size | load |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	c.printQuickSlopes()
	c.printConnectionSlope()
}

// configureQuickRequests creates a template of quick requests and a team that may
// use it.
func (c *dataCentre) configureQuickRequests() {
	api := "http://" + c.daemons[0].api
	shape := map[string]any{"workers": 1, "accelerators": 1}
	c.put(api+"/v1/templates/quote", map[string]any{"name": "quote", "class": "quick", "shape": shape, "estimate": 1, "idempotent": true})
	c.put(api+"/v1/teams/sales", map[string]any{"name": "sales", "templates": []string{"quote"}, "priority": 5, "weight": 1, "prepaid": 1e12})
}

// printQuickSlopes prints the resource usage of the daemon by the rate of quick
// requests, each of which takes 50 ms.
func (c *dataCentre) printQuickSlopes() {
	d := c.daemons[0]
	var cpuShares, byteRates, callRates []point
	for _, rate := range []int{0, 50, 100, 200} {
		before := c.sample(d)
		answered := c.sendQuickRequests(rate)
		after := c.sample(d)
		seconds := after.at.Sub(before.at).Seconds()
		size := float64(answered) / seconds
		var byteCount, callCount int64
		for kind, n := range after.counts {
			byteCount += n.bytes - before.counts[kind].bytes
			callCount += n.calls - before.counts[kind].calls
		}
		cpuShares = append(cpuShares, point{size, 100 * (after.cpu - before.cpu).Seconds() / seconds})
		byteRates = append(byteRates, point{size, float64(byteCount) / seconds})
		callRates = append(callRates, point{size, float64(callCount) / seconds})
	}
	loadAvg := loadAverage()
	slope{role: "entry: quick requests", mechanism: "dispatch.Daemon, requests/s", unit: "% of a core", designSize: 100}.print(cpuShares, loadAvg)
	slope{role: "entry: quick requests", mechanism: "dispatch.Daemon, requests/s", unit: "B/s with workers", designSize: 100}.print(byteRates, loadAvg)
	slope{role: "entry: quick requests", mechanism: "dispatch.Daemon, requests/s", unit: "calls/s to workers", designSize: 100}.print(callRates, loadAvg)
}

// sendQuickRequests sends requests at a rate per second for quickMeasureDuration
// and returns the number that succeeded.
func (c *dataCentre) sendQuickRequests(rate int) int64 {
	if rate == 0 {
		time.Sleep(quickMeasureDuration)
		return 0
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var answered atomic.Int64
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	n := 0
	for end := time.Now().Add(quickMeasureDuration); time.Now().Before(end); <-ticker.C {
		n++
		body := quickBody(fmt.Sprint(rate, "-", n))
		calls.Go(func() {
			if postQuick(client, "http://"+c.daemons[0].api+"/v1/quotes", body) {
				answered.Add(1)
			}
		})
	}
	calls.Wait()
	if answered.Load() == 0 {
		status, raw := c.call(http.MethodPost, "http://"+c.daemons[0].api+"/v1/quotes", json.RawMessage(quickBody("last")))
		c.t.Fatalf("no quick request succeeded; another one returned status %d: %s", status, raw)
	}
	return answered.Load()
}

func quickBody(id string) []byte {
	body, _ := json.Marshal(map[string]any{"team": "sales", "template": "quote", "id": id, "payload": map[string]any{"seconds": 0.05}})
	return body
}

func postQuick(client *http.Client, url string, body []byte) bool {
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// printConnectionSlope prints the resident memory by the number of open
// connections, each of which has carried one request.
func (c *dataCentre) printConnectionSlope() {
	d := c.daemons[0]
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	var points []point
	for _, size := range []int{0, 500, 1000, 2000} {
		for len(conns) < size {
			conns = append(conns, c.openConnection(d.api))
		}
		time.Sleep(time.Second)
		points = append(points, point{float64(size), c.procField(d.pid, "status", "VmRSS") / 1024})
	}
	slope{role: "callers' connections", mechanism: "kratos HTTP server, connections", unit: "MB resident", designSize: 1000}.print(points, loadAverage())
}

// openConnection opens a connection, sends one request on it and keeps it open.
func (c *dataCentre) openConnection(address string) net.Conn {
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
