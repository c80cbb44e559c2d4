package directory

import (
	"cmp"
	"maps"
	"slices"
)

// RefusalReason is why a record cannot be used, one of a fixed set for counters.
type RefusalReason string

// Reasons for refusing a record.
const (
	RefusedUnreadable RefusalReason = "unreadable"   // not the expected kind of document
	RefusedMissing    RefusalReason = "missing"      // a field is missing
	RefusedRange      RefusalReason = "out_of_range" // a number is out of its range
	RefusedName       RefusalReason = "name"         // a name or key is empty or too long
	RefusedAddress    RefusalReason = "address"      // not an IPv4 address with a port
	RefusedState      RefusalReason = "state"        // a state without a meaning
	RefusedStartTime  RefusalReason = "start_time"   // the target would have started in the future
)

// RefusalReasons lists all reasons.
var RefusalReasons = []RefusalReason{
	RefusedUnreadable, RefusedMissing, RefusedRange, RefusedName, RefusedAddress, RefusedState, RefusedStartTime,
}

// Refusal describes why a record of the store cannot be used.
type Refusal struct {
	Reason RefusalReason
	Detail string // for operators; of bounded length
}

// RefusedRecord is an entry of the store that this process read and does not use.
type RefusedRecord struct {
	Kind     Kind
	Name     string
	Revision Revision // at which the refusal was first seen
	Refusal  Refusal
}

// maxRefusedRecords bounds the refused records that a directory lists.
const maxRefusedRecords = 256

// noteRefusal lists the record as refused. It reports whether that is new: entries are written again with each
// heartbeat.
func (d *Directory) noteRefusal(key string, r *Record) bool {
	known, listed := d.refused[key]
	if listed && known.Refusal == *r.Refusal {
		return false
	}
	if !listed && len(d.refused) >= maxRefusedRecords {
		return false
	}
	d.refused[key] = RefusedRecord{Kind: r.Kind, Name: r.Name, Revision: r.Revision, Refusal: *r.Refusal}
	d.dirty = true
	return true
}

// clearRefusal removes an entry from the list of refused records, because it is usable now or gone.
func (d *Directory) clearRefusal(key string) {
	if _, listed := d.refused[key]; listed {
		delete(d.refused, key)
		d.dirty = true
	}
}

// refuse handles a record of a target or a failure domain that cannot be used: what its entry said before no longer
// holds. Peers are told once, not each time the entry is written.
func (d *Directory) refuse(key string, r *Record, superseded bool) bool {
	changed := d.noteRefusal(key, r)
	if d.targets[r.Name] != nil && r.Kind == KindTarget {
		delete(d.targets, r.Name)
		d.dirty, changed = true, true
	}
	if d.outDomains[r.Name] && r.Kind == KindDomainOut {
		delete(d.outDomains, r.Name)
		d.dirty, changed = true, true
	}
	d.entries[key] = d.unchangedRevisions(key, r, changed || superseded)
	return changed
}

// refusedConfigRecord returns the record of a refused configuration that is newer than the revision and than the one in
// force.
func (d *Directory) refusedConfigRecord(revision Revision) (Record, bool) {
	refused, listed := d.refused[configEntryKey]
	if !listed || refused.Revision <= revision {
		return Record{}, false
	}
	return Record{Kind: KindConfig, Revision: refused.Revision, ContentRevision: refused.Revision, Refusal: &refused.Refusal}, true
}

// refusedRecords returns the refused records, ordered by kind and name.
func (d *Directory) refusedRecords() []RefusedRecord {
	return slices.SortedFunc(maps.Values(d.refused), func(a, b RefusedRecord) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}
