package directory

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// SnapshotRemovals returns removals for what a whole copy of the store at a revision lacks.
func (d *Directory) SnapshotRemovals(records []Record, revision uint64) []Record {
	present := make(map[string]bool, len(records))
	for i := range records {
		if r := &records[i]; !r.Removed || r.Expired {
			present[recordKey(r.Kind, r.Name)] = true
		}
	}
	var gone []Record
	for id := range d.targets {
		if key := recordKey(KindTarget, id); !present[key] && d.entries[key].last < revision {
			gone = append(gone, Record{Kind: KindTarget, Name: id, Revision: revision, Removed: true})
		}
	}
	for domain := range d.out {
		if key := recordKey(KindDomainOut, domain); !present[key] && d.entries[key].last < revision {
			gone = append(gone, Record{Kind: KindDomainOut, Name: domain, Revision: revision, Removed: true})
		}
	}
	return gone
}

// PruneTombstones forgets the removed entries where there are more than a limit. Peers that do not know all up to then have
// to take over all that holds.
func (d *Directory) PruneTombstones(limit int) {
	if len(d.entries)-len(d.targets)-len(d.out) <= limit {
		return
	}
	for key := range d.entries {
		domain, isOut := strings.CutPrefix(key, outKey)
		held := d.out[domain]
		if !isOut {
			_, held = d.targets[strings.TrimPrefix(key, targetKey)]
		}
		if !held {
			delete(d.entries, key)
		}
	}
	d.floor = max(d.floor, d.revision)
}

// ChangesSince returns what changed after a revision and still holds, removals included, as of now and in the order in
// which it changed. Below the floor some removals are missing: what it returns from there is all that holds.
func (d *Directory) ChangesSince(revision uint64, now time.Duration) []Record {
	var all []Record
	if d.config != nil && d.configRev > revision {
		all = append(all, d.configRecords(revision)...)
	}
	for key, known := range d.entries {
		if known.changed > revision {
			record := d.record(key, known.last, now)
			record.ContentRevision = known.changed
			all = append(all, record)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.ContentRevision, b.ContentRevision) })
	return all
}

// record returns the last record of a target or a failure domain.
func (d *Directory) record(key string, revision uint64, now time.Duration) Record {
	if domain, isOut := strings.CutPrefix(key, outKey); isOut {
		return Record{Kind: KindDomainOut, Name: domain, Revision: revision, Removed: !d.out[domain]}
	}
	id := strings.TrimPrefix(key, targetKey)
	held := d.targets[id]
	if held == nil {
		return Record{Kind: KindTarget, Name: id, Revision: revision, Removed: true}
	}
	copied := *held
	copied.ColdLeft = max(0, held.ColdUntil()-now)
	lapsed := held.ExpiredAt != 0
	return Record{Kind: KindTarget, Name: id, Revision: revision, Removed: lapsed, Expired: lapsed, Target: &copied}
}
