// Package console implements the daisylug command line: it parses the arguments,
// calls the HTTP API of the instances, prints the results and returns the exit
// code.
package console

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/alecthomas/kong"
)

// Streams holds the standard input, output and error of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Console parses and runs commands.
type Console struct {
	streams   Streams
	transport http.RoundTripper
}

// New returns a console that uses streams for input and output and sends its API
// calls through transport.
func New(streams Streams, transport http.RoundTripper) *Console {
	return &Console{streams: streams, transport: transport}
}

// Run executes the command given by args, which exclude the program name, and
// returns its exit code.
func (c *Console) Run(ctx context.Context, args []string) int {
	var options Options
	parser, err := newParser(&options, c.streams)
	if err != nil {
		return c.fail(OutputTable, err)
	}
	parsed, err := parser.Parse(args)
	if errors.Is(err, errHelp) {
		return ExitOK
	}
	if err != nil {
		return c.fail(options.Output, usageError(err))
	}
	err = parsed.Run(c.session(ctx, &options, parser.Model))
	if err == nil {
		return ExitOK
	}
	if ctx.Err() != nil {
		err = &InterruptedError{Cause: err}
	}
	return c.fail(options.Output, err)
}

// session holds the state that the commands of one invocation share.
type session struct {
	Streams
	ctx     context.Context
	client  *client
	printer *printer
	model   *kong.Application
}

func (c *Console) session(ctx context.Context, o *Options, model *kong.Application) *session {
	return &session{
		Streams: c.streams,
		ctx:     ctx,
		client:  newClient(o.Servers, o.Timeout, c.transport),
		printer: newPrinter(c.streams.Out, o.Output),
		model:   model,
	}
}

// fail prints err and returns its exit code.
func (c *Console) fail(output string, err error) int {
	printFailure(c.streams.Err, output, err)
	return exitCode(err)
}
