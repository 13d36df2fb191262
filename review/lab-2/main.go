// Command lab2 runs the cases of the review as separate processes on loopback
// addresses: entry hosts with the command of the deploy file, and stand-ins of the
// platform's store, servers and clients.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each runs until lab.end.
var cases = map[string]func(record string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD, in the root of the repository")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2])
}
