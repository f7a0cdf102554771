package console

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kong"
)

// Output formats.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// helpWidth is the maximum line width of the help text.
const helpWidth = 100

const description = `Submits work to daisylug and manages its teams and templates.`

const outputHelp = `Answers go to the standard output, as tables or as the JSON objects of the HTTP interface. Notes, progress and errors go to the standard error; with --output=json an error is a JSON object with the fields type, message, field and ran. The field ran tells whether refused work was run: no, yes or unknown.`

// example is a sample command for the help text and the man page.
type example struct {
	text    string
	command string
}

var examples = []example{
	{"Submit a job of 2 workers with 8 accelerators each and follow it:", "daisylug job submit --team=north --template=frost-map --shape=2x8 --deadline=6h --wait"},
	{"Submit under a key, so that the command can be repeated safely:", "daisylug job submit --team=north --template=frost-map --key=2026-01-31 --payload=@grove.json"},
	{"Cancel everything that team north has waiting:", "daisylug job cancel --team=north --state=queued"},
	{"Change teams and wait until the change is in force on every instance:", "daisylug team list --output=json > teams.json\ndaisylug team diff teams.json\ndaisylug team apply teams.json --wait"},
}

// usageDetail returns the part of the help text that follows the description.
func usageDetail() string {
	var b strings.Builder
	b.WriteString(outputHelp + "\n\nExit codes:\n\n")
	for _, e := range exitMeanings {
		fmt.Fprintf(&b, "    %3d  %s\n", e.code, e.text)
	}
	b.WriteString("\nExamples:\n")
	for _, e := range examples {
		fmt.Fprintf(&b, "\n%s\n\n    %s\n", e.text, strings.ReplaceAll(e.command, "\n", "\n    "))
	}
	return strings.TrimSpace(b.String())
}

// Options defines the global flags and the commands.
type Options struct {
	Help    helpFlag      `short:"h" help:"Show help."`
	Servers []server      `env:"DAISYLUG_SERVERS" default:"http://127.0.0.1:8080" placeholder:"URL" help:"Base URLs of instances. Another one is tried when one cannot be reached or is shutting down, if nothing was sent or the call can be repeated. Default: ${default}."`
	Timeout time.Duration `env:"DAISYLUG_TIMEOUT" default:"10s" placeholder:"DURATION" help:"Longest time for a call, apart from the time that an instance is asked to wait. Default: ${default}."`
	Output  string        `env:"DAISYLUG_OUTPUT" short:"o" default:"table" enum:"table,json" placeholder:"FORMAT" help:"Format of the output: table or json. Default: ${default}."`

	Job      jobCommand      `cmd:"" help:"Submit, follow and cancel jobs."`
	Quote    quoteCommand    `cmd:"" help:"Send a quick request and print its answer."`
	Team     teamCommand     `cmd:"" help:"Show and change teams."`
	Template templateCommand `cmd:"" help:"Show and change templates."`
	Config   configCommand   `cmd:"" help:"Check files of teams and templates."`
	Status   statusCommand   `cmd:"" help:"Show the status of an instance or of all."`
	Bench    benchCommand    `cmd:"" help:"Load daisylug and report latencies, goodput and refusals."`

	Completion completionCommand `cmd:"" help:"Print the completion script for a shell."`
	Manual     manualCommand     `cmd:"" hidden:"" help:"Print the man page."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// errHelp stops parsing after the help text has been printed.
var errHelp = errors.New("help was printed")

// helpFlag prints the help text of the command that precedes the flag.
type helpFlag bool

// BeforeReset prints the help text. Kong calls it before it checks required
// arguments, so that --help works without them.
func (helpFlag) BeforeReset(ctx *kong.Context) error {
	if err := ctx.PrintUsage(false); err != nil {
		return err
	}
	return errHelp
}

// newParser returns a parser that stores the arguments in o.
func newParser(o *Options, s Streams) (*kong.Kong, error) {
	parser, err := kong.New(o,
		kong.Name("daisylug"),
		kong.Description(description),
		kong.NoDefaultHelp(),
		kong.Writers(s.Out, s.Err),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
	)
	if err != nil {
		return nil, err
	}
	parser.Model.Detail = usageDetail()
	return parser, nil
}
