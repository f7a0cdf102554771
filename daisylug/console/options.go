package console

import (
	"errors"
	"time"

	"github.com/alecthomas/kong"
)

// Output formats.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

const description = `Submits work to daisylug and manages its teams and templates.`

// Options are the flags and commands.
type Options struct {
	Help    helpFlag      `short:"h" help:"Show help."`
	Servers []server      `env:"DAISYLUG_SERVERS" default:"http://127.0.0.1:8080" placeholder:"URL" help:"Base URLs of instances. Another one is tried when one cannot be reached or is shutting down, if nothing was sent or the call can be repeated."`
	Timeout time.Duration `env:"DAISYLUG_TIMEOUT" default:"10s" placeholder:"DURATION" help:"Longest time for a call, apart from the time that an instance is asked to wait."`
	Output  string        `env:"DAISYLUG_OUTPUT" short:"o" default:"table" enum:"table,json" placeholder:"FORMAT" help:"Format of the output: table or json."`

	Version versionCommand `cmd:"" help:"Print the version."`
}

// errHelp ends parsing after the help text was printed.
var errHelp = errors.New("help was printed")

// helpFlag prints the help text of the command before it on the line.
type helpFlag bool

// BeforeReset runs before required arguments are checked.
func (helpFlag) BeforeReset(ctx *kong.Context) error {
	if err := ctx.PrintUsage(false); err != nil {
		return err
	}
	return errHelp
}

// newParser returns the parser that fills o.
func newParser(o *Options, s Streams) (*kong.Kong, error) {
	return kong.New(o,
		kong.Name("daisylug"),
		kong.Description(description),
		kong.NoDefaultHelp(),
		kong.Writers(s.Out, s.Err),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
}
