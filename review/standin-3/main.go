// Command review-3 holds the stand-ins of the third review and the drivers of its
// cases. It uses the standard library only.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: review-3 store|worker|CASE ...")
		os.Exit(2)
	}
	commands := map[string]func([]string) int{
		"store":   storeMain,
		"worker":  workerMain,
		"avail":   availMain,
		"kind":    kindMain,
		"handed":  handedMain,
		"reclaim": reclaimMain,
		"late":    lateMain,
		"fresh":   freshMain,
		"crash":   crashMain,
	}
	command, ok := commands[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown command %q\n", os.Args[1])
		os.Exit(2)
	}
	os.Exit(command(os.Args[2:]))
}
