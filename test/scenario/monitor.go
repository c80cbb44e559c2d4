package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/test/testbed"
)

// monitorPeriod is how often the revision of each process is read.
const monitorPeriod = 200 * time.Millisecond

// monitor watches the revisions in force for one that goes back.
type monitor struct {
	bed    *testbed.Bed
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	highest map[string]uint64
	reverts []string
}

func watchRevisions(bed *testbed.Bed) *monitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &monitor{bed: bed, cancel: cancel, done: make(chan struct{}), highest: make(map[string]uint64)}
	go m.run(ctx)
	return m
}

func (m *monitor) run(ctx context.Context) {
	defer close(m.done)
	ticker := time.NewTicker(monitorPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var wg sync.WaitGroup
		for _, vm := range m.bed.Running() {
			wg.Go(func() { m.look(vm) })
		}
		wg.Wait()
	}
}

// look compares the revision of a process that is ready with the highest one it had, also before a restart.
func (m *monitor) look(vm string) {
	if m.bed.Ready(vm) != nil {
		return
	}
	revision, err := m.bed.Revision(vm)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.highest[vm] {
		m.reverts = append(m.reverts, fmt.Sprintf("%s went from revision %d back to %d", vm, m.highest[vm], revision))
	}
	m.highest[vm] = max(m.highest[vm], revision)
}

func (m *monitor) reverted() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.reverts...)
}

func (m *monitor) stop() {
	m.cancel()
	<-m.done
}
