package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"daisylug.example/scheduler/ingress/crowdtest"
)

// The tests of crowds run clients that do not behave against one instance with
// less memory and fewer descriptors than usual, and check that it stays within
// them and answers ordinary requests.
const (
	crowdMemory      = 128 << 20
	crowdDescriptors = 700
	// crowdBodyBytes is the default of the largest body.
	crowdBodyBytes     = 1 << 20
	crowdAnswerTimeout = 60 * time.Second
)

// A hundred descriptors must be left for what the instance itself connects to.
var crowdBound = crowdtest.Peak{Bytes: crowdMemory, Sockets: crowdDescriptors - 100}

// crowdCluster is a cluster whose first instance is under test.
type crowdCluster struct {
	*cluster
	t     *testing.T
	gauge *crowdtest.Gauge
	jobs  int
}

func newCrowdCluster(t *testing.T) *crowdCluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	c := &crowdCluster{t: t, cluster: newClusterWith(t, func(p *process) {
		p.descriptors = crowdDescriptors
		p.environment = []string{fmt.Sprint("DAISYLUGD_MEMORY_BYTES=", crowdMemory)}
	})}
	c.configure()
	host, _, _ := net.SplitHostPort(c.address())
	c.gauge = crowdtest.Measure(t, c.instances[0].cmd.Process.Pid, host)
	return c
}

// address is the address of the instance under test.
func (c *crowdCluster) address() string { return c.instances[0].api }

// verify checks the bounds, and that ordinary requests are answered while the
// crowd is connected and after it has left.
func (c *crowdCluster) verify(crowd *crowdtest.Crowd) {
	c.t.Helper()
	c.awaitAnswer()
	crowd.Leave()
	c.awaitAnswer()
	c.gauge.Check(c.t, crowdBound)
}

// awaitAnswer submits an ordinary job until it is accepted, as a caller does that
// may be refused for a while.
func (c *crowdCluster) awaitAnswer() {
	c.t.Helper()
	c.jobs++
	body := map[string]any{
		"team": "north", "template": "map", "key": fmt.Sprint("ordinary-", c.jobs), "payload": map[string]any{"seconds": 0.1},
	}
	client := *c.cluster
	client.http = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	status := 0
	for end := time.Now().Add(crowdAnswerTimeout); time.Now().Before(end) && !c.gauge.Ended(); time.Sleep(100 * time.Millisecond) {
		a, err := client.call(context.Background(), http.MethodPost, c.url(0, "/v1/jobs"), body)
		if status = a.status; err == nil && (status == http.StatusCreated || status == http.StatusOK) {
			return
		}
	}
	c.t.Errorf("an ordinary request is not answered, the last status is %d", status)
}

// paddedJob returns the body of a submission of exactly the given size.
func paddedJob(key string, size int) []byte {
	job := fmt.Sprintf(`{"team":"north","template":"map","key":%q,"payload":{"seconds":0.1}`, key)
	return append(append([]byte(job), bytes.Repeat([]byte(" "), size-len(job)-1)...), '}')
}

func TestCrowd(t *testing.T) {
	legal := paddedJob("crowd", crowdBodyBytes)
	short := legal[:len(legal)-1]
	head := func(headers ...string) []byte { return crowdtest.Head("daisylug", "/v1/jobs", headers...) }
	length := fmt.Sprint("Content-Length: ", len(legal))
	const chunked = "Transfer-Encoding: chunked"
	end := []byte("\r\n")
	nested := append([]byte(`{"team":"north","template":"map","key":"nested","payload":`), bytes.Repeat([]byte("["), 900<<10)...)
	tests := []struct {
		name    string
		clients int
		shape   func(w io.Writer, client int) error
	}{
		{"bodies one byte short", 300, func(w io.Writer, _ int) error { return crowdtest.Send(w, head(length), end, short) }},
		{"bodies in pieces, one byte short", 300, func(w io.Writer, _ int) error {
			if err := crowdtest.Send(w, head(length), end); err != nil {
				return err
			}
			return crowdtest.SendPieces(w, short, 16<<10)
		}},
		{"bodies as one chunk, one byte short", 300, func(w io.Writer, _ int) error {
			return crowdtest.Send(w, head(chunked), end, fmt.Appendf(nil, "%x\r\n", len(legal)), short)
		}},
		{"bodies in chunks of one byte, without the last", 300, func(w io.Writer, _ int) error {
			return crowdtest.Send(w, head(chunked), end, crowdtest.Chunks(legal[:64<<10], 1, ""))
		}},
		{"whole bodies", 300, func(w io.Writer, client int) error {
			return crowdtest.Send(w, head(length), end, paddedJob(fmt.Sprint("whole-", client), crowdBodyBytes))
		}},
		{"bodies nested deeply", 300, func(w io.Writer, _ int) error {
			return crowdtest.Send(w, head(fmt.Sprint("Content-Length: ", len(nested))), end, nested)
		}},
		{"cancellations of many jobs, one byte short", 300, func(w io.Writer, _ int) error {
			body := append([]byte(`{"ids":[`), bytes.Repeat([]byte(`"",`), 300<<10)...)
			cancel := crowdtest.Head("daisylug", "/v1/jobs/cancel", fmt.Sprint("Content-Length: ", len(body)+1))
			return crowdtest.Send(w, cancel, end, body)
		}},
		{"heads far over the limit", 300, func(w io.Writer, _ int) error {
			return crowdtest.Send(w, head(), []byte("X-Long: "), bytes.Repeat([]byte("v"), 900<<10))
		}},
		{"heads of short fields, without end", 490, func(w io.Writer, _ int) error {
			return crowdtest.Send(w, head(), crowdtest.Fields(60<<10))
		}},
		{"one byte", 1200, func(w io.Writer, _ int) error { return crowdtest.Send(w, []byte("P")) }},
		{"nothing", 1200, func(io.Writer, int) error { return nil }},
		{"answers that are not read", 300, func(w io.Writer, _ int) error {
			return crowdtest.Send(w, bytes.Repeat([]byte("GET /v1/status HTTP/1.1\r\nHost: daisylug\r\n\r\n"), 200))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCrowdCluster(t)
			c.verify(crowdtest.Gather(t, c.address(), test.clients, test.shape))
		})
	}
}

// TestRequestsAtTheLimits sends single requests at the limits, which are served.
func TestRequestsAtTheLimits(t *testing.T) {
	c := newCrowdCluster(t)
	end, last := []byte("\r\n"), []byte("0\r\n\r\n")
	head := func(headers ...string) []byte { return crowdtest.Head("daisylug", "/v1/jobs", headers...) }
	length := fmt.Sprint("Content-Length: ", crowdBodyBytes)
	const chunked = "Transfer-Encoding: chunked"
	tests := []struct {
		name string
		send func(w io.Writer, body []byte) error
	}{
		{"whole", func(w io.Writer, body []byte) error { return crowdtest.Send(w, head(length), end, body) }},
		{"one chunk", func(w io.Writer, body []byte) error {
			return crowdtest.Send(w, head(chunked), end, crowdtest.Chunks(body, len(body), ""), last)
		}},
		{"chunks of one byte", func(w io.Writer, body []byte) error {
			return crowdtest.Send(w, head(chunked), end, crowdtest.Chunks(body, 1, ""), last)
		}},
		{"over 2 s", func(w io.Writer, body []byte) error {
			if err := crowdtest.Send(w, head(length), end); err != nil {
				return err
			}
			return crowdtest.SendOver(w, body, 2*time.Second)
		}},
		{"head of 15 KB", func(w io.Writer, body []byte) error {
			return crowdtest.Send(w, head(length, "X-Long: "+strings.Repeat("v", 15<<10)), end, body)
		}},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", c.address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := test.send(conn, paddedJob(fmt.Sprint("limit-", i), crowdBodyBytes)); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(crowdAnswerTimeout))
			answer := make([]byte, 64)
			n, err := conn.Read(answer)
			if !bytes.HasPrefix(answer[:n], []byte("HTTP/1.1 201 ")) {
				t.Errorf("answer %q, %v, want status 201", answer[:n], err)
			}
		})
	}
	c.gauge.Check(t, crowdBound)
}

// TestCrowdOfJobs submits many jobs with large payloads, each within the limits,
// and lets the planner of their data centre read them.
func TestCrowdOfJobs(t *testing.T) {
	c := newCrowdCluster(t)
	const jobs, callers, payloadBytes = 320, 8, 900 << 10
	gauges := []*crowdtest.Gauge{c.gauge}
	for i := 1; instanceCentres[i] == instanceCentres[0]; i++ {
		host, _, _ := net.SplitHostPort(c.instances[i].api)
		gauges = append(gauges, crowdtest.Measure(t, c.instances[i].cmd.Process.Pid, host))
	}
	payload := map[string]any{"seconds": 600, "pad": strings.Repeat("p", payloadBytes)}
	var group sync.WaitGroup
	var accepted atomic.Int64
	for caller := range callers {
		group.Go(func() {
			for n := range jobs / callers {
				body := map[string]any{
					"team": "north", "template": "map", "key": fmt.Sprintf("large-%d-%d", caller, n), "centre": "a", "payload": payload,
				}
				a, err := c.call(context.Background(), http.MethodPost, c.url(0, "/v1/jobs"), body)
				if err == nil && a.status == http.StatusCreated {
					accepted.Add(1)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d jobs accepted", accepted.Load(), jobs)
	if accepted.Load() == 0 {
		t.Error("no job was accepted")
	}
	// The planner reads the unfinished jobs again and again.
	time.Sleep(10 * time.Second)
	c.awaitAnswer()
	for _, g := range gauges {
		g.Check(t, crowdBound)
	}
}
