package console

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	configInForce = `{"templates":[{"name":"big","class":"planned","shape":{"workers":2,"accelerators":8},"estimate":60,"version":3}],
"teams":[{"name":"a","templates":["big"],"priority":1,"weight":1,"prepaid":5,"guarantees":[],"version":7}]}`
	configChange = "[\n{\"name\":\"a\",\"priority\":4}]"
)

// TestConfigCheck guards against wrong exit codes, against findings or differences
// that are not printed, and against calls to an instance.
func TestConfigCheck(t *testing.T) {
	for _, tt := range []struct {
		name, file string
		args       []string
		code       int
		out, err   []string
	}{
		{"nothing to report", `{"name":"a","priority":1}`, []string{"--against=-"}, ExitOK, nil, nil},
		{"a difference", configChange, []string{"--against=-"}, ExitDiffers, []string{"KIND NAME FIELD IN FORCE FILE", "team a priority 1 4"}, []string{"differ"}},
		{"a new entry", `{"name":"b","templates":["big"],"priority":1,"weight":2,"prepaid":1}`, []string{"--against=-"}, ExitDiffers, []string{"team b weight - 2"}, nil},
		{"errors come first", "[\n{\"name\":\"a\",\"priority\":4,\n\"wieght\":1}]", []string{"--against=-"}, ExitRefused,
			[]string{"error 3 [0].wieght is not a known field", "team a priority 1 4"}, []string{"would be refused: 1"}},
		{"a warning alone", `{"name":"a","templates":["big"],"priority":1,"weight":1,"prepaid":1}`, nil, ExitOK, []string{"warning 1 templates[0]"}, nil},
		{"as JSON", configChange, []string{"--against=-", "--output=json"}, ExitDiffers,
			[]string{`"findings": []`, `"differences": [ { "kind": "team", "name": "a", "version": 7, "changes": [ { "field": "priority", "from": 1, "to": 4 } ] } ]`}, []string{`"differs"`}},
		{"not JSON", "[\n{", []string{"--against=-"}, ExitUsage, nil, []string{"line 2: is not valid JSON"}},
		{"no file in force", configChange, []string{"--against=/nonexistent"}, ExitUsage, nil, []string{"/nonexistent"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "file.json")
			if err := os.WriteFile(file, []byte(tt.file), 0o600); err != nil {
				t.Fatal(err)
			}
			noNetwork := handlerTransport{http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("an instance was called") })}
			r := run(t, noNetwork, configInForce, append([]string{"config", "check", file}, tt.args...)...)
			if r.code != tt.code || tt.out == nil && r.code == ExitOK && strings.TrimSpace(r.out) != "" {
				t.Errorf("exit code %d, want %d\n%s%s", r.code, tt.code, r.out, r.err)
			}
			for _, want := range tt.out {
				if !strings.Contains(collapseSpaces(r.out), want) {
					t.Errorf("%q is missing in\n%s", want, r.out)
				}
			}
			for _, want := range tt.err {
				if !strings.Contains(r.err, want) {
					t.Errorf("%q is missing in\n%s", want, r.err)
				}
			}
		})
	}
	// A user who takes the check for complete applies guarantees that do not fit.
	if r := run(t, nil, "", "config", "check", "--help"); !strings.Contains(collapseSpaces(r.out), "Not checked are guarantees against the capacity of the workers") {
		t.Errorf("the help does not say what is not checked\n%s", r.out)
	}
	if r := run(t, nil, "", "config", "check", "-", "--against=-"); r.code != ExitUsage {
		t.Errorf("two files from the standard input: exit code %d\n%s", r.code, r.err)
	}
}
