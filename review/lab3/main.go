// Command lab3 plays the scripts of the third review: it starts the programs of the deploy file as processes on loopback
// addresses, with stand-ins for the store and a host, brings about a disruption, and judges what becomes of the processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// script is a case. It returns whether the rule held.
type script struct {
	fronts int
	play   func(b *bed, trouble bool) (held bool, err error)
}

var scripts = map[string]script{
	"hup-while-starting": {fronts: hupFronts, play: hupWhileStarting},
	"planned-stops":      {fronts: stopFronts, play: plannedStops},
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scripts[args[0]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 SCRIPT FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	chosen := scripts[args[0]]
	b, err := newBed(rec, chosen.fronts)
	if err != nil {
		rec.event("not run: %v", err)
		return exitNotRun
	}
	defer b.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.event("script %s, disruption %t", args[0], trouble)
	held, err := chosen.play(b, trouble)
	switch {
	case err != nil:
		rec.event("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case held:
		rec.event("no process crashed")
		return exitHeld
	default:
		rec.event("a process crashed")
		return exitBroken
	}
}
