package console

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

const docs = "../../docs/"

func squeeze(text string) string { return strings.Join(strings.Fields(text), " ") }

// TestManual guards against a man page that differs from --help: the page is
// the generated one, and every line of help of every command is in it.
func TestManual(t *testing.T) {
	page := run(t, direct{}, "", "manual").out
	golden(t, docs+"daisylug.1", page)
	page = squeeze(strings.ReplaceAll(page, `\-`, "-"))
	parser, err := newParser(&Options{}, Streams{})
	if err != nil {
		t.Fatal(err)
	}
	flag := regexp.MustCompile(`--(\[no-\])?[a-z-]+`)
	for _, p := range commandPaths(parser.Model.Node) {
		help := run(t, direct{}, "", append(p.words, "--help")...)
		if help.code != ExitOK || !strings.Contains(squeeze(help.out), squeeze(p.node.Help)) {
			t.Errorf("daisylug %s --help: exit code %d\n%s", p.key(), help.code, help.out)
		}
		for _, name := range flag.FindAllString(help.out, -1) {
			if !strings.Contains(page, name) {
				t.Errorf("daisylug %s: %s is not in the man page", p.key(), name)
			}
		}
		for _, f := range p.node.Flags {
			if !strings.Contains(squeeze(help.out), squeeze(f.Help)[:len(squeeze(f.Help))-1]) || !strings.Contains(page, squeeze(f.Help)) {
				t.Errorf("daisylug %s: the text of --%s is not in both", p.key(), f.Name)
			}
		}
	}
}

// TestDaemonManual guards against a man page of the daemon that lacks a
// setting of its schema, or gives another text or default.
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

// TestCompletion guards against scripts in shell/ that the command no longer
// prints, and against commands and flags that they do not offer.
func TestCompletion(t *testing.T) {
	parser, err := newParser(&Options{}, Streams{})
	if err != nil {
		t.Fatal(err)
	}
	for shell, file := range map[string]string{"bash": "daisylug.bash", "zsh": "_daisylug", "fish": "daisylug.fish"} {
		script := run(t, direct{}, "", "completion", shell).out
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
	if got := run(t, direct{}, "", "completion", "csh"); got.code != ExitUsage {
		t.Errorf("exit code %d for an unknown shell", got.code)
	}
}
