package console

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/smartystreets/goconvey/convey"
)

const doneJob = `{"id":"j1","team":"a","template":"b","key":"k","shape":{"workers":2,"accelerators":8},"class":"planned","deadline":null,"idempotent":true,"estimate":90,"state":"done","attempt":1,"centre":"c1","rack":"r1","accepted":"2026-01-02T03:04:05.123456789Z","started":"2026-01-02T03:04:06Z","ended":"2026-01-02T03:05:00Z","reason":"","results":["x\u001b[31m","y"],"later":1}`

// TestGolden guards against unintended changes to the output, and against control
// characters from a server reaching the terminal.
func TestGolden(t *testing.T) {
	jobs := `{"jobs":[` + doneJob + `],"next":""}`
	teams := `{"teams":[{"name":"a","version":3,"templates":["b","c"],"priority":10,"weight":2,"prepaid":1e6,"guarantees":[{"centre":"c1","shape":{"workers":1,"accelerators":8},"count":2}]}]}`
	status := `{"instance":"i1","centre":"c1","config":{"version":7,"confirmed":"2026-01-02T03:04:05Z","fresh":true},"instances":[{"name":"i1","centre":"c1","state":"live","config":7}],"racks":[{"name":"r1","owner":"i1","generation":4,"free":12,"running":3}],"workers":[],"balances":[{"team":"a","remaining":12.5}],"queue":{"planned":2},"quotes":{"queued":0,"workers":[{"name":"w1","slots":8}]}}`
	all := `{"instances":[` + status + `],"silent":["i2"]}`
	for _, tt := range []struct {
		name string
		body string
		args []string
	}{
		{"job", doneJob, []string{"job", "get", "j1"}},
		{"jobs", jobs, []string{"job", "list"}},
		{"cancel", `{"cancelled":1,"ended":2,"pending":3}`, []string{"job", "cancel", "j1"}},
		{"quote", `{"id":"q","attempt":1,"worker":"w1","content":"ok"}`, []string{"quote", "--team=a", "--template=b"}},
		{"teams", teams, []string{"team", "list"}},
		{"status", status, []string{"status"}},
		{"all", all, []string{"status", "--all"}},
	} {
		for _, format := range []string{OutputTable, OutputJSON} {
			t.Run(tt.name+"/"+format, func(t *testing.T) {
				got := run(t, handlerTransport{okResponse(tt.body)}, "", append(tt.args, "--output", format)...)
				if got.code != ExitOK {
					t.Fatal(got.err)
				}
				golden(t, "testdata/"+tt.name+"."+format, got.out)
			})
		}
	}
}

// TestSubmitBody guards against flags that are missing from the request body, and
// against fields that are sent although no flag sets them: an absent field means
// the template's value.
func TestSubmitBody(t *testing.T) {
	for _, tt := range []struct {
		args string
		want string
	}{
		{"", `{"team":"a","template":"b","key":"k"}`},
		{"--shape 2x8 --class background --no-idempotent --estimate 90s --centre c1 --deadline 2026-01-02T03:04:05Z --payload -",
			`{"team":"a","template":"b","key":"k","shape":{"workers":2,"accelerators":8},"class":"background","idempotent":false,"estimate":90,"centre":"c1","deadline":"2026-01-02T03:04:05Z","payload":[1]}`},
	} {
		var got, want any
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = json.NewDecoder(r.Body).Decode(&got)
			reply(w, http.StatusCreated, doneJob)
		})
		args := append(strings.Fields("job submit --team a --template b --key k"), strings.Fields(tt.args)...)
		if res := run(t, handlerTransport{h}, "[1]", args...); res.code != ExitOK {
			t.Error(res.err)
		}
		_ = json.Unmarshal([]byte(tt.want), &want)
		if d := cmp.Diff(want, got); d != "" {
			t.Error(d)
		}
	}
}

// TestWait guards against a wait that ends early, never, or with the wrong exit
// code, and against one that gives up while instances are temporarily unavailable.
func TestWait(t *testing.T) {
	convey.Convey("Given a job that runs for 30 s and instances that are unavailable for 10 s of it", t, func() {
		for state, code := range map[string]int{"done": ExitOK, "failed": ExitFailed, "cancelled": ExitCancelled, "unknown": ExitUnknownOutcome} {
			convey.Convey("waiting follows it until it is "+state, func() {
				got, took := waitFor(t, state, "")
				convey.So(got.code, convey.ShouldEqual, code)
				convey.So(took, convey.ShouldBeBetweenOrEqual, 30*time.Second, 36*time.Second)
				convey.So(got.err, convey.ShouldContainSubstring, "job j1: running after 0s")
				convey.So(got.err, convey.ShouldContainSubstring, "state not known: unavailable")
			})
		}
		convey.Convey("a limit ends the wait", func() {
			got, took := waitFor(t, "done", "--for=5s")
			convey.So(got.code, convey.ShouldEqual, ExitTimeout)
			convey.So(took, convey.ShouldEqual, 5*time.Second)
		})
	})
}

func waitFor(t *testing.T, state string, flags ...string) (got result, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			age := time.Since(started)
			wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
			switch {
			case age >= 30*time.Second:
				reply(w, http.StatusOK, fmt.Sprintf(`{"id":"j1","state":%q}`, state))
			case age >= 10*time.Second && age < 20*time.Second:
				errorResponse(http.StatusServiceUnavailable, typeUnavailable, ranNo)(w, r)
			default:
				time.Sleep(wait)
				reply(w, http.StatusOK, `{"id":"j1","state":"running"}`)
			}
		})
		args := append([]string{"job", "wait", "j1"}, flags...)
		if flags[0] == "" {
			args = args[:3]
		}
		got = run(t, handlerTransport{h}, "", args...)
		took = time.Since(started)
	})
	return got, took
}

// TestCancel guards against cancelling more jobs than requested, and against
// request bodies with more ids than the API allows.
func TestCancel(t *testing.T) {
	var sizes []int
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body selector
		_ = json.NewDecoder(r.Body).Decode(&body)
		sizes = append(sizes, len(body.IDs))
		reply(w, http.StatusOK, fmt.Sprintf(`{"cancelled":%d,"ended":0,"pending":0}`, len(body.IDs)))
	})
	got := run(t, handlerTransport{h}, strings.Repeat("x\n", 25_000), "job", "cancel", "-", "-o", "json")
	if d := cmp.Diff([]int{10_000, 10_000, 5_000}, sizes); d != "" || !strings.Contains(got.out, "25000") {
		t.Error(d, got.out)
	}
	for _, args := range []string{"", "--state queued", "j1 --team a", "j1 --template b"} {
		sizes = nil
		got := run(t, handlerTransport{h}, "", append([]string{"job", "cancel"}, strings.Fields(args)...)...)
		if got.code != ExitUsage || sizes != nil {
			t.Errorf("job cancel %s: exit code %d, %d calls", args, got.code, len(sizes))
		}
	}
}

// TestInterrupt guards against an interrupted wait whose exit code is that of a
// job outcome.
func TestInterrupt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		var out, err strings.Builder
		c := New(Streams{In: strings.NewReader(""), Out: &out, Err: &err}, handlerTransport{okResponse(`{"id":"j1","state":"running"}`)})
		if code := c.Run(ctx, []string{"job", "wait", "j1"}); code != ExitInterrupted {
			t.Errorf("exit code %d, want %d\n%s", code, ExitInterrupted, err.String())
		}
	})
}
