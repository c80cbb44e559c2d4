package fleet

import (
	"sync"
	"time"
)

// Table merges the members that a process learns from the VM list, from reports and from peers. It numbers its changes,
// so that a peer that has seen one version can be sent what changed since. Nothing of it is stored.
type Table struct {
	mu      sync.Mutex
	members map[string]*entry
	oldest  *entry // ends of a list in the order of the last change
	newest  *entry
	version uint64
	lists   map[string]uint64 // index of the newest VM list per failure domain

	// Failure detection looks at the own domain and at suspicions several times a second.
	domains    map[string]map[string]*entry
	suspecting map[string]*entry
}

// entry is a member with its place in the order of changes.
type entry struct {
	Member
	version uint64
	touched time.Time // when the member was last mentioned by a source
	changed time.Time
	older   *entry
	newer   *entry
	domain  string // under which the entry is indexed
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		members:    make(map[string]*entry),
		lists:      make(map[string]uint64),
		domains:    make(map[string]map[string]*entry),
		suspecting: make(map[string]*entry),
	}
}

// Merge takes over what is newer in the member and reports whether the table changed.
func (t *Table) Merge(member *Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(member)
}

func (t *Table) merge(member *Member) bool {
	name := member.Record.VM.Name
	e, ok := t.members[name]
	if !ok {
		if member.Removed {
			return false
		}
		e = &entry{Member: *member, touched: time.Now()}
		t.members[name] = e
		t.bump(e)
		return true
	}
	e.touched = time.Now()
	if !e.merge(member) {
		return false
	}
	t.bump(e)
	return true
}

// bump gives the entry the next version and the newest place.
func (t *Table) bump(e *entry) {
	t.unlink(e)
	t.index(e)
	t.version++
	e.version = t.version
	e.changed = time.Now()
	e.older = t.newest
	if t.newest != nil {
		t.newest.newer = e
	} else {
		t.oldest = e
	}
	t.newest = e
}

// index keeps the entry under its failure domain and among those that suspect others.
func (t *Table) index(e *entry) {
	name, domain := e.Record.VM.Name, e.Record.VM.FailureDomain
	if e.version == 0 || e.domain != domain {
		delete(t.domains[e.domain], name)
		if t.domains[domain] == nil {
			t.domains[domain] = make(map[string]*entry)
		}
		t.domains[domain][name] = e
		e.domain = domain
	}
	if len(e.Suspects) > 0 && !e.Down && !e.Removed && e.Record.State != StateStopped {
		t.suspecting[name] = e
	} else {
		delete(t.suspecting, name)
	}
}

// forget drops an entry.
func (t *Table) forget(name string, e *entry) {
	t.unlink(e)
	delete(t.members, name)
	delete(t.domains[e.domain], name)
	delete(t.suspecting, name)
}

func (t *Table) unlink(e *entry) {
	if e.version == 0 {
		return
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		t.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		t.newest = e.older
	}
	e.older, e.newer = nil, nil
}

// ApplyVMList takes over an answer of the platform's VM list for one failure domain, or for all where domain is empty. An
// answer with a lower index than one seen before is stale and ignored; ApplyVMList then returns false.
func (t *Table) ApplyVMList(domain string, index uint64, vms []VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if index < t.lists[domain] {
		return false
	}
	t.lists[domain] = index
	present := make(map[string]bool, len(vms))
	for i := range vms {
		present[vms[i].Name] = true
		t.list(&vms[i], index)
	}
	for name, e := range t.members {
		inScope := domain == "" || e.Record.VM.FailureDomain == domain
		if !inScope || !e.Listed || present[name] || e.ListIndex > index {
			continue
		}
		e.Listed = false
		e.ListIndex = index
		t.bump(e)
	}
	return true
}

func (t *Table) list(vm *VM, index uint64) {
	e, ok := t.members[vm.Name]
	if ok && e.Listed && e.Record.VM.Leaving == vm.Leaving && (e.HasRecord() || e.Record.VM == *vm) {
		e.touched = time.Now()
		return
	}
	t.merge(&Member{Record: MemberRecord{VM: *vm}, ListIndex: index, Listed: true})
}

// Get returns the member with the VM name.
func (t *Table) Get(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Version returns the number of the last change.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ChangesSince returns the members that changed after the version, those of one failure domain where domain is not empty, and
// the version that they amount to.
func (t *Table) ChangesSince(version uint64, domain string) ([]Member, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for e := t.newest; e != nil && e.version > version; e = e.older {
		if domain == "" || e.Record.VM.FailureDomain == domain {
			members = append(members, e.Member)
		}
	}
	return members, t.version
}

// ForEach calls do for each member, those of one failure domain where domain is not empty. It holds the table's lock and
// copies nothing; do must neither keep nor change the member.
func (t *Table) ForEach(domain string, do func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := t.members
	if domain != "" {
		entries = t.domains[domain]
	}
	for _, e := range entries {
		do(&e.Member)
	}
}

// SuspectCounts counts for each VM how many live processes report that they cannot reach it.
func (t *Table) SuspectCounts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int)
	for _, e := range t.suspecting {
		for _, vm := range e.Suspects {
			counts[vm]++
		}
	}
	return counts
}
