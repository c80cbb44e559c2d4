package feed

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipward/cowslipward/fleet"
)

const (
	// readersPerDomain is how many relays of a failure domain read the platform. With three, one may fail while another
	// is being replaced.
	readersPerDomain = 3
	// vmsPerRelay bounds the subscribers of a relay. With three relays for the 978 VMs of the largest planned domain,
	// the heartbeats and reports of the subscribers would exceed the 26 KB/s and the CPU share that a process may use,
	// see docs/CAPACITY.md. A domain of up to 192 VMs has three relays.
	vmsPerRelay = 64
)

// relayCount returns the number of relays of a failure domain with the number of VMs.
func relayCount(vms int) int {
	return max(readersPerDomain, (vms+vmsPerRelay-1)/vmsPerRelay)
}

// relayScore ranks a VM in the choice of the relays of its failure domain. Higher is better.
func relayScore(vm string) uint64 { return xxhash.Sum64String(vm) }

// subscriberScore ranks a relay for a subscriber, so that the subscribers of a domain spread over its relays.
func subscriberScore(subscriber, relay string) uint64 {
	return xxhash.Sum64String(subscriber + " " + relay)
}

// chooseRelays returns the relays of a failure domain from its ranked candidates. Processes with the same candidates
// choose the same relays. If the candidates differ between processes, the only effect is that more processes read the
// platform.
func chooseRelays(c candidates) []fleet.VM {
	return slices.Clone(c.ranked[:min(relayCount(c.total), len(c.ranked))])
}

// candidates are the VMs of a failure domain that may become its relays.
type candidates struct {
	ranked []fleet.VM // the best maxCandidates, best first
	total  int        // all VMs that were ranked
}

// maxCandidates bounds the candidates that a process keeps for a failure domain: the chosen relays and their
// replacements if some are unreachable. Copies of all VMs took 3 MB in a fleet of 7,820.
const maxCandidates = 24

// ranking holds the VMs with the highest scores, highest first, and counts all that were added.
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

// sortForSubscriber sorts relays by subscriberScore, best first.
func sortForSubscriber(subscriber string, relays []fleet.VM) {
	slices.SortFunc(relays, func(a, b fleet.VM) int {
		return compareScores(subscriberScore(subscriber, a.Name), subscriberScore(subscriber, b.Name))
	})
}

// domainRankings ranks all VMs of one failure domain and two subsets of them.
type domainRankings struct {
	all        ranking
	withRecord ranking // VMs that have published a record
	targets    ranking // target VMs that have published a record
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

// candidates chooses one of the rankings. Balancers are excluded in a domain with more than readersPerDomain relays,
// because a relay then needs more memory than a balancer may use for control.
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
