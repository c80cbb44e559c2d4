package fleet

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cowslipward/cowslipward/rules"
)

// item is a VM on its way into a view.
type item struct {
	record  *MemberRecord
	service *rules.Service // nil for a balancer and for a VM in no pool
	listed  bool           // known from the VM list only
	leaving bool
	down    bool
}

func newView(set *rules.Set, limits map[string]uint16) *View {
	if set == nil {
		set = &rules.Set{}
	}
	v := &View{rules: set, limits: limits}
	for i := range set.Domains {
		v.outs[set.Domains[i].ID] = set.Domains[i].Out
	}
	return v
}

// NewView derives a view. The set may be nil before the first rules arrive. A record wins over the list entry of the
// same VM, since the list lags.
func NewView(set *rules.Set, obs Observation) *View {
	v := newView(set, obs.WeightLimits)
	v.vms = obs.VMs
	leaving := make(map[string]bool, len(obs.VMs))
	recorded := make(map[string]bool, len(obs.Records))
	for i := range obs.VMs {
		leaving[obs.VMs[i].Name] = obs.VMs[i].Leaving
	}
	items := make([]item, 0, len(obs.Records)+len(obs.VMs))
	for i := range obs.Records {
		record := &obs.Records[i]
		recorded[record.VM.Name] = true
		items = append(items, v.item(record, false, leaving[record.VM.Name], obs.Down[record.VM.Name]))
	}
	for i := range obs.VMs {
		vm := &obs.VMs[i]
		if !recorded[vm.Name] {
			items = append(items, v.item(&MemberRecord{VM: *vm}, true, vm.Leaving, obs.Down[vm.Name]))
		}
	}
	v.assemble(items)
	return v
}

// View derives a view of the table's members. The set may be nil before the first rules arrive. Limits caps the weights
// of failure domains, see Observation.
func (t *Table) View(set *rules.Set, limits map[string]uint16) *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := newView(set, limits)
	items := make([]item, 0, len(t.members))
	for e := t.newest; e != nil; e = e.older {
		if !e.Removed && (e.Listed || e.HasRecord()) {
			items = append(items, v.item(&e.Record, !e.HasRecord(), e.Record.VM.Leaving, e.Down))
		}
	}
	v.assemble(items)
	return v
}

func (v *View) item(record *MemberRecord, listed, leaving, down bool) item {
	i := item{record: record, listed: listed, leaving: leaving, down: down}
	if record.VM.Role == RoleTarget || (!listed && record.VM.Role != RoleBalancer) {
		i.service = v.rules.ServiceOfVM(record.VM.Name)
	}
	return i
}

// assemble sorts the items into balancers and pools. All targets lie in one array: at 7,820 VMs, slices that grow
// pool by pool and maps for each step made a view cost twice the time.
func (v *View) assemble(items []item) {
	sizes := make(map[rules.ServiceID]int)
	total := 0
	for i := range items {
		if items[i].service != nil {
			sizes[items[i].service.ID]++
			total++
		}
	}
	array := make([]Target, total)
	v.targets = make(map[rules.ServiceID][]Target, len(sizes))
	for id, size := range sizes {
		v.targets[id] = array[:0:size]
		array = array[size:]
	}
	for i := range items {
		v.place(&items[i])
	}
	v.byData = make(map[netip.AddrPort]*Target, total)
	for _, targets := range v.targets {
		slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.VM.Name, b.VM.Name) })
		for i := range targets {
			v.claim(&targets[i])
		}
	}
}

func (v *View) place(i *item) {
	switch {
	case i.service != nil:
		v.targets[i.service.ID] = append(v.targets[i.service.ID], v.target(i))
	case i.record.VM.Role == RoleBalancer && !i.listed:
		v.balancers = append(v.balancers, *i.record)
	default:
		v.rest = append(v.rest, i.record.VM)
	}
}

func (v *View) target(i *item) Target {
	target := Target{
		VM:          i.record.VM,
		Service:     i.service.ID,
		Incarnation: i.record.Incarnation,
		Started:     i.record.Started,
		State:       i.record.State,
		Weight:      i.record.Weight,
	}
	domain := v.rules.DomainByName(i.record.VM.FailureDomain)
	if domain != nil {
		target.Domain = domain.ID
	}
	target.VM.Leaving = i.leaving
	target.Weight, target.Reason = v.weigh(&target, domain, i.leaving, i.down)
	if i.down {
		target.State = StateDown
	}
	return target
}

// claim enters the target under its tunnel address. Of two processes at one address the one that started last is there;
// a VM that was replaced under another name gets no more flows.
func (v *View) claim(target *Target) {
	if !target.VM.Data.IsValid() {
		return
	}
	other, taken := v.byData[target.VM.Data]
	if !taken {
		v.byData[target.VM.Data] = target
		return
	}
	newer, older := target, other
	if other.Started > target.Started {
		newer, older = other, target
	}
	v.byData[target.VM.Data] = newer
	older.Weight, older.Reason = 0, "replaced by "+newer.VM.Name
}
