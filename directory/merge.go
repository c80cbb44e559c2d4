package directory

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// expiryGracePeriod is how long a target whose entry expired during a store outage is kept after the store is
// available again, so that the target can renew its entry.
const expiryGracePeriod = 2 * time.Second

// Directory merges records by store revision, and by era where the store was restored from a backup. The version of the configuration never decreases. A Directory is
// not safe for concurrent use; its views are.
type Directory struct {
	revision        Revision
	compactRevision Revision // up to this revision, removals may be missing from entries
	config          *Config
	configRevision  Revision
	history         []configTransition // latest transitions to the current configuration, oldest first
	baseMismatch    bool               // a change could not be applied to the current configuration
	targets         map[string]*Target
	entries         map[string]entryRevisions // by entry key, of targets and failure domains; includes removed ones
	outDomains      map[string]bool
	formerServices  map[string][]string
	refused         map[string]RefusedRecord // by entry key
	era             *eraChange               // nil unless the store was restored just before
	awaitsConfig    bool                     // the store may lack the configuration in force since it was restored
	dirty           bool
	view            *View
}

// entryRevisions holds the store revisions of the entry of a target or a failure domain.
type entryRevisions struct {
	latest  Revision // of the latest record
	content Revision // of the latest record that changed the content and is sent to peers
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{
		targets:        make(map[string]*Target),
		entries:        make(map[string]entryRevisions),
		outDomains:     make(map[string]bool),
		formerServices: make(map[string][]string),
		refused:        make(map[string]RefusedRecord),
	}
	d.view = d.newView()
	return d
}

// View returns the current view. The pointer stays the same until something changes.
func (d *Directory) View() *View {
	if d.dirty {
		d.view = d.newView()
		d.dirty = false
	}
	return d.view
}

// Revision returns the store revision up to which all changes have been merged.
func (d *Directory) Revision() Revision { return d.revision }

// HasTarget reports whether the directory holds a target, which includes those that have expired.
func (d *Directory) HasTarget(id string) bool { return d.targets[id] != nil }

// Config returns the configuration in force, or nil before the first one.
func (d *Directory) Config() *Config { return d.config }

// Advance records that all changes up to the revision have been merged.
func (d *Directory) Advance(revision Revision) {
	if revision > d.revision {
		d.revision = revision
		d.dirty = true
	}
}

// CompactRevision returns the revision after which all changes are available. Removals up to it may be missing,
// so a peer that is behind it needs a snapshot.
func (d *Directory) CompactRevision() Revision { return d.compactRevision }

// AdvanceSnapshot is like Advance, after the records of a store snapshot at the revision have been merged.
func (d *Directory) AdvanceSnapshot(revision Revision) {
	d.Advance(revision)
	d.compactRevision = max(d.compactRevision, revision)
	d.advanceConfigEra(revision)
}

// Apply merges one record at a monotonic time and reports whether it changed anything. Records older than the merged
// ones are ignored.
func (d *Directory) Apply(r *Record, now time.Duration) bool {
	if d.isOfUnknownEra(r) {
		return false
	}
	switch r.Kind {
	case KindConfig:
		return d.applyConfig(r)
	case KindTarget, KindDomainOut:
		key := entryKey(r.Kind, r.Name)
		return !d.isStale(key, r) && d.mergeOrHold(key, r, now)
	default:
		return false
	}
}

// mergeTarget merges the record of a target. superseded is set if it replaces a record that was held back: peers may
// hold that one back as well, so they are told even if the content stays the same.
func (d *Directory) mergeTarget(key string, r *Record, superseded bool, now time.Duration) bool {
	if r.Refusal != nil {
		return d.refuse(key, r, superseded)
	}
	d.clearRefusal(key)
	current := d.targets[r.Name]
	if current != nil && current.hasSameContent(r, now) {
		d.entries[key] = d.unchangedRevisions(key, r, superseded)
		return false
	}
	revision := r.Revision
	if r.Expired && current == nil {
		revision = max(revision, d.compactRevision) // the entry was already absent from the store at the compact revision
	}
	d.entries[key] = entryRevisions{latest: revision, content: revision}
	switch {
	case r.Removed && r.Expired:
		return d.expireTarget(r, now)
	case r.Removed || r.Target == nil:
		delete(d.targets, r.Name)
		d.dirty = d.dirty || current != nil
		return current != nil
	default:
		d.storeTarget(r.Target, now)
		return true
	}
}

// unchangedRevisions returns the revisions of an entry after a record that did not change its content.
func (d *Directory) unchangedRevisions(key string, r *Record, superseded bool) entryRevisions {
	revisions := entryRevisions{latest: r.Revision, content: max(r.ContentRevision, d.entries[key].content)}
	if superseded {
		revisions.content = r.Revision
	}
	return revisions
}

// maxColdEndAdvance and maxColdEndDelay limit how far a new record may move the end of a target's cold period,
// earlier and later, and still have the same content. The end is computed from the time at which the record was
// read, which tends to be late. An earlier end is therefore ignored within a wider limit, while a later one has
// to be passed on.
const (
	maxColdEndAdvance = time.Second
	maxColdEndDelay   = 100 * time.Millisecond
)

// hasSameContent reports whether a record changes nothing about the target. The entry of a cold target differs
// with each heartbeat, because it contains the remaining cold time.
func (t *Target) hasSameContent(r *Record, now time.Duration) bool {
	if r.Removed || r.Target == nil || t.ExpiredAt != 0 {
		return false
	}
	next := *r.Target
	shift := now + next.ColdLeft - t.ColdUntil()
	if t.ColdLeft > 0 && next.ColdLeft > 0 && -maxColdEndAdvance <= shift && shift <= maxColdEndDelay {
		next.ColdLeft = t.ColdLeft
	}
	next.Seed, next.UpdatedAt, next.ExpiredAt = t.Seed, t.UpdatedAt, t.ExpiredAt
	return next == *t
}

// isStale reports whether the record is not newer than the latest record of the entry and the latest snapshot. An
// expiry is not compared with a snapshot of its era, because the snapshot does not contain the expired entry either.
func (d *Directory) isStale(key string, r *Record) bool {
	latest := max(d.entries[key].latest, d.heldRevision(key))
	if r.Expired && r.Revision.Era() >= d.compactRevision.Era() {
		return r.Revision <= latest
	}
	return r.Revision <= max(latest, d.compactRevision)
}

// storeTarget adds or replaces a target.
func (d *Directory) storeTarget(t *Target, now time.Duration) {
	target := *t
	target.Seed = xxhash.Sum64String(target.ID)
	target.UpdatedAt, target.ExpiredAt = now, 0
	d.targets[t.ID], d.dirty = &target, true
}

// expireTarget marks a target as expired and keeps it for the grace period: its entry was removed during a store
// outage. If the directory does not hold the target, it is taken from the record, since records of peers include
// it.
func (d *Directory) expireTarget(r *Record, now time.Duration) bool {
	if d.targets[r.Name] == nil && r.Target != nil {
		d.storeTarget(r.Target, now)
	}
	current := d.targets[r.Name]
	if current == nil || current.ExpiredAt != 0 {
		return false
	}
	expired := *current
	expired.ExpiredAt = now
	d.targets[r.Name], d.dirty = &expired, true
	return true
}

func (d *Directory) mergeDomainOut(key string, r *Record, superseded bool) bool {
	if r.Refusal != nil {
		return d.refuse(key, r, superseded)
	}
	d.clearRefusal(key)
	d.entries[key] = entryRevisions{latest: r.Revision, content: r.Revision}
	changed := d.outDomains[r.Name] == r.Removed
	if r.Removed {
		delete(d.outDomains, r.Name)
	} else {
		d.outDomains[r.Name] = true
	}
	d.dirty = d.dirty || changed
	return changed
}

// Prefixes of the keys of Directory.entries.
const (
	domainKeyPrefix = "out/"
	targetKeyPrefix = "target/"
	configEntryKey  = "config"
)

func entryKey(kind Kind, name string) string {
	switch kind {
	case KindConfig:
		return configEntryKey
	case KindDomainOut:
		return domainKeyPrefix + name
	default:
		return targetKeyPrefix + name
	}
}

// RemoveExpired removes the targets whose entries expired during a store outage and were not renewed within the grace
// period. It returns their IDs.
func (d *Directory) RemoveExpired(now time.Duration) []string {
	var removed []string
	for id, t := range d.targets {
		if t.ExpiredAt != 0 && now-t.ExpiredAt >= expiryGracePeriod {
			delete(d.targets, id)
			removed = append(removed, id)
			d.dirty = true
		}
	}
	return removed
}
