// Command lab shows a fault of the packet path with real processes of the system on loopback, and stand-ins for clients,
// hosts, routers and the store. It exits with 1 if a rule was broken, 0 if none was, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name.
var cases = map[string]func(f *fleet, trouble bool) error{
	"leaving-port":      func(f *fleet, trouble bool) error { return leavingPort(f, trouble, true) },
	"old-flows":         oldFlows,
	"drill":             func(f *fleet, trouble bool) error { return drillEvacuation(f, trouble, false) },
	"drill-kill":        func(f *fleet, trouble bool) error { return drillEvacuation(f, trouble, true) },
	"leaving-port-open": func(f *fleet, trouble bool) error { return leavingPort(f, trouble, false) },
}

// rounds is how often a case is played, each time with a deployment of its own, where that is more than once.
var rounds = map[string]int{"drill": 5, "drill-kill": 5}

// init keeps the main goroutine, which starts all processes, on one thread: the kernel ends them with it.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD; cases:", slices.Sorted(maps.Keys(cases)))
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	rec.add("case %s, trouble %t", name, trouble)
	for range max(1, rounds[name]) {
		if err := play(name, dir, trouble, rec); err != nil {
			rec.add("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
	}
	rec.finish()
	if rec.breaches() > 0 {
		return exitBroken
	}
	return exitHeld
}

// play starts a deployment, plays the case on it and ends all of its processes.
func play(name, dir string, trouble bool, rec *record) error {
	f, err := newFleet(dir, []string{"zone-a", "zone-b", "zone-c"}, rec)
	if err != nil {
		return err
	}
	defer f.stop()
	return cases[name](f, trouble)
}

// finish writes the counts and prints them.
func (r *record) finish() {
	for _, name := range slices.Sorted(maps.Keys(r.counts)) {
		r.add("count of %s: %d", name, r.counts[name])
		fmt.Printf("%s: %d\n", name, r.counts[name])
	}
	r.add("rules broken: %d times", r.broken)
	fmt.Printf("rules broken: %d times\n", r.broken)
}

// prepare starts the router and a number of nodes and machines of clients, and writes the first configuration.
func (f *fleet) prepare(fronts, clients int, service string) error {
	f.publish(service)
	if err := f.addFronts(fronts); err != nil {
		return err
	}
	go f.router.run()
	return f.addClients(clients)
}

const startLimit = 10 * time.Second

var errNotReady = errors.New("the nodes were not ready in time")

// awaitStart waits until all nodes are in rotation and have seen the hosts.
func (f *fleet) awaitStart() error {
	if !f.router.awaitReady(len(f.fronts), startLimit) {
		return errNotReady
	}
	time.Sleep(time.Second)
	return nil
}
