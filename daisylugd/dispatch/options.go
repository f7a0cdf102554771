// Package dispatch implements the entry daemon. It serves clients over HTTP,
// takes part in the group of instances, owns racks and, while it holds the
// planner role, schedules the jobs of its data centre.
package dispatch

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Version is the version of daisylugd.
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

// cliOptions holds the command line options.
type cliOptions struct {
	Flags
	Version kong.VersionFlag `help:"Print the version and exit." short:"V"`
}

// parse parses the command line and the environment.
func parse(args []string, stdout, stderr io.Writer) (Settings, error) {
	var o cliOptions
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
		printError(stderr, err)
		return ExitSettings
	}
	if err := run(settings); err != nil {
		printError(stderr, err)
		return ExitFailure
	}
	return ExitOK
}

func printError(w io.Writer, err error) {
	var settingsErr *SettingsError
	if !errors.As(err, &settingsErr) {
		_, _ = fmt.Fprintln(w, "daisylugd:", err)
		return
	}
	for _, settingErr := range settingsErr.Errors {
		_, _ = fmt.Fprintln(w, "daisylugd:", settingErr)
	}
}
