// Command daisylugd is the entry daemon of daisylug.
package main

import (
	"os"

	"daisylug.example/daisylugd/dispatch"
)

func main() {
	os.Exit(dispatch.Main(os.Args[1:], os.Stdout, os.Stderr))
}
