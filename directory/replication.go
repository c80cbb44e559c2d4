package directory

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// SnapshotRemovals returns removal records for the targets, out-of-service failure domains and refused entries that the
// directory holds but that are absent from the records of a store snapshot at a revision.
func (d *Directory) SnapshotRemovals(records []Record, revision Revision) []Record {
	present := presentKeys(records)
	var removals []Record
	for id := range d.targets {
		if key := entryKey(KindTarget, id); !present[key] && d.entries[key].latest < revision {
			removals = append(removals, Record{Kind: KindTarget, Name: id, Revision: revision, Removed: true})
		}
	}
	for domain := range d.outDomains {
		if key := entryKey(KindDomainOut, domain); !present[key] && d.entries[key].latest < revision && !d.isRemovalHeld(key) {
			removals = append(removals, Record{Kind: KindDomainOut, Name: domain, Revision: revision, Removed: true})
		}
	}
	for key, r := range d.refused {
		if r.Kind != KindConfig && !present[key] && d.entries[key].latest < revision {
			removals = append(removals, Record{Kind: r.Kind, Name: r.Name, Revision: revision, Removed: true})
		}
	}
	return append(removals, d.heldRemovals(present, revision)...)
}

// presentKeys returns the keys of the entries that a snapshot contains. A peer's may have two records of an entry, the
// later one of which the peer holds back.
func presentKeys(records []Record) map[string]bool {
	present := make(map[string]bool, len(records))
	for i := range records {
		r := &records[i]
		present[entryKey(r.Kind, r.Name)] = !r.Removed || r.Expired
	}
	return present
}

// PruneTombstones discards the revisions of removed entries if there are more than limit. Peers that are behind the
// current revision then need a snapshot. Entries after the current revision stay: that revision does not cover them.
func (d *Directory) PruneTombstones(limit int) {
	if len(d.entries)-len(d.targets)-len(d.outDomains)-len(d.refused) <= limit {
		return
	}
	for key, revisions := range d.entries {
		if revisions.latest <= d.revision && !d.holdsEntry(key) {
			delete(d.entries, key)
		}
	}
	d.compactRevision = max(d.compactRevision, d.revision)
}

// holdsEntry reports whether the entry is in use or listed as refused.
func (d *Directory) holdsEntry(key string) bool {
	if _, refused := d.refused[key]; refused {
		return true
	}
	if domain, isOut := strings.CutPrefix(key, domainKeyPrefix); isOut {
		return d.outDomains[domain]
	}
	return d.targets[strings.TrimPrefix(key, targetKeyPrefix)] != nil
}

// ChangesSince returns the latest record of each entry that changed after a revision, including removals, in the
// order of the changes. Remaining cold times are as of now. If the revision is below CompactRevision, removals
// may be missing, so the result must be treated as a snapshot.
func (d *Directory) ChangesSince(revision Revision, now time.Duration) []Record {
	var records []Record
	if d.config != nil && d.configRevision > revision {
		records = append(records, d.configRecords(revision)...)
	}
	records = append(records, d.carriedConfig(revision)...)
	if refused, ok := d.refusedConfigRecord(revision); ok {
		records = append(records, refused)
	}
	for key, revisions := range d.entries {
		if revisions.content > revision {
			record := d.record(key, revisions.latest, now)
			record.ContentRevision = revisions.content
			records = append(records, record)
		}
	}
	records = append(records, d.heldChanges(revision)...)
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ContentRevision, b.ContentRevision) })
	return records
}

// record returns the latest record of a target or a failure domain. Its remaining cold time is as of now.
func (d *Directory) record(key string, revision Revision, now time.Duration) Record {
	if refused, listed := d.refused[key]; listed {
		return Record{Kind: refused.Kind, Name: refused.Name, Revision: revision, Refusal: &refused.Refusal}
	}
	if domain, isOut := strings.CutPrefix(key, domainKeyPrefix); isOut {
		return Record{Kind: KindDomainOut, Name: domain, Revision: revision, Removed: !d.outDomains[domain]}
	}
	id := strings.TrimPrefix(key, targetKeyPrefix)
	target := d.targets[id]
	if target == nil {
		return Record{Kind: KindTarget, Name: id, Revision: revision, Removed: true}
	}
	current := *target
	current.ColdLeft = max(0, target.ColdUntil()-now)
	expired := target.ExpiredAt != 0
	return Record{Kind: KindTarget, Name: id, Revision: revision, Removed: expired, Expired: expired, Target: &current}
}
