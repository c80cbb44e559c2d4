package main

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	hupRounds = 70
	hupFronts = 32
	hupShare  = 0.6                    // of the fronts that get SIGHUP in a round
	hupGap    = time.Second            // within which they get it
	startGap  = 300 * time.Millisecond // within which all fronts of a round start
)

// hupWhileStarting starts fronts and sends SIGHUP to most of them, each at a time of its own within a second, as when settings
// change while machines start. It judges whether a process ends by it.
func hupWhileStarting(b *bed, trouble bool) (bool, error) {
	ended := 0
	var signals atomic.Int64
	for range hupRounds {
		started := time.Now()
		var group sync.WaitGroup
		for n := range b.fronts {
			if err := b.startFront(n); err != nil {
				return false, err
			}
			process, after, born := b.fronts[n], rand.N(hupGap), time.Now()
			if trouble && rand.Float64() < hupShare {
				group.Go(func() {
					time.Sleep(after)
					age, err := time.Since(born), process.Signal(syscall.SIGHUP)
					b.record.event("%s: SIGHUP sent %s after its start, error %v", frontName(n), age, err)
					if err == nil {
						signals.Add(1)
					}
				})
			}
			time.Sleep(startGap / hupFronts)
		}
		group.Wait()
		time.Sleep(time.Until(started.Add(startGap + hupGap)))
		ended += b.endFronts()
	}
	b.record.event("%d of %d processes ended after %d signals SIGHUP", ended, hupRounds*hupFronts, signals.Load())
	return ended == 0, nil
}

// endFronts kills the fronts that still run, and returns how many had ended by themselves.
func (b *bed) endFronts() int {
	ended := 0
	for n, process := range b.fronts {
		if process.HasEnded() {
			ended++
			b.record.event("%s had ended: %v", frontName(n), process.Err())
			continue
		}
		process.Kill()
	}
	return ended
}
