package viewsync

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
)

// startOutageGrace starts the grace period for removed targets if lastContact, the last time at which data
// from the store arrived directly or through a peer, is more than minOutage ago. The caller must hold s.mu.
func (s *Syncer) startOutageGrace(lastContact, now time.Duration) {
	if now-lastContact > minOutage {
		s.graceUntil = now + outageGrace
	}
}

// markExpired marks removed targets as expired: after an outage of the store, their entries may be written again.
func markExpired(records []directory.Record) {
	for i := range records {
		records[i].Expired = records[i].Removed && records[i].Kind == directory.KindTarget
	}
}
