package feed

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipward/cowslipward/fleet"
)

const (
	// readersPerDomain is how many relays of a failure domain read the platform. Three let one fail while another is
	// replaced.
	readersPerDomain = 3
	// vmsPerRelay bounds the subscribers of a relay. With three relays for the 978 VMs of a domain as large as planned,
	// the heartbeats and reports of their subscribers exceed the 26 KB/s and the share of a core that a process may
	// take, see docs/CAPACITY.md. Up to 192 VMs a domain has three relays.
	vmsPerRelay = 64
)

// relayCount returns how many relays a failure domain of this size has.
func relayCount(vms int) int {
	return max(readersPerDomain, (vms+vmsPerRelay-1)/vmsPerRelay)
}

// relayScore orders the VMs of a failure domain for the choice of its relays.
func relayScore(vm string) uint64 { return xxhash.Sum64String(vm) }

// pairScore spreads the subscribers of a domain over its relays.
func subscriberScore(subscriber, relay string) uint64 {
	return xxhash.Sum64String(subscriber + " " + relay)
}

// chooseRelays returns the relays of a failure domain from its ranked candidates. Processes with the same list choose the
// same relays; lists that differ only add readers.
func chooseRelays(c candidates) []fleet.VM {
	return slices.Clone(c.ranked[:min(relayCount(c.total), len(c.ranked))])
}

// candidates are the VMs of a failure domain that may be its relays, best first, of a total of which only the best are
// kept.
type candidates struct {
	ranked []fleet.VM
	total  int
}

// maxCandidates bounds the VMs of a failure domain that a process considers as relays: the chosen ones and those that
// follow where some cannot be reached. Copies of all VMs took 3 MB at 7,820.
const maxCandidates = 24

// ranking holds the candidates of one failure domain with the highest scores, highest first.
type ranking struct {
	vms    []fleet.VM
	scores []uint64
	total  int
}

func (r *ranking) add(vm *fleet.VM) {
	r.total++
	score := relayScore(vm.Name)
	at := len(r.scores)
	for at > 0 && r.scores[at-1] < score {
		at--
	}
	if at == maxCandidates {
		return
	}
	r.scores = slices.Insert(r.scores, at, score)
	r.vms = slices.Insert(r.vms, at, *vm)
	if len(r.vms) > maxCandidates {
		r.scores, r.vms = r.scores[:maxCandidates], r.vms[:maxCandidates]
	}
}

func compareScores(a, b uint64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	default:
		return 0
	}
}

// canRelay reports whether the member may be chosen as a relay.
func canRelay(m *fleet.Member) bool {
	if m.Removed || m.Down || m.Record.VM.Leaving || !m.Record.VM.Control.IsValid() {
		return false
	}
	if m.Record.State == fleet.StateStopped {
		return false
	}
	return m.Listed || m.HasRecord()
}

// sortForSubscriber orders relays so that the subscribers of a domain spread over them.
func sortForSubscriber(subscriber string, relays []fleet.VM) {
	slices.SortFunc(relays, func(a, b fleet.VM) int {
		return compareScores(subscriberScore(subscriber, a.Name), subscriberScore(subscriber, b.Name))
	})
}

// rankings ranks the VMs of one failure domain, all and in part.
type domainRankings struct {
	all        ranking
	withRecord ranking // with a record
	targets    ranking // with a record, beside a target
}

func (r *domainRankings) add(m *fleet.Member) {
	vm := &m.Record.VM
	r.all.add(vm)
	if !m.HasRecord() {
		return
	}
	r.withRecord.add(vm)
	if vm.Role == fleet.RoleTarget {
		r.targets.add(vm)
	}
}

// candidates chooses among the rankings. In a domain with many relays balancers are left out: a relay takes more memory
// than a balancer may use for control.
func (r *domainRankings) candidates() candidates {
	chosen := r.all
	if r.withRecord.total >= readersPerDomain {
		chosen = r.withRecord
	}
	relays := relayCount(chosen.total)
	if relays > readersPerDomain && r.targets.total >= relays {
		return candidates{ranked: r.targets.vms, total: chosen.total}
	}
	return candidates{ranked: chosen.vms, total: chosen.total}
}
