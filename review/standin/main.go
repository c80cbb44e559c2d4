// Command standin plays one case of the review against the project's programs, which it starts as separate processes on
// loopback addresses. The store, the routers, the clients and the hosts are stand-ins within it.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit bounds a play.
const playLimit = 100 * time.Second

// play plays a case and returns how often its rule was broken.
type play func(b *bed, trouble bool) (broken int, err error)

var plays = map[string]play{
	"route-moves":    playRouteMoves,
	"agent-restarts": playAgentRestarts,
	"stale-front":    playStaleFront,
	"power-loss":     playPowerLoss,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(p play, folder string, trouble bool) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	b, err := newBed(rec)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	defer b.close()
	time.AfterFunc(playLimit, func() {
		rec.say("the case could not run: it took too long")
		b.close()
		rec.close()
		os.Exit(exitNotRun)
	})
	broken, err := p(b, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken > 0:
		rec.say("BROKEN %d times", broken)
		return exitBroken
	default:
		rec.say("the rule held")
		return exitHeld
	}
}
