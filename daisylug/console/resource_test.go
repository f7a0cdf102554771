package console

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const twoTeams = `[{"name":"a","priority":5},{"name":"b","priority":6,"guarantees":[{"centre":"c1","shape":{"workers":1,"accelerators":8},"count":2}]}]`

func newFakeInstance() *fakeInstance {
	return &fakeInstance{
		config: 4,
		teams:  map[string]document{"a": {"name": "a", "priority": 1, "weight": 3, "version": 7}},
	}
}

func TestApply(t *testing.T) {
	badGateway := func(w http.ResponseWriter) { http.Error(w, "bad gateway", http.StatusBadGateway) }
	for _, tt := range []struct {
		// guards describes the failure that the case guards against.
		guards string
		file   string
		fault  func(c *fakeInstance)
		code   int
		want   []string
		// version is the version of team a after the command.
		version int
	}{
		{"an omitted field being dropped", twoTeams, nil, ExitOK, []string{"a changed 8 5", "b created 1 6"}, 8},
		{"a change that is already in force being sent", `{"name":"a","priority":1.0,"prepaid":0,"guarantees":[]}`, nil, ExitOK, []string{"a unchanged 7 -"}, 7},
		{"a file from an old version overwriting a newer one", `{"name":"a","priority":5,"version":6}`, nil, ExitConflict, []string{"a failed - -", "version 7 is in force", "team diff"}, 7},
		{"a concurrent change being overwritten", twoTeams,
			func(c *fakeInstance) {
				c.beforePut = func() { c.set("a", document{"name": "a", "priority": 9, "version": 7}) }
			},
			ExitConflict, []string{"a failed - -", "b not tried", "version 8 is in force"}, 8},
		{"an accepted change being reported as failed when the answer is lost", twoTeams,
			func(c *fakeInstance) { c.afterPut = badGateway }, ExitOK, []string{"a changed 8 -", "b created 1 6"}, 8},
		{"an accepted change being reported as failed when the instance does not know its outcome", twoTeams,
			func(c *fakeInstance) {
				c.afterPut = func(w http.ResponseWriter) {
					errorResponse(http.StatusBadGateway, typeOutcomeUnknown, ranUnknown)(w, nil)
				}
			}, ExitOK, []string{"a changed 8 -", "b created 1 6"}, 8},
		{"a lost answer being taken for success when another change followed", twoTeams,
			func(c *fakeInstance) {
				c.afterPut = func(w http.ResponseWriter) {
					c.set("a", document{"name": "a", "priority": 9})
					badGateway(w)
				}
			}, ExitUnknownOutcome, []string{"a failed - -", "b not tried"}, 9},
		{"a lost request being reported as unknown when another change came first", twoTeams,
			func(c *fakeInstance) {
				c.afterPut = func(w http.ResponseWriter) {
					c.teams["a"] = document{"name": "a", "priority": 9, "version": 8}
					badGateway(w)
				}
			}, ExitConflict, []string{"a failed - -"}, 8},
		{"a typing error in the file reaching the server", `[{"name":"a"},{"name":"a"}]`, nil, ExitUsage, []string{"given twice"}, 7},
	} {
		t.Run(tt.guards, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeInstance()
				if tt.fault != nil {
					tt.fault(c)
				}
				got := run(t, handlerTransport{c}, tt.file, "team", "apply", "-")
				text := strings.Join(strings.Fields(got.out+got.err), " ")
				for _, want := range tt.want {
					if !strings.Contains(text, want) {
						t.Errorf("%q is not in the output", want)
					}
				}
				if got.code != tt.code || c.teams["a"]["version"] != tt.version {
					t.Errorf("exit code %d, version %v, want %d, %d", got.code, c.teams["a"]["version"], tt.code, tt.version)
				}
				if tt.code == ExitOK && fmt.Sprint(c.teams["a"]["weight"]) != "3" {
					t.Errorf("weight is %v, want 3", c.teams["a"]["weight"])
				}
				if t.Failed() {
					t.Log(got.out, got.err)
				}
			})
		})
	}
}

// TestDiff guards against wrong field paths in the output, and against a diff that
// changes the configuration.
func TestDiff(t *testing.T) {
	c := newFakeInstance()
	file := filepath.Join(t.TempDir(), "teams.json")
	if err := os.WriteFile(file, []byte(`{"teams":`+twoTeams+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, format := range []string{OutputTable, OutputJSON} {
		got := run(t, handlerTransport{c}, "", "team", "diff", file, "-o", format)
		if got.code != ExitDiffers || c.config != 4 {
			t.Errorf("exit code %d, config %d\n%s", got.code, c.config, got.err)
		}
		golden(t, "testdata/diff."+format, got.out)
	}
	if got := run(t, handlerTransport{c}, `{"name":"a","weight":3}`, "team", "diff", "-"); got.code != ExitOK || got.out != "" {
		t.Errorf("exit code %d for no difference\n%s", got.code, got.out)
	}
}

// rolloutServer reports the status of three instances, of which i2 adopts a
// change after 700 ms and i3 after delay. If unreachable is set, i3 does not
// answer; the others report it dead after deadAfter, unless that is 0.
func rolloutServer(start time.Time, delay time.Duration, unreachable bool, deadAfter time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		age := time.Since(start)
		version := func(after time.Duration) int {
			if age >= after {
				return 9
			}
			return 8
		}
		state := "live"
		if deadAfter > 0 && age >= deadAfter {
			state = stateDead
		}
		known := fmt.Sprintf(`"instances":[{"name":"i1","centre":"c1","state":"live","config":9},{"name":"i3","centre":"c2","state":%q,"config":9}]`, state)
		entries := []string{
			fmt.Sprintf(`{"instance":"i1","centre":"c1","config":{"version":9},%s}`, known),
			fmt.Sprintf(`{"instance":"i2","centre":"c1","config":{"version":%d},%s}`, version(700*time.Millisecond), known),
		}
		if !unreachable {
			entries = append(entries, fmt.Sprintf(`{"instance":"i3","centre":"c2","config":{"version":%d},%s}`, version(delay), known))
		}
		reply(w, http.StatusOK, `{"instances":[`+strings.Join(entries, ",")+`]}`)
	})
}

// TestForce guards against apply --wait returning before a change is in force on
// every live instance, and against waiting for a dead one.
func TestForce(t *testing.T) {
	await := func(config int64, delay time.Duration, unreachable bool, deadAfter time.Duration) (f *rolloutStatus, err error) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := &session{ctx: t.Context(), client: newClient([]server{{"http://i1"}}, time.Second, handlerTransport{rolloutServer(start, delay, unreachable, deadAfter)})}
			f, err = s.awaitRollout(config, start, 5*time.Second)
		})
		return f, err
	}
	convey.Convey("Given a change that is accepted as config 9", t, func() {
		convey.Convey("it is in force when the last instance has it", func() {
			f, err := await(9, 2*time.Second, false, 0)
			convey.So(err, convey.ShouldBeNil)
			convey.So(f.Seconds, convey.ShouldEqual, 2)
			convey.So(f.Instances[1].After, convey.ShouldEqual, 0.7)
		})
		convey.Convey("an unknown config version is taken from the instances", func() {
			f, err := await(0, 2*time.Second, false, 0)
			convey.So(err, convey.ShouldBeNil)
			convey.So(f.Seconds, convey.ShouldEqual, 2)
		})
		convey.Convey("an instance that cannot be asked is waited for", func() {
			f, err := await(9, 0, true, 0)
			convey.So(exitCode(err), convey.ShouldEqual, ExitTimeout)
			convey.So(err.Error(), convey.ShouldContainSubstring, "on i3")
			convey.So(f.Seconds, convey.ShouldEqual, 0)
		})
		convey.Convey("until the others report it dead", func() {
			_, err := await(9, 0, true, 3*time.Second)
			convey.So(err, convey.ShouldBeNil)
		})
	})
}
