package directory

import (
	"cmp"
	"slices"
	"strings"
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
	before    *Config // configuration before the one in force, nil where it is not known
	beforeRev uint64
	change    *ConfigChange // from before to config, nil until it is asked for
	changeOK  bool
	unmet     bool // a change could not be applied
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

// Floor returns the revision after which all changes are known. Up to it, only what still holds is.
func (d *Directory) Floor() uint64 { return d.floor }

// AdvanceWhole is Advance after records that hold all of the store as of the revision.
func (d *Directory) AdvanceWhole(revision uint64) {
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
	case KindOut:
		return d.applyOut(r)
	default:
		return false
	}
}

func (d *Directory) applyConfig(r *Record) bool {
	next := d.resolve(r)
	if next == nil || (d.config != nil && next.Version <= d.config.Version) {
		return false
	}
	d.noteFormerServices(next)
	d.before, d.beforeRev, d.change = d.config, d.configRev, nil
	d.config, d.configRev, d.dirty = next, r.Revision, true
	return true
}

// noteFormerServices remembers the services that the present configuration names for each route, since open flows stay
// where they are.
func (d *Directory) noteFormerServices(next *Config) {
	if d.config == nil {
		return
	}
	kept := make(map[string][]string)
	for i := range next.Routes {
		route := &next.Routes[i]
		var names []string
		for _, service := range append(d.formerly[route.Name], d.servicesOf(route.Name)...) {
			if !route.names(service) && !slices.Contains(names, service) {
				names = append(names, service)
			}
		}
		if len(names) > 0 {
			kept[route.Name] = names
		}
	}
	d.formerly = kept
}

func (d *Directory) servicesOf(route string) []string {
	for i := range d.config.Routes {
		if d.config.Routes[i].Name != route {
			continue
		}
		var names []string
		for _, c := range d.config.Routes[i].Choices {
			names = append(names, c.Service)
		}
		return names
	}
	return nil
}

func (r *Route) names(service string) bool {
	return slices.ContainsFunc(r.Choices, func(c Choice) bool { return c.Service == service })
}

func (d *Directory) applyTarget(r *Record, now time.Duration) bool {
	key := targetKey + r.Name
	if d.isOld(key, r) {
		return false
	}
	held := d.targets[r.Name]
	if held != nil && held.saysSame(r, now) {
		d.entries[key] = revisions{last: r.Revision, changed: max(r.Changed, d.entries[key].changed)}
		return false
	}
	revision := r.Revision
	if r.Lapse && held == nil {
		revision = max(revision, d.floor) // the store lacks the entry as of the floor too
	}
	d.entries[key] = revisions{last: revision, changed: revision}
	switch {
	case r.Removed && r.Lapse:
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

// coldSlack is by how much the ends of a cold start may differ in entries that say the same: each is counted from the time
// at which it was read.
const coldSlack = time.Second

// saysSame reports whether a record says nothing new of the target. Entries of a cold target change with each beat, since
// they name the time that is left.
func (t *Target) saysSame(r *Record, now time.Duration) bool {
	if r.Removed || r.Target == nil || t.Lapsed != 0 {
		return false
	}
	next := *r.Target
	end := t.ColdUntil()
	if t.ColdLeft > 0 && next.ColdLeft > 0 && (end-now-next.ColdLeft).Abs() <= coldSlack {
		next.ColdLeft = t.ColdLeft
	}
	next.Seed, next.Seen, next.Lapsed = t.Seed, t.Seen, t.Lapsed
	return next == *t
}

// isOld reports whether the record says less than what is known: a later record, or a whole copy of the store. A lapse
// comes after such a copy, since the store no longer holds the entry.
func (d *Directory) isOld(key string, r *Record) bool {
	if r.Lapse {
		return r.Revision <= d.entries[key].last
	}
	return r.Revision <= max(d.entries[key].last, d.floor)
}

// hold takes over an entry.
func (d *Directory) hold(t *Target, now time.Duration) {
	target := *t
	target.Seed = xxhash.Sum64String(target.ID)
	target.Seen, target.Lapsed = now, 0
	d.targets[t.ID], d.dirty = &target, true
}

// lapse keeps an entry for a while that was removed while the store was away. A peer's record of it holds the entry too,
// for a process that does not.
func (d *Directory) lapse(r *Record, now time.Duration) bool {
	if d.targets[r.Name] == nil && r.Target != nil {
		d.hold(r.Target, now)
	}
	held := d.targets[r.Name]
	if held == nil || held.Lapsed != 0 {
		return false
	}
	lapsed := *held
	lapsed.Lapsed = now
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

// Missing returns removals for what a whole copy of the store at a revision lacks.
func (d *Directory) Missing(records []Record, revision uint64) []Record {
	present := make(map[string]bool, len(records))
	for i := range records {
		if r := &records[i]; !r.Removed || r.Lapse {
			present[recordKey(r.Kind, r.Name)] = true
		}
	}
	return d.missing(present, revision)
}

// missing returns removals for what a whole copy of the store lacks.
func (d *Directory) missing(present map[string]bool, revision uint64) []Record {
	var gone []Record
	for id := range d.targets {
		if key := recordKey(KindTarget, id); !present[key] && d.entries[key].last < revision {
			gone = append(gone, Record{Kind: KindTarget, Name: id, Revision: revision, Removed: true})
		}
	}
	for domain := range d.out {
		if key := recordKey(KindOut, domain); !present[key] && d.entries[key].last < revision {
			gone = append(gone, Record{Kind: KindOut, Name: domain, Revision: revision, Removed: true})
		}
	}
	return gone
}

// Prefixes of the keys under which revisions are kept.
const (
	outKey    = "out/"
	targetKey = "target/"
)

func recordKey(kind Kind, name string) string {
	if kind == KindOut {
		return outKey + name
	}
	return targetKey + name
}

// DropLapsed removes targets whose entries lapsed during an outage and did not come back in time. It returns their IDs.
func (d *Directory) DropLapsed(now time.Duration) []string {
	var gone []string
	for id, t := range d.targets {
		if t.Lapsed != 0 && now-t.Lapsed >= lapseGrace {
			delete(d.targets, id)
			gone = append(gone, id)
			d.dirty = true
		}
	}
	return gone
}

// ForgetRemovals forgets the removed entries where there are more than a limit. Peers that do not know all up to then have
// to take over all that holds.
func (d *Directory) ForgetRemovals(limit int) {
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

// Since returns what changed after a revision and still holds, removals included, as of now and in the order in
// which it changed. Below the floor some removals are missing: what it returns from there is all that holds.
func (d *Directory) Since(revision uint64, now time.Duration) []Record {
	var all []Record
	if d.config != nil && d.configRev > revision {
		all = append(all, d.configRecord(revision))
	}
	for key, known := range d.entries {
		if known.changed > revision {
			record := d.record(key, known.last, now)
			record.Changed = known.changed
			all = append(all, record)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Changed, b.Changed) })
	return all
}

// record returns the last record of a target or a failure domain.
func (d *Directory) record(key string, revision uint64, now time.Duration) Record {
	if domain, isOut := strings.CutPrefix(key, outKey); isOut {
		return Record{Kind: KindOut, Name: domain, Revision: revision, Removed: !d.out[domain]}
	}
	id := strings.TrimPrefix(key, targetKey)
	held := d.targets[id]
	if held == nil {
		return Record{Kind: KindTarget, Name: id, Revision: revision, Removed: true}
	}
	copied := *held
	copied.ColdLeft = max(0, held.ColdUntil()-now)
	lapsed := held.Lapsed != 0
	return Record{Kind: KindTarget, Name: id, Revision: revision, Removed: lapsed, Lapse: lapsed, Target: &copied}
}

func cloneLists(m map[string][]string) map[string][]string {
	clone := make(map[string][]string, len(m))
	for key, list := range m {
		clone[key] = slices.Clone(list)
	}
	return clone
}
