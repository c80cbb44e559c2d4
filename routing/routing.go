// Package routing chooses targets for new flows by weighted rendezvous hashing. Processes with the same view choose the
// same order of targets for a flow without any shared state.
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

// MaxRank is the longest order that Rank yields.
const MaxRank = 8

// maxConnectionID is the longest connection ID of QUIC version 1, RFC 9000 section 17.2.
const maxConnectionID = 20

// Key identifies a flow before its connection ID is routable.
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

// group is a run of candidates with the same weight.
type group struct {
	end    int // index after the last candidate
	weight float64
}

// Pool holds the eligible targets of one service, ordered by weight.
type Pool struct {
	seeds   []uint64 // 8 bytes a candidate, so that thousands stay in the cache
	targets []*fleet.Target
	groups  []group
}

// NewPool returns a pool with the eligible ones of the targets.
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

// place is a candidate with its score; a lower score is preferred.
type place struct {
	score float64
	index int
}

// ranking is the order of one flow while it is built.
type ranking struct {
	best  [MaxRank]place
	held  int
	want  int
	bound float64 // score that a candidate must beat; infinite until the order is full
}

// Rank writes the order of preference for the flow to dst and returns how many targets it wrote, at most MaxRank.
//
// The score of a candidate is an exponential variate -ln(u)/weight; the lowest wins, which gives each candidate its
// share by weight. Since -ln(u) >= 1-u, a candidate whose hash is below a threshold cannot enter the order. The loop
// over thousands of candidates is thus a hash and a comparison of integers, and the logarithm is taken a few dozen times.
func (p *Pool) Rank(key uint64, dst []*fleet.Target) int {
	r := ranking{want: min(len(dst), MaxRank, len(p.targets)), bound: math.Inf(1)}
	if r.want == 0 {
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
	for i := range r.held {
		dst[i] = p.targets[r.best[i].index]
	}
	return r.held
}

// hashUnit scales the upper 53 bits of a hash to [0, 1).
const hashUnit = 1.0 / (1 << 53)

// threshold returns the least hash with which a candidate of the weight can enter the order.
func (r *ranking) threshold(weight float64) uint64 {
	least := 1 - r.bound*weight
	if !(least > 0) {
		return 0
	}
	return uint64(least*(1<<53)) << 11
}

// add enters a candidate if its score is low enough, and reports whether the bound changed.
func (r *ranking) add(hash uint64, weight float64, index int) bool {
	score := -math.Log(float64(hash>>11)*hashUnit) / weight
	if score >= r.bound {
		return false
	}
	r.held = insert(r.best[:r.want], r.held, place{score: score, index: index})
	if r.held < r.want {
		return false
	}
	r.bound = r.best[r.want-1].score
	return true
}

// insert keeps the best places in ascending order of their scores and returns how many are held.
func insert(best []place, held int, p place) int {
	if held < len(best) {
		held++
	}
	i := held - 1
	for i > 0 && best[i-1].score > p.score {
		best[i] = best[i-1]
		i--
	}
	best[i] = p
	return held
}

// Table holds the pools of one view. Pools are built at their first use, since a view changes more often than most
// services get a new flow.
type Table struct {
	View  *fleet.View
	mu    sync.RWMutex
	pools map[rules.ServiceID]*Pool
}

// NewTable returns a table for the view.
func NewTable(view *fleet.View) *Table {
	return &Table{View: view, pools: make(map[rules.ServiceID]*Pool)}
}

// Pool returns the pool of the service.
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
