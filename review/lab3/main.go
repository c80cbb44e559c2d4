// Command lab3 plays the scripts of the third review: it starts the programs of the deploy file as processes on loopback
// addresses, with stand-ins for the store, hosts and clients, brings about a disruption, and judges one rule.
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

// cases are the scripts by name. Each returns whether the rule held.
var cases = map[string]func(b *bed, trouble bool) (held bool, err error){
	"cold-agent-killed": coldAgentKilled,
	"cold-store-down":   coldStoreDown,
	"planned-stops":     plannedStops,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	b, err := newBed(rec)
	if err != nil {
		rec.event("not run: %v", err)
		return exitNotRun
	}
	defer b.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.event("case %s, disruption %t", args[0], trouble)
	held, err := cases[args[0]](b, trouble)
	switch {
	case err != nil:
		rec.event("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case held:
		rec.event("the rule held")
		return exitHeld
	default:
		rec.event("the rule was broken")
		return exitBroken
	}
}
