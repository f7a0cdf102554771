package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lateTime is how long the late order is under way.
	lateTime = 10 * time.Second
	// restartAfter is when the worker crashes, after its task has begun.
	restartAfter = 5 * time.Second
)

// lateProxies forward the calls to workers. The first start of a task gets no answer and
// is delivered late.
type lateProxies struct {
	site *site
	mu   sync.Mutex
	// held is the worker for which a start is held, or nil.
	held *workerProcess
	// armed is set while no start has been held.
	armed bool
}

// serve forwards what arrives at the listener to a worker.
func (p *lateProxies) serve(l net.Listener, w *workerProcess) {
	_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		p.mu.Lock()
		hold := p.armed && r.URL.Path == "/run-start"
		if hold {
			p.armed, p.held = false, w
		}
		p.mu.Unlock()
		if hold {
			p.site.note("a start for worker %s gets no answer: %s", w.id, body)
			go func() {
				time.Sleep(lateTime)
				status := p.forward(w, r.URL.Path, r.Header, body, nil)
				p.site.note("the late start is delivered to worker %s, which answers %d", w.id, status)
			}()
			// The caller gives up.
			<-r.Context().Done()
			return
		}
		if p.forward(w, r.URL.Path, r.Header, body, rw) == 0 {
			panic(http.ErrAbortHandler)
		}
	}))
}

// forward makes a call at the process of a worker and copies its answer, if it is
// wanted. It returns the status, or 0 without an answer.
func (p *lateProxies) forward(w *workerProcess, path string, header http.Header, body []byte, rw http.ResponseWriter) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+w.address+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header = header.Clone()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if rw != nil {
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(response.StatusCode)
		_, _ = io.Copy(rw, response.Body)
	}
	return response.StatusCode
}

// front puts a proxy before a worker.
func (p *lateProxies) front(w *workerProcess) error {
	l, err := net.Listen("tcp", p.site.network+".252:0")
	if err != nil {
		return err
	}
	w.announced = l.Addr().String()
	go p.serve(l, w)
	return nil
}

// arm lets the next start be held.
func (p *lateProxies) arm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = true
}

// heldFor returns the worker for which a start is held, or nil.
func (p *lateProxies) heldFor() *workerProcess {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// lateMain checks TWICE: a worker carries a start out late, after it has crashed and
// started again under its id and its task has been started elsewhere.
func lateMain(args []string) int {
	s, err := newSite(args[0])
	if err != nil {
		return notRun(nil, err)
	}
	defer s.close()
	p := &lateProxies{site: s}
	s.front = p.front
	t := tenant{"kaje80", newID(), 8}
	if err := s.start(3, 1, []tenant{t}); err != nil {
		return notRun(s, err)
	}
	time.Sleep(5 * time.Second)
	// The rack of the data is full for 4 s, so that the task starts on another one.
	near := step{"cpu": 26000, "mem_mb": 38000, "gpu": whole, "data_rack": "r1-0"}
	first, err := s.submit(s.entries[0], batch, t, job([]stepSpec{{MS: 4000, CPU: 26000, GPU: whole}}, near.with("count", 3).with("estimated_ms", 4000)))
	if err != nil {
		return notRun(s, err)
	}
	if err := s.await("the first job", func() bool { return len(s.running(first)) == 3 }); err != nil {
		return notRun(s, err)
	}
	if trouble() {
		p.arm()
	}
	id, err := s.submit(s.entries[0], batch, t, job([]stepSpec{{MS: 40000, CPU: 26000, GPU: whole}}, near.with("count", 1).with("estimated_ms", 40000)))
	if err != nil {
		return notRun(s, err)
	}
	if err := s.await("the task", func() bool { return len(s.running(id)) == 1 }); err != nil {
		return notRun(s, err)
	}
	time.Sleep(restartAfter)
	crashes := map[string]int64{}
	if trouble() {
		w := p.heldFor()
		if w == nil {
			return notRun(s, errNoTrouble)
		}
		s.kill(w.cmd)
		crashes[w.id] = time.Now().UnixMilli()
		if err := s.startWorker(w, "a"); err != nil {
			return notRun(s, err)
		}
		s.note("worker %s crashes and starts again under its id", w.id)
	}
	time.Sleep(lateTime)
	return s.finish(s.checkTwice(id, crashes))
}

// checkTwice returns each start of a task while another run of it goes on at a worker
// that is up. Crashes are when workers have crashed, by id.
func (s *site) checkTwice(id string, crashes map[string]int64) []string {
	type run struct {
		worker string
		number int
	}
	going := map[string]map[run]int64{}
	var broken []string
	for _, e := range s.events() {
		if !strings.HasPrefix(e.Task, id+".") {
			continue
		}
		runs := going[e.Task]
		if runs == nil {
			runs = map[run]int64{}
			going[e.Task] = runs
		}
		switch e.What {
		case "start":
			for other, at := range runs {
				if crash := crashes[other.worker]; crash > at && crash <= e.At {
					continue
				}
				broken = append(broken, fmt.Sprintf("TWICE: run %d of task %s starts on worker %s at %.3f s while run %d goes on on worker %s",
					e.Run, e.Task, e.Worker, s.since(e.At), other.number, other.worker))
			}
			runs[run{e.Worker, e.Run}] = e.At
		case "end":
			delete(runs, run{e.Worker, e.Run})
		}
	}
	return broken
}
