package configcheck

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"daisylug.example/scheduler/template"
)

const templatesInForce = `{"templates": [
  {"name": "big", "class": "planned", "shape": {"workers": 2, "accelerators": 8}, "limit": {"workers": 4, "accelerators": 8}, "estimate": 60, "version": 3},
  {"name": "quick", "class": "quick", "shape": {"workers": 1, "accelerators": 1}, "estimate": 1, "version": 2}
], "teams": [
  {"name": "a", "templates": ["big", "quick"], "priority": 1, "weight": 1, "prepaid": 5, "guarantees": [], "version": 7}
]}`

func mustParse(t *testing.T, text string) *Document {
	t.Helper()
	if text == "" {
		return nil
	}
	d, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestCheck guards against faults that are not reported, or with the wrong line, and
// against findings about a file without faults.
func TestCheck(t *testing.T) {
	team := func(fields string) string {
		return "[\n{\"name\": \"t\", \"priority\": 1, \"weight\": 1, \"prepaid\": 1,\n" + fields + "}]"
	}
	for _, tt := range []struct {
		name, file, against string
		want                []string
	}{
		{"valid", team(`"templates": ["big"], "guarantees": [{"centre": "c", "shape": {"workers": 2, "accelerators": 8}, "count": 1}]`), templatesInForce, nil},
		{"incomplete without the one in force", `{"name": "a", "priority": 5}`, "", []string{"error 1 weight is 0"}},
		{"omitted fields keep their values", `{"name": "a", "priority": 5}`, templatesInForce, nil},
		{"unknown template", team(`"templates": ["big",` + "\n" + `"smal"]`), templatesInForce, []string{`error 4 [0].templates[1] names the unknown template "smal"`}},
		{"templates not known", team(`"templates": ["big"]`), "", []string{"warning 3 [0].templates[0] names \"big\", which cannot be checked"}},
		{"repeated template", team(`"templates": ["big", "big"]`), templatesInForce, []string{`error 3 [0].templates[1] repeats "big"`}},
		{"unknown field", team(`"templates": ["big"], "guarantees": [` + "\n" + `{"datacentre": "c", "shape": {"workers": 2, "accelerators": 8}, "count": 1}]`), templatesInForce,
			[]string{"error 4 [0].guarantees[0].datacentre is not a known field"}},
		{"wrong type", team(`"templates": ["big"], "guarantees": [` + "\n" + `{"centre": "c", "shape": {"workers": "2", "accelerators": 8}, "count": 1}]`), templatesInForce,
			[]string{"error 4 [0].guarantees[0].shape.workers cannot be string"}},
		{"shape that no rack has", team(`"templates": ["big"], "guarantees": [{"centre": "c", "shape": {"workers": 99, "accelerators": 8}, "count": 1}]`), templatesInForce,
			[]string{"error 3 [0].guarantees[0].shape.workers is 99, not between 1 and 8"}},
		{"guarantee above every limit", team(`"templates": ["big"], "guarantees": [{"centre": "c", "shape": {"workers": 8, "accelerators": 8}, "count": 1}]`), templatesInForce,
			[]string{"warning 3 [0].guarantees[0].shape is above the limit of every template"}},
		{"guarantee of a team with quick requests only", team(`"templates": ["quick"], "guarantees": [{"centre": "c", "shape": {"workers": 1, "accelerators": 1}, "count": 1}]`), templatesInForce,
			[]string{"warning 3 [0].guarantees[0].shape is above the limit of every template"}},
		{"guarantee below every shape", team(`"templates": ["big"], "guarantees": [{"centre": "c", "shape": {"workers": 1, "accelerators": 8}, "count": 1}]`), templatesInForce,
			[]string{"warning 3 [0].guarantees[0].shape is smaller than the shape of every template"}},
		{"two guarantees alike", team(`"templates": ["big"], "guarantees": [{"centre": "c", "shape": {"workers": 2, "accelerators": 8}, "count": 1}, {"centre": "c", "shape": {"workers": 2, "accelerators": 8}, "count": 2}]`), templatesInForce,
			[]string{"warning 3 [0].guarantees[1] has the centre and shape of guarantees[0]"}},
		{"no templates", team(`"templates": []`), templatesInForce, []string{"warning 3 [0].templates is empty"}},
		{"a field twice", team(`"templates": ["big"],` + "\n" + `"weight": 2`), templatesInForce, []string{"warning 4 [0].weight is given twice, which an instance accepts; only one value takes effect, normally the last"}},
		{"the last of two values is checked", team(`"templates": ["big"],` + "\n" + `"Weight": 0`), templatesInForce,
			[]string{"warning 4 [0].weight is given twice", "error 4 [0].weight is 0"}},
		{"names in another case", "[\n" + `{"Name": "a", "TEMPLATES": ["big"], "Guarantees": [{"Centre": "c", "Shape": {"WORKERS": 2, "accelerators": 8}, "count": 1}], "Version": 7}]`, templatesInForce, nil},
		{"a single team in another case", `{"Name": "a", "templates": ["big"]}`, templatesInForce, nil},
		{"line of a name in another case", team(`"templates": ["big"],` + "\n" + `"Guarantees": [{"Centre": "c", "Shape": {"Workers": 99, "Accelerators": 8}, "Count": 1}]`), templatesInForce,
			[]string{"error 4 [0].guarantees[0].shape.workers is 99"}},
		{"a new template beside one that may be in force", `{"templates": [{"name": "x", "class": "quick", "shape": {"workers": 1, "accelerators": 1}, "estimate": 1}],` + "\n" +
			`"teams": [{"name": "t", "priority": 1, "weight": 1, "prepaid": 1, "templates": ["x", "big"]}]}`, "",
			[]string{`warning 2 teams[0].templates[1] names "big", which cannot be checked without the templates in force`}},
		{"a name twice", `[{"name": "a", "priority": 1},` + "\n" + `{"name": "a", "priority": 2}]`, templatesInForce, []string{`error 2 [1].name team "a" is given twice`}},
		{"old version", `{"name": "a", "priority": 1, "version": 6}`, templatesInForce, []string{"error 1 version is 6, but version 7 is in force"}},
		{"unknown class", `{"name": "x", "class": "slow", "shape": {"workers": 1, "accelerators": 1}, "estimate": 1}`, "", []string{"error 1 class must be quick, planned or background"}},
		{"default shape above the limit", `{"name": "x", "class": "planned", "shape": {"workers": 1, "accelerators": 8},` + "\n" + `"limit": {"workers": 8, "accelerators": 1}, "estimate": 1}`, "",
			[]string{"warning 2 limit is below the shape"}},
		{"unused template", `{"templates": [` + "\n" + `{"name": "x", "class": "quick", "shape": {"workers": 1, "accelerators": 1}, "estimate": 1}]}`, templatesInForce,
			[]string{"warning 2 templates[0].name no team has the template"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := Check(mustParse(t, tt.file), mustParse(t, tt.against), template.DefaultOptions())
			if len(got) != len(tt.want) {
				t.Fatalf("%+v, want %q", got, tt.want)
			}
			for i, f := range got {
				if text := fmt.Sprint(f.Severity, " ", f.Line, " ", f.Path, " ", f.Message); !strings.HasPrefix(text, tt.want[i]) {
					t.Errorf("%q, want %q", text, tt.want[i])
				}
			}
		})
	}
}

// TestExamplesHaveNoFindings checks that the complete configurations of examples
// pass.
func TestExamplesHaveNoFindings(t *testing.T) {
	for _, name := range []string{"frost", "kivilattia"} {
		read := func(file string) string {
			content, err := os.ReadFile("../../examples/" + name + "/" + file + ".json")
			if err != nil {
				t.Fatal(err)
			}
			return string(content)
		}
		d := mustParse(t, `{"templates": `+read("templates")+`, "teams": `+read("teams")+"}")
		for _, f := range Check(d, nil, template.DefaultOptions()) {
			t.Errorf("%s: %+v", name, f)
		}
	}
}

func TestSyntaxErrors(t *testing.T) {
	for text, line := range map[string]int{
		"":                           1,
		"{\n\"name\": }":             2,
		"[1]":                        1,
		"[]\n\n[]":                   3,
		"7":                          1,
		"{\"teams\":\n{}}":           2,
		"{\"teams\": [],\n\"te\":1}": 2,
		"[{\"name\": \"a\"},\nnull]": 2,
	} {
		_, err := Parse([]byte(text))
		var syntax *SyntaxError
		if !errors.As(err, &syntax) || syntax.Line != line {
			t.Errorf("%q: %v, want line %d", text, err, line)
		}
	}
}

// FuzzCheck guards against input that makes the checks panic.
func FuzzCheck(f *testing.F) {
	f.Add(templatesInForce, `{"name": "a", "priority": 5}`)
	f.Add(`[{"name":"a","templates":[],"guarantees":[{}]}]`, `{"teams":[null]}`)
	f.Fuzz(func(t *testing.T, a, b string) {
		d, err := Parse([]byte(a))
		if err != nil {
			return
		}
		inForce, _ := Parse([]byte(b))
		for _, finding := range Check(d, inForce, template.DefaultOptions()) {
			if finding.Line < 1 || finding.Message == "" {
				t.Errorf("%+v", finding)
			}
		}
	})
}
