// Package routing selects targets for new flows by weighted rendezvous hashing. Processes with the same view
// compute the same order of targets for a flow without shared state.
package routing

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/hash64"
	"github.com/cowslipward/cowslipward/rules"
)

// MaxRank is the maximum number of targets that Rank returns.
const MaxRank = 8

// maxConnectionID is the maximum length of a connection ID in QUIC version 1 in bytes, RFC 9000 section 17.2.
const maxConnectionID = 20

// Key returns the hash key of a flow that has no routable connection ID yet.
func Key(connectionID []byte, caller netip.AddrPort) uint64 {
	var buf [maxConnectionID + 16 + 2]byte
	if len(connectionID) > maxConnectionID {
		connectionID = connectionID[:maxConnectionID]
	}
	n := copy(buf[:], connectionID)
	ip := caller.Addr().As16()
	n += copy(buf[n:], ip[:])
	binary.BigEndian.PutUint16(buf[n:], caller.Port())
	return xxhash.Sum64(buf[:n+2])
}

// group is a range of consecutive candidates with the same weight.
type group struct {
	end    int // index after the last candidate
	weight float64
}

// Pool holds the eligible targets of one service, ordered by weight.
type Pool struct {
	seeds   []uint64 // 8 bytes per candidate, so that thousands fit into the CPU cache
	targets []*fleet.Target
	groups  []group
}

// NewPool returns a pool of those targets that are eligible and have a data address.
func NewPool(targets []fleet.Target) *Pool {
	p := &Pool{}
	for i := range targets {
		if t := &targets[i]; t.Eligible() && t.VM.Data.IsValid() {
			p.targets = append(p.targets, t)
		}
	}
	slices.SortStableFunc(p.targets, func(a, b *fleet.Target) int { return int(b.Weight) - int(a.Weight) })
	p.seeds = make([]uint64, len(p.targets))
	for i, t := range p.targets {
		p.seeds[i] = xxhash.Sum64String(t.VM.Name)
		if i == 0 || t.Weight != p.targets[i-1].Weight {
			p.groups = append(p.groups, group{weight: float64(t.Weight)})
		}
		p.groups[len(p.groups)-1].end = i + 1
	}
	return p
}

// Len returns the number of candidates.
func (p *Pool) Len() int { return len(p.targets) }

// scoredCandidate is a candidate and its score. Lower scores rank first.
type scoredCandidate struct {
	score float64
	index int
}

// ranking is the partial result of Rank for one flow.
type ranking struct {
	best  [MaxRank]scoredCandidate
	count int     // entries in best
	size  int     // maximum number of entries
	bound float64 // a candidate must score lower; infinite until count reaches size
}

// Rank writes the targets for the flow to dst in order of preference and returns how many it wrote, at most
// MaxRank.
//
// The score of a candidate is an exponential variate -ln(u)/weight, where u is its hash scaled to [0, 1). The
// lowest score ranks first, so that each candidate receives a share of the flows in proportion to its weight.
// Since -ln(u) >= 1-u, a candidate whose hash is below a threshold cannot rank among the best. The loop over
// thousands of candidates thus needs only a hash and an integer comparison per candidate, and a few dozen
// logarithms in total.
func (p *Pool) Rank(key uint64, dst []*fleet.Target) int {
	r := ranking{size: min(len(dst), MaxRank, len(p.targets)), bound: math.Inf(1)}
	if r.size == 0 {
		return 0
	}
	start := 0
	for _, g := range p.groups {
		threshold := r.threshold(g.weight)
		for i, seed := range p.seeds[start:g.end] {
			hash := hash64.Mix(seed ^ key)
			if hash >= threshold && r.add(hash, g.weight, start+i) {
				threshold = r.threshold(g.weight)
			}
		}
		start = g.end
	}
	for i := range r.count {
		dst[i] = p.targets[r.best[i].index]
	}
	return r.count
}

// hashUnit scales the upper 53 bits of a hash to [0, 1).
const hashUnit = 1.0 / (1 << 53)

// threshold returns the lowest hash with which a candidate of the given weight can have a score below the bound.
func (r *ranking) threshold(weight float64) uint64 {
	least := 1 - r.bound*weight
	if !(least > 0) {
		return 0
	}
	return uint64(least*(1<<53)) << 11
}

// add inserts a candidate if its score is below the bound, and reports whether the bound changed.
func (r *ranking) add(hash uint64, weight float64, index int) bool {
	score := -math.Log(float64(hash>>11)*hashUnit) / weight
	if score >= r.bound {
		return false
	}
	r.count = insert(r.best[:r.size], r.count, scoredCandidate{score: score, index: index})
	if r.count < r.size {
		return false
	}
	r.bound = r.best[r.size-1].score
	return true
}

// insert inserts a candidate into best, which is in ascending order of scores, and returns the new number of
// entries. If best is full, the last entry is dropped.
func insert(best []scoredCandidate, count int, candidate scoredCandidate) int {
	if count < len(best) {
		count++
	}
	i := count - 1
	for i > 0 && best[i-1].score > candidate.score {
		best[i] = best[i-1]
		i--
	}
	best[i] = candidate
	return count
}

// Table holds the pools of one view. Pools are built on first use, since views change more often than most
// services receive new flows.
type Table struct {
	View  *fleet.View
	mu    sync.RWMutex
	pools map[rules.ServiceID]*Pool
}

// NewTable returns a table for the view.
func NewTable(view *fleet.View) *Table {
	return &Table{View: view, pools: make(map[rules.ServiceID]*Pool)}
}

// Pool returns the pool of the service. It builds the pool on first use.
func (t *Table) Pool(service rules.ServiceID) *Pool {
	t.mu.RLock()
	pool, ok := t.pools[service]
	t.mu.RUnlock()
	if ok {
		return pool
	}
	pool = NewPool(t.View.Targets(service))
	t.mu.Lock()
	t.pools[service] = pool
	t.mu.Unlock()
	return pool
}
