package fleet

import (
	"sync"
	"time"
)

// Table merges the members that a process receives from the VM list, in reports and from peers. It numbers its
// changes, so that a peer that has received one version can be sent only the later changes. It is kept in
// memory only.
type Table struct {
	mu          sync.Mutex
	members     map[string]*entry
	oldest      *entry // head of a list linked in the order of the last change
	newest      *entry // tail of the list
	version     uint64
	listIndexes map[string]uint64 // index of the newest VM list by failure domain

	// Indexes for failure detection, which reads the local domain and the suspects several times a second.
	byDomain     map[string]map[string]*entry // by failure domain and VM name
	withSuspects map[string]*entry            // members whose processes report suspects, by VM name
}

// entry is a member with its position in the order of changes.
type entry struct {
	Member
	version     uint64
	lastSeen    time.Time // when a source last reported the member
	lastChanged time.Time
	older       *entry
	newer       *entry
	domain      string // failure domain under which the entry is indexed
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		members:      make(map[string]*entry),
		listIndexes:  make(map[string]uint64),
		byDomain:     make(map[string]map[string]*entry),
		withSuspects: make(map[string]*entry),
	}
}

// Merge applies the newer parts of the member and reports whether the table changed.
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
		e = &entry{Member: *member, lastSeen: time.Now()}
		t.members[name] = e
		t.recordChange(e)
		return true
	}
	e.lastSeen = time.Now()
	if !e.merge(member) {
		return false
	}
	t.recordChange(e)
	return true
}

// recordChange assigns the next version to the entry and moves it to the tail of the list of changes.
func (t *Table) recordChange(e *entry) {
	t.unlink(e)
	t.index(e)
	t.version++
	e.version = t.version
	e.lastChanged = time.Now()
	e.older = t.newest
	if t.newest != nil {
		t.newest.newer = e
	} else {
		t.oldest = e
	}
	t.newest = e
}

// index updates byDomain and withSuspects for the entry.
func (t *Table) index(e *entry) {
	name, domain := e.Record.VM.Name, e.Record.VM.FailureDomain
	if e.version == 0 || e.domain != domain {
		delete(t.byDomain[e.domain], name)
		if t.byDomain[domain] == nil {
			t.byDomain[domain] = make(map[string]*entry)
		}
		t.byDomain[domain][name] = e
		e.domain = domain
	}
	if len(e.Suspects) > 0 && !e.Down && !e.Removed && e.Record.State != StateStopped {
		t.withSuspects[name] = e
	} else {
		delete(t.withSuspects, name)
	}
}

// evict deletes an entry from the table and its indexes.
func (t *Table) evict(name string, e *entry) {
	t.unlink(e)
	delete(t.members, name)
	delete(t.byDomain[e.domain], name)
	delete(t.withSuspects, name)
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

// ApplyVMList merges a response of the platform's VM list for one failure domain, or for all if domain is
// empty. It ignores a response whose index is lower than one received before and returns false, since the
// response is stale.
func (t *Table) ApplyVMList(domain string, index uint64, vms []VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if index < t.listIndexes[domain] {
		return false
	}
	t.listIndexes[domain] = index
	present := make(map[string]bool, len(vms))
	for i := range vms {
		present[vms[i].Name] = true
		t.applyListEntry(&vms[i], index)
	}
	for name, e := range t.members {
		inScope := domain == "" || e.Record.VM.FailureDomain == domain
		if !inScope || !e.Listed || present[name] || e.ListIndex > index {
			continue
		}
		e.Listed = false
		e.ListIndex = index
		t.recordChange(e)
	}
	return true
}

func (t *Table) applyListEntry(vm *VM, index uint64) {
	e, ok := t.members[vm.Name]
	if ok && e.Listed && e.Record.VM.Leaving == vm.Leaving && (e.HasRecord() || e.Record.VM == *vm) {
		e.lastSeen = time.Now()
		return
	}
	t.merge(&Member{Record: MemberRecord{VM: *vm}, ListIndex: index, Listed: true})
}

// Get returns the member with the VM name and whether it exists.
func (t *Table) Get(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Version returns the number of the latest change.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ChangesSince returns the members of one failure domain, or of all if domain is empty, that changed after the
// version. It also returns the current version.
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

// ForEach calls fn for each member of one failure domain, or of all if domain is empty. It holds the table's
// lock and copies nothing; fn must neither retain nor modify the member.
func (t *Table) ForEach(domain string, fn func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := t.members
	if domain != "" {
		entries = t.byDomain[domain]
	}
	for _, e := range entries {
		fn(&e.Member)
	}
}

// SuspectCounts returns, for each suspected VM, how many live processes report that they cannot reach it.
func (t *Table) SuspectCounts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int)
	for _, e := range t.withSuspects {
		for _, vm := range e.Suspects {
			counts[vm]++
		}
	}
	return counts
}
