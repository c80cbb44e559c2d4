package fleet

import "time"

// GracePeriod is how long a member must be unchanged before Prune marks it as removed, and again before Prune
// evicts it. It lets all peers receive the removal and tolerates a VM list that lags behind.
const GracePeriod = time.Minute

// Prune marks members of the failure domain as removed if they are no longer in the VM list and their process
// is gone. It evicts members of any domain that were marked before. Only a relay marks members, those of its
// own domain; other processes pass an empty domain, with which Prune only evicts. Without Prune the table would
// grow with each VM that was ever replaced.
func (t *Table) Prune(domain string) (marked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.members {
		if time.Since(e.lastChanged) < GracePeriod {
			continue
		}
		if e.Removed {
			t.evict(name, e)
			continue
		}
		gone := !e.HasRecord() || e.Down || e.Record.State == StateStopped
		if domain != "" && e.Record.VM.FailureDomain == domain && !e.Listed && gone {
			e.Removed = true
			t.recordChange(e)
			marked++
		}
	}
	return marked
}

// RemoveStale marks members as removed that no source has reported since the given time: those of one failure
// domain, or of all if domain is empty, except the VM named by except. It is called after complete snapshots
// from all sources, which omit the members that went away while this process could not reach the sources.
func (t *Table) RemoveStale(since time.Time, domain, except string) (removed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.members {
		inScope := domain == "" || e.Record.VM.FailureDomain == domain
		if name == except || !inScope || e.Removed || !e.lastSeen.Before(since) {
			continue
		}
		e.Removed = true
		t.recordChange(e)
		removed++
	}
	return removed
}

// Len returns the number of members, including removed ones.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}
