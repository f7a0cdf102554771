// Command daisylug is the command line for callers and operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"daisylug.example/daisylug/console"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	streams := console.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	code := console.New(streams, console.NewTransport()).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
