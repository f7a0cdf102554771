package control

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
)

// TestNamesOfAnyText guards against names of teams, queues and services that crash the
// planner where they become labels of its metrics.
func TestNamesOfAnyText(t *testing.T) {
	names := []string{`Lattia "Oy"`, `a\`, "two\nlines", "{}", `a="b",c="d"`, "\x00", "\xff", "", strings.Repeat("東", 2000)}
	for i, name := range names {
		t.Run(fmt.Sprintf("%.12q", name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 4)
				q := f.config.Queues["later"]
				q.Name = name
				f.config.Queues[name], f.config.Teams[name] = q, Team{Name: name, Guaranteed: 8}
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				id := fmt.Sprint("j", i)
				// Names reach the planner as text of a message, which is valid UTF-8.
				text := strings.ToValidUTF8(name, "?")
				f.config.Queues[text] = q
				f.submit(p, batchJob(id, text, text, "1s", batch.Step{Tasks: 2, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}))
				time.Sleep(4 * time.Second)
				f.expectState(p, text, id, batch.JobDone)
				p.instruments.evacuatedRuns(name).Set(1)
				p.instruments.pressure(name).Set(1)
				p.instruments.overloaded(name).Set(1)
				p.instruments.countLoadRefusal(name, true)
				if n := p.instruments.panics.Get(); n != 0 {
					t.Errorf("%d panics", n)
				}
			})
		})
	}
}
