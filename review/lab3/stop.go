package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	stopRounds  = 24
	stopFronts  = 32
	stopRuntime = 1200 * time.Millisecond // from readiness to the stop
	stopTimeout = 6 * time.Second         // graceS
)

// plannedStops stops the fronts of small deployments of one front each with SIGTERM, again and again, as a rolling restart
// does, and judges whether a process crashes instead of ending. The deployments share the stand-ins.
func plannedStops(b *bed, trouble bool) (bool, error) {
	b.alone = true
	b.publish(7, warmupTime, 0, coldService)
	h := b.addHost(0)
	if err := h.start(false); err != nil {
		return false, err
	}
	h.register()
	if err := b.startSide(h); err != nil {
		return false, err
	}
	crashes, stops := 0, 0
	for round := 0; round < stopRounds && (trouble || round == 0); round++ {
		for n := range stopFronts {
			if err := b.startFront(n, coldZones[n%len(coldZones)]); err != nil {
				return false, err
			}
		}
		if err := b.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(stopRuntime)
		if !trouble {
			break
		}
		crashes += b.stopFronts()
		stops += stopFronts
	}
	crashes += b.crashedFronts()
	b.record.event("%d crashes in %d stops", crashes, stops)
	return crashes == 0, nil
}

// stopFronts stops all fronts with SIGTERM and returns how many of them crashed.
func (b *bed) stopFronts() int {
	for n := range stopFronts {
		_ = b.children[frontName(n)].Signal(syscall.SIGTERM) // it has ended, and is found below
	}
	for n := range stopFronts {
		err := b.children[frontName(n)].Await(stopTimeout)
		b.record.event("%s ended: %v", frontName(n), err)
	}
	return b.crashedFronts()
}

// crashedFronts returns the number of fronts whose output shows a crash since the last call.
func (b *bed) crashedFronts() int {
	crashes := 0
	for n := range stopFronts {
		path := filepath.Join(b.dir, frontName(n)+".log")
		text, _ := os.ReadFile(path)
		if _, trace, found := strings.Cut(string(text), "panic: "); found {
			crashes++
			b.record.event("%s crashed: %.1500s", frontName(n), trace)
		}
		_ = os.Truncate(path, 0)
	}
	return crashes
}

func frontName(n int) string { return fmt.Sprintf("front-%d", n) }
