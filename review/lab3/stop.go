package main

import (
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

// plannedStops stops the fronts with SIGTERM and starts them again, as a rolling restart does, and judges whether a process
// crashes instead of ending. Without the disruption it starts them once and stops none.
func plannedStops(b *bed, trouble bool) (bool, error) {
	rounds := stopRounds
	if !trouble {
		rounds = 1
	}
	crashes, stops := 0, 0
	for range rounds {
		for n := range b.fronts {
			if err := b.startFront(n); err != nil {
				return false, err
			}
		}
		if err := b.awaitReady(); err != nil {
			return false, err
		}
		time.Sleep(stopRuntime)
		if trouble {
			b.stopFronts()
			stops += len(b.fronts)
		}
		crashes += b.crashedFronts()
	}
	b.record.event("%d crashes in %d stops", crashes, stops)
	return crashes == 0, nil
}

// stopFronts stops all fronts with SIGTERM and waits for their end.
func (b *bed) stopFronts() {
	for n, process := range b.fronts {
		b.record.event("%s: SIGTERM sent, error %v", frontName(n), process.Signal(syscall.SIGTERM))
	}
	for n, process := range b.fronts {
		b.record.event("%s ended: %v", frontName(n), process.Await(stopTimeout))
	}
}

// crashedFronts returns the number of fronts whose output shows a panic since the last call.
func (b *bed) crashedFronts() int {
	crashes := 0
	for n := range b.fronts {
		path := filepath.Join(b.dir, frontName(n)+".log")
		text, _ := os.ReadFile(path)
		if _, trace, found := strings.Cut(string(text), "panic: "); found {
			crashes++
			b.record.event("%s crashed: panic: %s", frontName(n), withoutFiles(trace))
		}
		_ = os.Truncate(path, 0)
	}
	return crashes
}

// withoutFiles returns a trace without the lines that name source files, whose paths belong to the machine.
func withoutFiles(trace string) string {
	var kept []string
	for line := range strings.Lines(trace) {
		if !strings.HasPrefix(line, "\t") {
			kept = append(kept, strings.TrimSpace(line))
		}
	}
	return strings.Join(kept, "\n          ")
}
