// Package placement chooses targets for new flows and the order in which the target of an open flow is searched.
// Processes with the same view agree on the order of a flow without shared state.
package placement

import (
	"cmp"
	"slices"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/internal/hash64"
)

// ranked is a candidate with its rendezvous hash. A higher hash is preferred.
type ranked struct {
	target *directory.Target
	hash   uint64
}

// homeChoices and remoteChoices are how many targets of either kind begin an order: those among which a new flow has a
// choice. Two choices by hash keep processes with old reports from pressing the same target.
const (
	homeChoices   = 2
	remoteChoices = 1
)

// Ranker is a scratch buffer for orders of preference. It is not safe for concurrent use.
type Ranker struct {
	home, remote []ranked
	out          []*directory.Target
}

// Rank returns the order of preference of a flow among all targets of a service, in any state, by rendezvous hash: a few
// targets of the home failure domain, one of another, the rest of the home domain, then all others. A target that joins
// or leaves hardly moves others. The result holds until the next call.
func (o *Ranker) Rank(targets []*directory.Target, home string, hash uint64) []*directory.Target {
	o.home, o.remote = o.home[:0], o.remote[:0]
	for _, t := range targets {
		r := ranked{target: t, hash: rank(t, hash)}
		if t.Domain == home {
			o.home = append(o.home, r)
		} else {
			o.remote = append(o.remote, r)
		}
	}
	byHash := func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) }
	slices.SortFunc(o.home, byHash)
	slices.SortFunc(o.remote, byHash)
	return o.arrange(o.home, o.remote)
}

// topCount is how many targets of either kind Top looks at.
const topCount = 6

// RankTop returns the beginning of an order like that of Of, without sorting the whole pool: the first targets of the home
// domain and of all others. The result holds until the next call.
func (o *Ranker) RankTop(targets []*directory.Target, home string, hash uint64) []*directory.Target {
	var homeBest, remoteBest best
	for _, t := range targets {
		r := ranked{target: t, hash: rank(t, hash)}
		if t.Domain == home {
			homeBest.add(r)
		} else {
			remoteBest.add(r)
		}
	}
	return o.arrange(homeBest.items[:homeBest.count], remoteBest.items[:remoteBest.count])
}

// arrange returns the order of two ranked lists: the beginnings of both, then the rest of either.
func (o *Ranker) arrange(home, remote []ranked) []*directory.Target {
	o.out = o.out[:0]
	homeHead := min(homeChoices, len(home))
	remoteHead := min(remoteChoices, len(remote))
	o.appendRanked(home[:homeHead])
	o.appendRanked(remote[:remoteHead])
	o.appendRanked(home[homeHead:])
	o.appendRanked(remote[remoteHead:])
	return o.out
}

func (o *Ranker) appendRanked(part []ranked) {
	for _, r := range part {
		o.out = append(o.out, r.target)
	}
}

// best keeps the ranked targets with the highest hashes, in order.
type best struct {
	items [topCount]ranked
	count int
}

func (b *best) add(r ranked) {
	if b.count == topCount && r.hash <= b.items[topCount-1].hash {
		return
	}
	if b.count < topCount {
		b.count++
	}
	i := b.count - 1
	for ; i > 0 && b.items[i-1].hash < r.hash; i-- {
		b.items[i] = b.items[i-1]
	}
	b.items[i] = r
}

// rank returns the rendezvous hash of a target for a flow.
func rank(t *directory.Target, hash uint64) uint64 {
	return hash64.Mix(t.Seed ^ hash)
}
