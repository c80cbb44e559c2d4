package fleet

import "time"

// GracePeriod is how long a table keeps what has gone, so that all peers learn of it and a lagging list does no harm.
const GracePeriod = time.Minute

// Prune marks members of the failure domain as removed when the list no longer holds them and their process is gone,
// and forgets members that were removed before. Only a relay of the domain marks; an empty domain only forgets. Without
// it the table would grow by each VM that was ever replaced.
func (t *Table) Prune(domain string) (marked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.members {
		if time.Since(e.changed) < GracePeriod {
			continue
		}
		if e.Removed {
			t.forget(name, e)
			continue
		}
		gone := !e.HasRecord() || e.Down || e.Record.State == StateStopped
		if domain != "" && e.Record.VM.FailureDomain == domain && !e.Listed && gone {
			e.Removed = true
			t.bump(e)
			marked++
		}
	}
	return marked
}

// RemoveStale marks members as removed that no source has mentioned since the time: those of one failure domain, or
// all but the named one where domain is empty. It follows complete snapshots of all sources, which leave out what went
// while this process could not reach them.
func (t *Table) RemoveStale(since time.Time, domain, keep string) (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.members {
		inScope := domain == "" || e.Record.VM.FailureDomain == domain
		if name == keep || !inScope || e.Removed || !e.touched.Before(since) {
			continue
		}
		e.Removed = true
		t.bump(e)
		dropped++
	}
	return dropped
}

// Len returns the number of members, removed ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}
