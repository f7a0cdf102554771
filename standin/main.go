// Command standin is a small stand-in for the platform, for demos and tests.
package main

import (
	"os"

	"daisylug.example/standin/depot"
)

func main() { os.Exit(depot.Main(os.Args[1:])) }
