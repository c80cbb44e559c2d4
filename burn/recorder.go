// Package burn counts good and bad outcomes per service in sliding windows, and computes how fast a service consumes
// its error budget.
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

// Windows lists all windows, shortest first.
var Windows = []time.Duration{Window5m, Window30m, Window1h, Window6h}

// Resolution and limits of a recorder.
const (
	// bucketPeriod is the resolution of the windows.
	bucketPeriod = 15 * time.Second
	bucketCount  = int(Window6h / bucketPeriod)
	// maxServices limits memory use, which is 12 KB per service. An agent has one service.
	maxServices = 64
	// PointPeriod is the resolution of a series. Points begin at full minutes, so that the series of several processes
	// can be added.
	PointPeriod = time.Minute
)

// Counts holds the numbers of good and bad outcomes in a period.
type Counts struct {
	Good uint64
	Bad  uint64
}

// Total returns the number of outcomes.
func (c Counts) Total() uint64 { return c.Good + c.Bad }

// Add returns the sum of both counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{Good: c.Good + other.Good, Bad: c.Bad + other.Bad}
}

// Point holds the outcomes of one PointPeriod.
type Point struct {
	Start time.Time
	Counts
}

// Summary holds the recorded outcomes of a service.
type Summary struct {
	Windows [4]Counts // in the order of Windows
	Series  []Point   // over the longest window, oldest first, without empty points
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

// Recorder counts the outcomes of a process by service. The counts are kept in memory only.
type Recorder[K cmp.Ordered] struct {
	clock func() time.Time

	mu       sync.Mutex
	services map[K]*ring
}

// ring is the circular buffer of the buckets of a service. Bucket number n is at index n modulo bucketCount.
type ring struct {
	buckets [bucketCount]bucket
	newest  int64
}

type bucket struct {
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

// Record counts one outcome. Outcomes of services beyond maxServices are dropped.
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
	if existing, ok := r.services[service]; ok {
		return existing
	}
	if len(r.services) >= maxServices {
		return nil
	}
	created := &ring{newest: bucketNumber(now)}
	r.services[service] = created
	return created
}

// bucketNumber returns the number of the bucket for a time, counted from the Unix epoch.
func bucketNumber(at time.Time) int64 { return at.UnixNano() / int64(bucketPeriod) }

// advance clears the buckets for the time that has passed since the newest one and returns the bucket for now. If the
// clock steps back, it returns the newest bucket.
func (r *ring) advance(now time.Time) *bucket {
	current := bucketNumber(now)
	if current-r.newest >= int64(bucketCount) {
		r.buckets = [bucketCount]bucket{}
		r.newest = current
	}
	for r.newest < current {
		r.newest++
		r.buckets[r.newest%int64(bucketCount)] = bucket{}
	}
	return &r.buckets[r.newest%int64(bucketCount)]
}

// Services returns the services with recorded outcomes, sorted by ID.
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

// Summary returns the outcomes of a service up to now.
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
	for age := int64(bucketCount) - 1; age >= 0; age-- {
		n := ring.newest - age
		if n < 0 {
			continue
		}
		c := ring.buckets[n%int64(bucketCount)]
		counts := Counts{Good: uint64(c.good), Bad: uint64(c.bad)}
		if counts.Total() > 0 {
			s.add(counts, n, age)
		}
	}
	return s
}

// add adds the counts of bucket number n, which is age buckets older than the newest, to the windows that include it
// and to its point of the series.
func (s *Summary) add(counts Counts, n, age int64) {
	for i, window := range Windows {
		if time.Duration(age)*bucketPeriod < window {
			s.Windows[i] = s.Windows[i].Add(counts)
		}
	}
	start := time.Unix(0, n*int64(bucketPeriod)).UTC().Truncate(PointPeriod)
	if last := len(s.Series) - 1; last >= 0 && s.Series[last].Start.Equal(start) {
		s.Series[last].Counts = s.Series[last].Add(counts)
		return
	}
	s.Series = append(s.Series, Point{Start: start, Counts: counts})
}
