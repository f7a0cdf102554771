// Command standin serves an in-memory simulation of the platform, for demos and
// tests.
package main

import (
	"os"

	"daisylug.example/standin/depot"
)

func main() { os.Exit(depot.Main(os.Args[1:])) }
