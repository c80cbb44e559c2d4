package fleet

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cowslipward/cowslipward/rules"
)

// viewEntry is a VM from which a view is built.
type viewEntry struct {
	record   *MemberRecord
	service  *rules.Service // nil for a balancer and for a VM in no pool
	listOnly bool           // the VM is in the VM list but has no record
	leaving  bool
	down     bool
}

func newView(set *rules.Set, limits map[string]uint16) *View {
	if set == nil {
		set = &rules.Set{}
	}
	v := &View{rules: set, weightLimits: limits}
	for i := range set.Domains {
		v.domainsOut[set.Domains[i].ID] = set.Domains[i].Out
	}
	return v
}

// NewView builds a view from the rules and an observation. The set may be nil before the first rules arrive. A
// record takes precedence over the list entry of the same VM, since the VM list lags.
func NewView(set *rules.Set, obs Observation) *View {
	v := newView(set, obs.WeightLimits)
	v.vms = obs.VMs
	leaving := make(map[string]bool, len(obs.VMs))
	recorded := make(map[string]bool, len(obs.Records))
	for i := range obs.VMs {
		leaving[obs.VMs[i].Name] = obs.VMs[i].Leaving
	}
	entries := make([]viewEntry, 0, len(obs.Records)+len(obs.VMs))
	for i := range obs.Records {
		record := &obs.Records[i]
		recorded[record.VM.Name] = true
		entries = append(entries, v.newEntry(record, false, leaving[record.VM.Name], obs.Down[record.VM.Name]))
	}
	for i := range obs.VMs {
		vm := &obs.VMs[i]
		if !recorded[vm.Name] {
			entries = append(entries, v.newEntry(&MemberRecord{VM: *vm}, true, vm.Leaving, obs.Down[vm.Name]))
		}
	}
	v.populate(entries)
	return v
}

// View builds a view from the table's members. The set may be nil before the first rules arrive. Limits caps
// the weights of failure domains, see Observation.WeightLimits.
func (t *Table) View(set *rules.Set, limits map[string]uint16) *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := newView(set, limits)
	entries := make([]viewEntry, 0, len(t.members))
	for e := t.newest; e != nil; e = e.older {
		if !e.Removed && (e.Listed || e.HasRecord()) {
			entries = append(entries, v.newEntry(&e.Record, !e.HasRecord(), e.Record.VM.Leaving, e.Down))
		}
	}
	v.populate(entries)
	return v
}

func (v *View) newEntry(record *MemberRecord, listOnly, leaving, down bool) viewEntry {
	e := viewEntry{record: record, listOnly: listOnly, leaving: leaving, down: down}
	if record.VM.Role == RoleTarget || (!listOnly && record.VM.Role != RoleBalancer) {
		e.service = v.rules.ServiceOfVM(record.VM.Name)
	}
	return e
}

// populate sorts the entries into balancers, pools and other VMs. All targets share one backing array: at 7,820
// VMs, slices that grow per pool and a map for each step doubled the time to build a view.
func (v *View) populate(entries []viewEntry) {
	sizes := make(map[rules.ServiceID]int)
	total := 0
	for i := range entries {
		if entries[i].service != nil {
			sizes[entries[i].service.ID]++
			total++
		}
	}
	backing := make([]Target, total)
	v.targets = make(map[rules.ServiceID][]Target, len(sizes))
	for id, size := range sizes {
		v.targets[id] = backing[:0:size]
		backing = backing[size:]
	}
	for i := range entries {
		v.addEntry(&entries[i])
	}
	v.targetsByAddress = make(map[netip.AddrPort]*Target, total)
	for _, targets := range v.targets {
		slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.VM.Name, b.VM.Name) })
		for i := range targets {
			v.indexTarget(&targets[i])
		}
	}
}

func (v *View) addEntry(e *viewEntry) {
	switch {
	case e.service != nil:
		v.targets[e.service.ID] = append(v.targets[e.service.ID], v.newTarget(e))
	case e.record.VM.Role == RoleBalancer && !e.listOnly:
		v.balancers = append(v.balancers, *e.record)
	default:
		v.otherVMs = append(v.otherVMs, e.record.VM)
	}
}

func (v *View) newTarget(e *viewEntry) Target {
	target := Target{
		VM:          e.record.VM,
		Service:     e.service.ID,
		Incarnation: e.record.Incarnation,
		Started:     e.record.Started,
		State:       e.record.State,
		Weight:      e.record.Weight,
	}
	domain := v.rules.DomainByName(e.record.VM.FailureDomain)
	if domain != nil {
		target.Domain = domain.ID
	}
	target.VM.Leaving = e.leaving
	target.Weight, target.Reason = v.newFlowWeight(&target, domain, e.leaving, e.down)
	if e.down {
		target.State = StateDown
	}
	return target
}

// indexTarget indexes the target by its tunnel address. If two targets have the same address, the one whose
// process started last is indexed; the other was replaced by a VM of another name and gets no new flows.
func (v *View) indexTarget(target *Target) {
	if !target.VM.Data.IsValid() {
		return
	}
	other, taken := v.targetsByAddress[target.VM.Data]
	if !taken {
		v.targetsByAddress[target.VM.Data] = target
		return
	}
	newer, older := target, other
	if other.Started > target.Started {
		newer, older = other, target
	}
	v.targetsByAddress[target.VM.Data] = newer
	older.Weight, older.Reason = 0, "replaced by "+newer.VM.Name
}
