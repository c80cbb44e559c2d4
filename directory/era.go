package directory

import (
	"maps"
	"slices"
	"time"
)

// eraHoldPeriod is how long records of the backup that contradict what is known are held back after the store was
// restored. Whatever is still true is written again by then: two heartbeats of a target (1.2 s each). It is a part of the
// 5 s within which configurations and evacuations have to be in force.
const eraHoldPeriod = 2400 * time.Millisecond

// eraChange is the transition to a new era of the store: it was restored from a backup. Entries up to the revision read
// come from the backup, later ones were written afterwards.
type eraChange struct {
	startedAt time.Duration
	former    uint16            // era that the directory followed before
	read      Revision          // revision of the first read in the new era
	held      map[string]Record // records that are held back, by entry key
	carried   *configTransition // from the configuration of the backup to the one in force; nil if the store has that one
	backup    Record            // of that configuration of the backup
}

// EraChange describes the start of a transition to a new era.
type EraChange struct {
	From, To Revision
}

// BeginSnapshot must be called before the records of a snapshot at a revision are merged. It reports whether the
// snapshot begins a new era of the store. For eraHoldPeriod, records of that snapshot then replace neither the entries
// that are in use nor bring back former ones; entries that are absent expire.
func (d *Directory) BeginSnapshot(revision Revision, now time.Duration) (EraChange, bool) {
	change := EraChange{From: d.revision, To: revision}
	if d.revision == 0 || revision.Era() <= d.currentEra() {
		return change, false
	}
	d.era = &eraChange{startedAt: now, former: d.currentEra(), read: revision, held: make(map[string]Record)}
	d.awaitsConfig = d.config != nil
	d.renewExpiries(now)
	return change, true
}

// renewExpiries begins the grace period of expired targets anew: their entries may be written again since now.
func (d *Directory) renewExpiries(now time.Duration) {
	for id, t := range d.targets {
		if t.ExpiredAt != 0 {
			renewed := *t
			renewed.ExpiredAt = now
			d.targets[id] = &renewed
		}
	}
}

// currentEra returns the era of the store that the directory follows.
func (d *Directory) currentEra() uint16 {
	if d.era != nil {
		return d.era.read.Era()
	}
	return d.revision.Era()
}

// isOfUnknownEra reports whether a record is of an era whose first snapshot is still missing: without it, the directory
// cannot tell which records the backup contains.
func (d *Directory) isOfUnknownEra(r *Record) bool {
	return d.revision != 0 && r.Revision.Era() > d.currentEra()
}

// IsChangingEra reports whether records may be held back.
func (d *Directory) IsChangingEra() bool { return d.era != nil }

// HoldUntil returns until when records are held back at least. It reports false if none are.
func (d *Directory) HoldUntil() (until time.Duration, isChanging bool) {
	if d.era == nil {
		return 0, false
	}
	return d.era.startedAt + eraHoldPeriod, true
}

// EndEraChange merges the records that were held back, once all that the store contained at HoldUntil has been read: the
// records merged so far contain what it contained at readAt. It returns when the first snapshot of the era was merged, the
// records that changed something, and whether the transition has ended.
func (d *Directory) EndEraChange(readAt, now time.Duration) (startedAt time.Duration, changed []Record, ended bool) {
	if until, isChanging := d.HoldUntil(); !isChanging || readAt < until {
		return 0, nil, false
	}
	startedAt = d.era.startedAt
	held := d.era.held
	d.era = nil
	for _, key := range slices.Sorted(maps.Keys(held)) {
		r := held[key]
		if d.merge(key, &r, false, now) {
			changed = append(changed, r)
		}
	}
	return startedAt, changed, true
}

// HeldRecords returns the records that are held back, ordered by kind and name.
func (d *Directory) HeldRecords() []Record {
	if d.era == nil {
		return nil
	}
	var records []Record
	for _, key := range slices.Sorted(maps.Keys(d.era.held)) {
		records = append(records, d.era.held[key])
	}
	return records
}

// isFromBackup reports whether a record may belong to a backup from which the store was restored. Those of an era that
// the directory did not follow cannot be told from the backup of that era.
func (d *Directory) isFromBackup(r *Record) bool {
	return d.isOfNewEra(r) && r.Revision <= d.era.read
}

func (d *Directory) isOfNewEra(r *Record) bool {
	return d.era != nil && r.Revision.Era() > d.era.former
}

// mergeOrHold merges a record of a target or a failure domain that is newer than the merged ones, or holds it back.
func (d *Directory) mergeOrHold(key string, r *Record, now time.Duration) bool {
	if d.era == nil {
		return d.merge(key, r, false, now)
	}
	if d.isFromBackup(r) && d.contradicts(key, r, now) {
		d.era.held[key] = *r
		return false
	}
	_, superseded := d.era.held[key]
	delete(d.era.held, key)
	return d.merge(key, d.asExpiry(r, now), superseded, now)
}

func (d *Directory) merge(key string, r *Record, superseded bool, now time.Duration) bool {
	if r.Kind == KindDomainOut {
		return d.mergeDomainOut(key, r, superseded)
	}
	return d.mergeTarget(key, r, superseded, now)
}

// contradicts reports whether merging a record of the backup would take a target or a failure domain back to an earlier
// state. The absence of a target does not count: it expires.
func (d *Directory) contradicts(key string, r *Record, now time.Duration) bool {
	if r.Kind == KindDomainOut {
		return d.outDomains[r.Name] == (r.Removed || r.Refusal != nil)
	}
	current := d.targets[r.Name]
	switch {
	case r.Removed:
		return false
	case r.Refusal != nil || r.Target == nil:
		return current != nil
	case current == nil:
		return true
	default:
		renewed := *current
		renewed.ExpiredAt = 0
		return r.Target.StartUnixMs <= current.StartUnixMs && !renewed.hasSameContent(r, now)
	}
}

// asExpiry returns the record of a removal as that of an expiry if the store was restored just before: the entry may be
// absent because the backup is older, and be written again. A target that the directory does not hold stays away.
func (d *Directory) asExpiry(r *Record, now time.Duration) *Record {
	if r.Kind != KindTarget || !r.Removed || !d.isOfNewEra(r) {
		return r
	}
	expiry := *r
	expiry.Expired, expiry.Target = r.Expired || now-d.era.startedAt < expiryGracePeriod, nil
	return &expiry
}

// heldRemovals returns removal records for the entries that are held back but that are absent from a later snapshot.
func (d *Directory) heldRemovals(present map[string]bool, revision Revision) []Record {
	var removals []Record
	if d.era == nil {
		return nil
	}
	for key, r := range d.era.held {
		if !r.Removed && !present[key] && r.Revision < revision {
			removals = append(removals, Record{Kind: r.Kind, Name: r.Name, Revision: revision, Removed: true})
		}
	}
	return removals
}

// heldRevision returns the revision of the record of the entry that is held back, or 0.
func (d *Directory) heldRevision(key string) Revision {
	if d.era == nil {
		return 0
	}
	return d.era.held[key].Revision
}

// isRemovalHeld reports whether the entry is already known to be absent from the store.
func (d *Directory) isRemovalHeld(key string) bool { return d.era != nil && d.era.held[key].Removed }

// heldChanges returns the records after a revision that are held back. Peers decide on them by what they know.
func (d *Directory) heldChanges(revision Revision) []Record {
	var records []Record
	for _, r := range d.HeldRecords() {
		if r.Revision > revision {
			r.ContentRevision = r.Revision
			records = append(records, r)
		}
	}
	return records
}
