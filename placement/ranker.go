// Package placement selects targets for new flows and determines the order in which targets are searched for an
// open flow. The order of preference is computed by rendezvous hashing, so processes with the same view agree on
// it without shared state.
package placement

import (
	"cmp"
	"slices"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/internal/hash64"
)

// rankedTarget is a target with its rendezvous hash. Targets with higher hashes are preferred.
type rankedTarget struct {
	target *directory.Target
	hash   uint64
}

// localCandidates and remoteCandidates are the numbers of local and remote targets at the head of an order of
// preference, from which the target of a new flow is selected. Two choices by hash keep processes with outdated
// reports from overloading the same target.
const (
	localCandidates  = 2
	remoteCandidates = 1
)

// Ranker computes orders of preference and reuses its buffers between calls. It is not safe for concurrent use.
type Ranker struct {
	local, remote []rankedTarget
	ordered       []*directory.Target
}

// Rank returns the targets of a service, in any state, in the order of preference of a flow, by rendezvous hash:
// the first localCandidates targets of the local failure domain, the first remoteCandidates of the others, the
// remaining local targets, then the remaining remote ones. A target that joins or leaves barely changes the
// relative order of the others. The result is valid until the next call.
func (r *Ranker) Rank(targets []*directory.Target, localDomain string, hash uint64) []*directory.Target {
	r.local, r.remote = r.local[:0], r.remote[:0]
	for _, t := range targets {
		ranked := rankedTarget{target: t, hash: rendezvousHash(t, hash)}
		if t.Domain == localDomain {
			r.local = append(r.local, ranked)
		} else {
			r.remote = append(r.remote, ranked)
		}
	}
	byHash := func(a, b rankedTarget) int { return cmp.Compare(b.hash, a.hash) }
	slices.SortFunc(r.local, byHash)
	slices.SortFunc(r.remote, byHash)
	return r.merge(r.local, r.remote)
}

// maxTopTargets is the maximum number of local, and of remote, targets that RankTop returns.
const maxTopTargets = 6

// RankTop is like Rank but keeps only the highest-ranked local and remote targets, which avoids sorting all
// targets of the service. The result is valid until the next call.
func (r *Ranker) RankTop(targets []*directory.Target, localDomain string, hash uint64) []*directory.Target {
	var localTop, remoteTop topRanked
	for _, t := range targets {
		ranked := rankedTarget{target: t, hash: rendezvousHash(t, hash)}
		if t.Domain == localDomain {
			localTop.add(ranked)
		} else {
			remoteTop.add(ranked)
		}
	}
	return r.merge(localTop.items[:localTop.count], remoteTop.items[:remoteTop.count])
}

// merge combines two ranked lists into one: the heads of both lists, then the remaining local and remote targets.
func (r *Ranker) merge(local, remote []rankedTarget) []*directory.Target {
	r.ordered = r.ordered[:0]
	localHead := min(localCandidates, len(local))
	remoteHead := min(remoteCandidates, len(remote))
	r.appendRanked(local[:localHead])
	r.appendRanked(remote[:remoteHead])
	r.appendRanked(local[localHead:])
	r.appendRanked(remote[remoteHead:])
	return r.ordered
}

func (r *Ranker) appendRanked(part []rankedTarget) {
	for _, ranked := range part {
		r.ordered = append(r.ordered, ranked.target)
	}
}

// topRanked keeps the targets with the highest hashes in descending order.
type topRanked struct {
	items [maxTopTargets]rankedTarget
	count int
}

func (t *topRanked) add(ranked rankedTarget) {
	if t.count == maxTopTargets && ranked.hash <= t.items[maxTopTargets-1].hash {
		return
	}
	if t.count < maxTopTargets {
		t.count++
	}
	i := t.count - 1
	for ; i > 0 && t.items[i-1].hash < ranked.hash; i-- {
		t.items[i] = t.items[i-1]
	}
	t.items[i] = ranked
}

// rendezvousHash returns the rendezvous hash of a target for the hash of a flow.
func rendezvousHash(t *directory.Target, hash uint64) uint64 {
	return hash64.Mix(t.Seed ^ hash)
}
