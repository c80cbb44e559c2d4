package directory

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// lapseGrace is how long after the return of the store an entry that lapsed during the outage may still come back.
const lapseGrace = 2 * time.Second

// Directory merges records by their revision. Versions of the configuration only rise. It is not safe for concurrent
// use; the views that it yields are.
type Directory struct {
	revision  uint64
	floor     uint64 // removals of entries that it never held may be unknown up to this revision
	config    *Config
	configRev uint64
	steps     []configStep // by which it came to the one in force, oldest first
	unmet     bool         // a change could not be applied
	targets   map[string]*Target
	entries   map[string]revisions // of each target and failure domain, removals included
	out       map[string]bool
	formerly  map[string][]string
	dirty     bool
	view      *View
}

// revisions date what is known of a target or a failure domain.
type revisions struct {
	last    uint64 // of its last record
	changed uint64 // of the last record that said something new, which peers have to know
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{
		targets:  make(map[string]*Target),
		entries:  make(map[string]revisions),
		out:      make(map[string]bool),
		formerly: make(map[string][]string),
	}
	d.view = newView(0, nil, nil, nil, nil)
	return d
}

// View returns the present view. It is the same pointer until a change.
func (d *Directory) View() *View {
	if d.dirty {
		d.view = newView(d.revision, d.config, d.targets, d.out, cloneLists(d.formerly))
		d.dirty = false
	}
	return d.view
}

// Revision returns the store's revision up to which everything is known.
func (d *Directory) Revision() uint64 { return d.revision }

// Config returns the configuration in force, nil before the first.
func (d *Directory) Config() *Config { return d.config }

// Advance notes that everything up to the revision is known.
func (d *Directory) Advance(revision uint64) {
	if revision > d.revision {
		d.revision = revision
		d.dirty = true
	}
}

// CompactRevision returns the revision after which all changes are known. Up to it, only what still holds is.
func (d *Directory) CompactRevision() uint64 { return d.floor }

// AdvanceSnapshot is Advance after records that hold all of the store as of the revision.
func (d *Directory) AdvanceSnapshot(revision uint64) {
	d.Advance(revision)
	d.floor = max(d.floor, revision)
}

// Apply merges one record and reports whether it changed anything. An older record than the one held is ignored.
func (d *Directory) Apply(r *Record, now time.Duration) bool {
	switch r.Kind {
	case KindConfig:
		return d.applyConfig(r)
	case KindTarget:
		return d.applyTarget(r, now)
	case KindDomainOut:
		return d.applyOut(r)
	default:
		return false
	}
}

func (d *Directory) applyTarget(r *Record, now time.Duration) bool {
	key := targetKey + r.Name
	if d.isOld(key, r) {
		return false
	}
	held := d.targets[r.Name]
	if held != nil && held.saysSame(r, now) {
		d.entries[key] = revisions{last: r.Revision, changed: max(r.ContentRevision, d.entries[key].changed)}
		return false
	}
	revision := r.Revision
	if r.Expired && held == nil {
		revision = max(revision, d.floor) // the store lacks the entry as of the floor too
	}
	d.entries[key] = revisions{last: revision, changed: revision}
	switch {
	case r.Removed && r.Expired:
		return d.lapse(r, now)
	case r.Removed || r.Target == nil: // removed or unreadable
		delete(d.targets, r.Name)
		d.dirty = d.dirty || held != nil
		return held != nil
	default:
		d.hold(r.Target, now)
		return true
	}
}

// coldEarlier and coldLater are by how much the end of a cold start may move in an entry that says the same. Each end is
// counted from the time at which the entry was read, which is late rather than early: an earlier end may wait, a later one
// may not.
const (
	coldEarlier = time.Second
	coldLater   = 100 * time.Millisecond
)

// saysSame reports whether a record says nothing new of the target. Entries of a cold target change with each beat, since
// they name the time that is left.
func (t *Target) saysSame(r *Record, now time.Duration) bool {
	if r.Removed || r.Target == nil || t.ExpiredAt != 0 {
		return false
	}
	next := *r.Target
	moved := now + next.ColdLeft - t.ColdUntil()
	if t.ColdLeft > 0 && next.ColdLeft > 0 && -coldEarlier <= moved && moved <= coldLater {
		next.ColdLeft = t.ColdLeft
	}
	next.Seed, next.UpdatedAt, next.ExpiredAt = t.Seed, t.UpdatedAt, t.ExpiredAt
	return next == *t
}

// isOld reports whether the record says less than what is known: a later record, or a whole copy of the store. A lapse
// comes after such a copy, since the store no longer holds the entry.
func (d *Directory) isOld(key string, r *Record) bool {
	if r.Expired {
		return r.Revision <= d.entries[key].last
	}
	return r.Revision <= max(d.entries[key].last, d.floor)
}

// hold takes over an entry.
func (d *Directory) hold(t *Target, now time.Duration) {
	target := *t
	target.Seed = xxhash.Sum64String(target.ID)
	target.UpdatedAt, target.ExpiredAt = now, 0
	d.targets[t.ID], d.dirty = &target, true
}

// lapse keeps an entry for a while that was removed while the store was away. A peer's record of it holds the entry too,
// for a process that does not.
func (d *Directory) lapse(r *Record, now time.Duration) bool {
	if d.targets[r.Name] == nil && r.Target != nil {
		d.hold(r.Target, now)
	}
	held := d.targets[r.Name]
	if held == nil || held.ExpiredAt != 0 {
		return false
	}
	lapsed := *held
	lapsed.ExpiredAt = now
	d.targets[r.Name], d.dirty = &lapsed, true
	return true
}

func (d *Directory) applyOut(r *Record) bool {
	key := outKey + r.Name
	if d.isOld(key, r) {
		return false
	}
	d.entries[key] = revisions{last: r.Revision, changed: r.Revision}
	changed := d.out[r.Name] == r.Removed
	if r.Removed {
		delete(d.out, r.Name)
	} else {
		d.out[r.Name] = true
	}
	d.dirty = d.dirty || changed
	return changed
}

// Prefixes of the keys under which revisions are kept.
const (
	outKey    = "out/"
	targetKey = "target/"
)

func recordKey(kind Kind, name string) string {
	if kind == KindDomainOut {
		return outKey + name
	}
	return targetKey + name
}

// RemoveExpired removes targets whose entries lapsed during an outage and did not come back in time. It returns their IDs.
func (d *Directory) RemoveExpired(now time.Duration) []string {
	var gone []string
	for id, t := range d.targets {
		if t.ExpiredAt != 0 && now-t.ExpiredAt >= lapseGrace {
			delete(d.targets, id)
			gone = append(gone, id)
			d.dirty = true
		}
	}
	return gone
}

func cloneLists(m map[string][]string) map[string][]string {
	clone := make(map[string][]string, len(m))
	for key, list := range m {
		clone[key] = slices.Clone(list)
	}
	return clone
}
