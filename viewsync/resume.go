package viewsync

import (
	"context"
	"time"
)

const (
	// runningInterval is how often a process notes that it runs, and maxRunningGap the gap between two notes above which
	// it was paused, or its VM suspended. Delays by scheduling are shorter.
	runningInterval = 50 * time.Millisecond
	maxRunningGap   = 500 * time.Millisecond
	// socketDrainTime is how long after a pause updates may have been sent before or during it. They waited in the socket.
	socketDrainTime = 200 * time.Millisecond
)

// watchRunning notes that the process runs, until ctx is done.
func (s *Syncer) watchRunning(ctx context.Context) {
	ticker := time.NewTicker(runningInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		s.noteRunning()
		s.mu.Unlock()
	}
}

// noteRunning notes that the process runs, and whether it was paused before. The caller must hold s.mu.
func (s *Syncer) noteRunning() {
	now := s.sinceBoot()
	if gap := now - s.runningAt; s.runningAt != 0 && gap > maxRunningGap {
		s.resumedAt = now
		s.config.Log.Info("resumed", "gap", gap)
	}
	s.runningAt = now
}

// isDraining reports whether the process was paused a moment ago, so that the age of an update that it reads now is unknown:
// the update confirms nothing. The caller must hold s.mu.
func (s *Syncer) isDraining() bool {
	s.noteRunning()
	return s.resumedAt != 0 && s.sinceBoot()-s.resumedAt < socketDrainTime
}
