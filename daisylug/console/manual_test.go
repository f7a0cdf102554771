package console

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

const docs = "../../docs/"

func collapseSpaces(text string) string { return strings.Join(strings.Fields(text), " ") }

// TestManual guards against a man page that is out of date or differs from
// --help: it must equal the generated page and contain the help and the flags of
// every command.
func TestManual(t *testing.T) {
	page := run(t, handlerTransport{}, "", "manual").out
	golden(t, docs+"daisylug.1", page)
	page = collapseSpaces(strings.ReplaceAll(page, `\-`, "-"))
	parser, err := newParser(&Options{}, Streams{})
	if err != nil {
		t.Fatal(err)
	}
	flag := regexp.MustCompile(`--(\[no-\])?[a-z-]+`)
	for _, p := range commandPaths(parser.Model.Node) {
		help := run(t, handlerTransport{}, "", append(p.words, "--help")...)
		if help.code != ExitOK || !strings.Contains(collapseSpaces(help.out), collapseSpaces(p.node.Help)) {
			t.Errorf("daisylug %s --help: exit code %d\n%s", p.fullName(), help.code, help.out)
		}
		for _, name := range flag.FindAllString(help.out, -1) {
			if !strings.Contains(page, name) {
				t.Errorf("daisylug %s: %s is not in the man page", p.fullName(), name)
			}
		}
		for _, f := range p.node.Flags {
			if !strings.Contains(collapseSpaces(help.out), collapseSpaces(f.Help)[:len(collapseSpaces(f.Help))-1]) || !strings.Contains(page, collapseSpaces(f.Help)) {
				t.Errorf("daisylug %s: the text of --%s is not in both", p.fullName(), f.Name)
			}
		}
	}
}

// TestDaemonManual guards against a man page of the daemon that lacks a setting
// of the schema, or whose help text or default differs from it.
func TestDaemonManual(t *testing.T) {
	schema, err := os.ReadFile("../../daisylugd/settings/settings.proto")
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(docs + "daisylugd.1")
	if err != nil {
		t.Fatal(err)
	}
	page := strings.ReplaceAll(string(content), `\-`, "-")
	field := regexp.MustCompile(`(?m)^  string (\w+) = .*help: "([^"]*)"`)
	fallback := regexp.MustCompile(`fallback: "([^"]*)"`)
	fields := field.FindAllStringSubmatch(string(schema), -1)
	if len(fields) == 0 {
		t.Fatal("no settings found in the schema")
	}
	for _, f := range fields {
		want := ".B --" + strings.ReplaceAll(f[1], "_", "-") + "="
		rest, found := strings.CutPrefix(page[max(strings.Index(page, want), 0):], want)
		entry, _, _ := strings.Cut(rest, ".TP")
		if !found || !strings.Contains(entry, f[2]) || !strings.Contains(entry, "DAISYLUGD_"+strings.ToUpper(f[1])) {
			t.Errorf("%s: its flag, text or variable is missing", f[1])
		}
		if d := fallback.FindStringSubmatch(f[0]); d != nil && !strings.Contains(entry, "Default: "+d[1]+".") {
			t.Errorf("%s: default %s is missing", f[1], d[1])
		}
	}
}

// TestCompletion guards against scripts in shell/ that differ from the generated
// ones, and against scripts that lack a command or flag.
func TestCompletion(t *testing.T) {
	parser, err := newParser(&Options{}, Streams{})
	if err != nil {
		t.Fatal(err)
	}
	for shell, file := range map[string]string{"bash": "daisylug.bash", "zsh": "_daisylug", "fish": "daisylug.fish"} {
		script := run(t, handlerTransport{}, "", "completion", shell).out
		golden(t, "../../shell/"+file, script)
		for _, p := range commandPaths(parser.Model.Node) {
			words := p.words
			for _, f := range p.node.Flags {
				words = append(words, f.Name)
			}
			for _, word := range words {
				if !strings.Contains(script, word) {
					t.Errorf("%s: %s is missing", shell, word)
				}
			}
		}
	}
	if got := run(t, handlerTransport{}, "", "completion", "csh"); got.code != ExitUsage {
		t.Errorf("exit code %d for an unknown shell", got.code)
	}
}
