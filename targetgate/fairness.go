package targetgate

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// callerCells is the number of cells of each priority in which the flows of callers are counted.
	callerCells = 1024
	// callerHalfLife is the time after which an accepted flow counts half.
	callerHalfLife = time.Second
	// activeCount is the count from which a cell has an active caller.
	activeCount = 0.5
	// minFairness is the part of the permitted wait that callers compete for with all of their flows.
	minFairness = 0.5
)

// callerShares counts the accepted flows by priority and caller. Callers are told apart by a hash of their address,
// with a seed of this process: callers that share a cell share their part at this target alone.
type callerShares struct {
	seed    uint64
	levels  [PriorityLevels]callerCounts
	halveAt time.Duration
}

// callerCounts counts the accepted flows of one priority.
type callerCounts struct {
	cells  [callerCells]float32
	total  float32
	active int // cells with an active caller
}

func newCallerShares() callerShares { return callerShares{seed: rand.Uint64() | 1} }

func (c *callerShares) cell(ip [4]byte) int {
	hash := uint64(binary.BigEndian.Uint32(ip[:])+1) * c.seed
	return int(hash >> 32 % callerCells)
}

// count counts an accepted flow.
func (c *callerShares) count(ip [4]byte, priority uint8, now time.Duration) {
	if now >= c.halveAt {
		c.halve(now)
	}
	level := &c.levels[PriorityLevel(priority)]
	cell := &level.cells[c.cell(ip)]
	if *cell < activeCount {
		level.active++
	}
	*cell++
	level.total++
}

// halve halves the counts once for each half-life that has passed.
func (c *callerShares) halve(now time.Duration) {
	periods := 1 + (now-c.halveAt)/callerHalfLife
	c.halveAt += periods * callerHalfLife
	for i := range c.levels {
		c.levels[i].scale(float32(math.Ldexp(1, -int(periods))))
	}
}

func (l *callerCounts) scale(factor float32) {
	if l.total == 0 {
		return
	}
	l.total, l.active = 0, 0
	for i := range l.cells {
		l.cells[i] *= factor
		l.total += l.cells[i]
		if l.cells[i] >= activeCount {
			l.active++
		}
	}
}

// fairness returns the factor of the wait that a flow of the caller is permitted while the target is overloaded. It
// falls from 1 for callers within their fair share of the accepted flows of the priority towards minFairness, so that
// flows of callers with few find room where those of callers with many do not.
func (c *callerShares) fairness(ip [4]byte, priority uint8) float64 {
	level := &c.levels[PriorityLevel(priority)]
	own := level.cells[c.cell(ip)]
	fair := level.total / float32(max(1, level.active))
	if own <= fair {
		return 1
	}
	return minFairness + (1-minFairness)*float64(fair/own)
}
