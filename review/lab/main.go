// Command lab plays a case of the review against the project's own programs. The
// store, the servers and the clients are stand-ins in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case. It reports whether the rule was broken. With trouble false it
// leaves the disruption out.
type play func(f *fleet, trouble bool) (isBroken bool, err error)

var plays = map[string]play{
	"leaving": playLeaving,
	"config":  playConfig,
	"memory":  playMemory,
	"move":    playMove,
	"stop":    playStop,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(p play, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.say("the case cannot run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	go stopOnSignal(f)
	isBroken, err := p(f, trouble)
	switch {
	case err != nil:
		rec.say("the case cannot run: %v", err)
		return exitNotRun
	case isBroken:
		rec.say("BROKEN")
		return exitBroken
	}
	rec.say("held")
	return exitHeld
}

// stopOnSignal ends the processes of the case if the case itself is to end.
func stopOnSignal(f *fleet) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	<-received
	f.stop()
	os.Exit(exitNotRun)
}
