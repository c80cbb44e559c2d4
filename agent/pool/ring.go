package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipward/cowslipward/fleet"
)

// Limits of the number of agents that an agent exchanges heartbeats with.
const (
	fullMeshSize   = 9 // up to this pool size each agent sends to all others
	neighbourCount = 8 // in a larger pool each agent sends to this many successors on the hash ring
)

// ringOrder returns the targets sorted by a hash of the VM name, the same order on every agent. Hashing mixes the
// failure domains, so that the failure of one domain does not stop all agents that monitor a given agent.
func ringOrder(targets []fleet.Target) []*fleet.Target {
	ring := make([]*fleet.Target, len(targets))
	hashes := make(map[string]uint64, len(targets))
	for i := range targets {
		ring[i] = &targets[i]
		hashes[targets[i].VM.Name] = xxhash.Sum64String(targets[i].VM.Name)
	}
	slices.SortFunc(ring, func(a, b *fleet.Target) int {
		return cmp.Or(cmp.Compare(hashes[a.VM.Name], hashes[b.VM.Name]), cmp.Compare(a.VM.Name, b.VM.Name))
	})
	return ring
}

// neighboursOf returns the targets that self sends heartbeats to and those that it expects heartbeats from.
func neighboursOf(targets []fleet.Target, self string) (receivers, senders []*fleet.Target) {
	ring := ringOrder(targets)
	at := slices.IndexFunc(ring, func(t *fleet.Target) bool { return t.VM.Name == self })
	if at < 0 {
		return nil, nil
	}
	count := len(ring) - 1
	if len(ring) > fullMeshSize {
		count = neighbourCount
	}
	for step := 1; step <= count; step++ {
		receivers = append(receivers, ring[(at+step)%len(ring)])
		senders = append(senders, ring[(at-step+len(ring))%len(ring)])
	}
	return receivers, senders
}
