// Package burn counts good and bad outcomes per service in bounded windows, and says how fast a service uses up its
// error budget.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Windows over which outcomes are counted.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour
)

// Windows are all windows, the shortest first.
var Windows = []time.Duration{Window5m, Window30m, Window1h, Window6h}

// Bounds of a recorder.
const (
	// cellPeriod is the resolution of the windows.
	cellPeriod = 15 * time.Second
	cells      = int(Window6h / cellPeriod)
	// maxServices bounds the memory, 12 KB per service. An agent has one service.
	maxServices = 64
	// PointPeriod is the resolution of a series. Points begin at full minutes, so that those of several processes add up.
	PointPeriod = time.Minute
)

// Counts are outcomes in a window.
type Counts struct {
	Good uint64
	Bad  uint64
}

// Total returns the number of outcomes.
func (c Counts) Total() uint64 { return c.Good + c.Bad }

// Add returns the sum.
func (c Counts) Add(other Counts) Counts {
	return Counts{Good: c.Good + other.Good, Bad: c.Bad + other.Bad}
}

// Point is the outcomes of one PointPeriod.
type Point struct {
	Start time.Time
	Counts
}

// Summary is what a recorder knows of a service.
type Summary struct {
	Windows [4]Counts // in the order of Windows
	Series  []Point   // of the longest window, the oldest first, empty points left out
}

// Add merges the summaries of two processes.
func (s Summary) Add(other Summary) Summary {
	var sum Summary
	for i := range s.Windows {
		sum.Windows[i] = s.Windows[i].Add(other.Windows[i])
	}
	sum.Series = mergeSeries(s.Series, other.Series)
	return sum
}

func mergeSeries(a, b []Point) []Point {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y Point) int { return x.Start.Compare(y.Start) })
	var merged []Point
	for _, point := range all {
		last := len(merged) - 1
		if last >= 0 && merged[last].Start.Equal(point.Start) {
			merged[last].Counts = merged[last].Add(point.Counts)
			continue
		}
		merged = append(merged, point)
	}
	return merged
}

// Recorder owns the counts of a process by service. They are in memory only.
type Recorder[K cmp.Ordered] struct {
	clock func() time.Time

	mu       sync.Mutex
	services map[K]*ring
}

// ring holds the cells of a service. The cell of a period is its number modulo the length.
type ring struct {
	cells  [cells]cell
	newest int64
}

type cell struct {
	good uint32
	bad  uint32
}

// NewRecorder returns an empty recorder. A nil clock means time.Now.
func NewRecorder[K cmp.Ordered](clock func() time.Time) *Recorder[K] {
	if clock == nil {
		clock = time.Now
	}
	return &Recorder[K]{clock: clock, services: make(map[K]*ring)}
}

// Record counts one outcome. Outcomes of services beyond the bound are dropped.
func (r *Recorder[K]) Record(service K, good bool) {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.ringOf(service, now)
	if ring == nil {
		return
	}
	c := ring.advance(now)
	if good {
		c.good++
		return
	}
	c.bad++
}

func (r *Recorder[K]) ringOf(service K, now time.Time) *ring {
	if known, ok := r.services[service]; ok {
		return known
	}
	if len(r.services) >= maxServices {
		return nil
	}
	fresh := &ring{newest: number(now)}
	r.services[service] = fresh
	return fresh
}

// number counts cells since the Unix epoch.
func number(at time.Time) int64 { return at.UnixNano() / int64(cellPeriod) }

// advance clears the cells that time has passed over and returns the newest one. A clock that steps back counts into
// the newest cell.
func (r *ring) advance(now time.Time) *cell {
	current := number(now)
	if current-r.newest >= int64(cells) {
		r.cells = [cells]cell{}
		r.newest = current
	}
	for r.newest < current {
		r.newest++
		r.cells[r.newest%int64(cells)] = cell{}
	}
	return &r.cells[r.newest%int64(cells)]
}

// Services returns the services with outcomes, in the order of their IDs.
func (r *Recorder[K]) Services() []K {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]K, 0, len(r.services))
	for id := range r.services {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Summary returns the counts of a service up to now.
func (r *Recorder[K]) Summary(service K) Summary {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var s Summary
	ring, ok := r.services[service]
	if !ok {
		return s
	}
	ring.advance(now)
	for age := int64(cells) - 1; age >= 0; age-- {
		n := ring.newest - age
		if n < 0 {
			continue
		}
		c := ring.cells[n%int64(cells)]
		counts := Counts{Good: uint64(c.good), Bad: uint64(c.bad)}
		if counts.Total() > 0 {
			s.add(counts, n, age)
		}
	}
	return s
}

// add counts a cell in the windows that reach back to it and in its point.
func (s *Summary) add(counts Counts, n, age int64) {
	for i, window := range Windows {
		if time.Duration(age)*cellPeriod < window {
			s.Windows[i] = s.Windows[i].Add(counts)
		}
	}
	start := time.Unix(0, n*int64(cellPeriod)).UTC().Truncate(PointPeriod)
	if last := len(s.Series) - 1; last >= 0 && s.Series[last].Start.Equal(start) {
		s.Series[last].Counts = s.Series[last].Add(counts)
		return
	}
	s.Series = append(s.Series, Point{Start: start, Counts: counts})
}
