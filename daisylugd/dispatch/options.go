// Package dispatch is the entry daemon: it serves callers over HTTP, takes part
// in the group of instances, owns racks and, where it holds the role, plans for
// its data centre.
package dispatch

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes of daisylugd.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

const usage = `Entry daemon of daisylug.

Accepts jobs and quick requests over HTTP and shares, with the other instances
of its data centre, the scheduling of the workers there. Every flag can also be
given in the environment as DAISYLUGD_ and its name in capitals.`

// options is the command line.
type options struct {
	Flags
	Version kong.VersionFlag `help:"Print the version and exit." short:"V"`
}

// parse reads the command line and the environment.
func parse(args []string, stdout, stderr io.Writer) (Settings, error) {
	var o options
	parser, err := kong.New(&o,
		kong.Name("daisylugd"),
		kong.Description(usage),
		kong.Writers(stdout, stderr),
		kong.Vars{"version": Version},
	)
	if err != nil {
		return Settings{}, err
	}
	if _, err := parser.Parse(args); err != nil {
		return Settings{}, err
	}
	return o.Settings()
}

// Main runs the daemon and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	settings, err := parse(args, stdout, stderr)
	if err != nil {
		report(stderr, err)
		return ExitSettings
	}
	if err := run(settings); err != nil {
		report(stderr, err)
		return ExitFailure
	}
	return ExitOK
}

func report(w io.Writer, err error) {
	var wrong *SettingsError
	if !errors.As(err, &wrong) {
		_, _ = fmt.Fprintln(w, "daisylugd:", err)
		return
	}
	for _, one := range wrong.Errors {
		_, _ = fmt.Fprintln(w, "daisylugd:", one)
	}
}
