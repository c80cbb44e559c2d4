package capacity

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
)

const (
	// durationHalfLife is the time in which the samples of a duration lose half of their weight at 10 requests a second
	// or more.
	durationHalfLife = 2 * time.Second
	// reportableFor is how long after its last sample the duration of a route is reported. Without requests no duration
	// is reported, so that balancers try the target again.
	reportableFor = 2 * time.Second
	// refreshInterval is the time between two reports with capacity while little changes. It keeps the bytes of reports,
	// of which there is one each 200 ms, from growing by more than a tenth.
	refreshInterval = 2500 * time.Millisecond
	// urgentChange is the change of a duration code, by a fifth, that is reported at once.
	urgentChange = 4
)

// routeTimes is what a learner knows about the requests of one route.
type routeTimes struct {
	mean     clippedMean
	run      shiftRun
	rates    rates
	reported uint8 // duration code that was last reported
}

// Learner learns the capacity of one target from the requests that its agent sees.
type Learner struct {
	routes     map[uint8]*routeTimes // by tag; at most one per value of the byte
	lastTag    uint8                 // of the route that the last report was about
	lastLimit  int                   // in the last report with capacity
	reportedAt time.Duration         // of the last report with capacity
	samples    int                   // up to minWeight
	limit      int                   // 0: unknown; noLimit: not below the slots
	inProgress int                   // requests in progress since changedAt
	changedAt  time.Duration         // when inProgress was last recorded
	progress   time.Duration         // integral of inProgress over time up to changedAt
	sinceProbe int                   // requests since the last one above the limit
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner { return &Learner{routes: make(map[uint8]*routeTimes)} }

// Progress records the number of requests in progress from now on, and returns the time that all requests have spent at
// the target so far. The difference of two results, divided by the time between them, is the mean number of requests
// that were in progress.
func (l *Learner) Progress(inProgress int, now time.Duration) time.Duration {
	l.progress += time.Duration(l.inProgress) * max(0, now-l.changedAt)
	l.inProgress, l.changedAt = inProgress, now
	return l.progress
}

// Request is a request that the target has answered.
type Request struct {
	RouteTag   uint8
	Duration   time.Duration // from the time it was sent to the target to the first byte of the response
	InProgress float64       // mean number of requests in progress during it, itself included
	Slots      int           // of the target
}

// Record learns from an answered request. Requests that failed, and those at a cold target, must not be passed to it.
// It ignores a request during which more requests were in progress than the target has slots.
func (l *Learner) Record(r *Request, now time.Duration) {
	if r.Duration <= 0 || r.InProgress > float64(r.Slots)+slotTolerance {
		return
	}
	route := l.routes[r.RouteTag]
	if route == nil {
		route = &routeTimes{}
		l.routes[r.RouteTag] = route
	}
	shifted := route.run.add(&route.mean, r.Duration, now)
	if !shifted {
		route.mean.add(r.Duration, durationHalfLife, now)
	}
	route.rates.record(r.Duration, r.InProgress, &route.mean, shifted, now)
	if l.samples < minSamples {
		l.samples++
		return
	}
	if l.limit == 0 {
		l.limit = noLimit
	}
	l.updateLimit(r.Slots)
}

// minSamples is the number of requests from which the limit is known.
const minSamples = 10

// slotTolerance covers the rounding of the mean number of requests in progress.
const slotTolerance = 0.01

// Limit returns the number of requests in progress up to which one more raises the throughput of the target, at most
// its slots. It returns 0 until enough samples were seen.
func (l *Learner) Limit(slots int) int {
	return min(slots, l.limit)
}

// probeInterval is the number of requests of which one may exceed the limit, to detect that the target handles more.
const probeInterval = 20

// Allowed returns the number of requests that may be in progress now.
func (l *Learner) Allowed(slots int) int {
	limit := l.Limit(slots)
	switch {
	case limit == 0:
		return slots
	case l.sinceProbe >= probeInterval:
		return min(slots, limit+1)
	default:
		return limit
	}
}

// RecordStart records that a request was sent to the target, and that inProgress requests are in progress with it.
func (l *Learner) RecordStart(inProgress, slots int) {
	l.sinceProbe++
	if limit := l.Limit(slots); limit > 0 && inProgress > limit {
		l.sinceProbe = 0
	}
}

// Report returns the fields of the next report, or zero if nothing has to be reported yet. Successive reports are about
// the routes in turn, in the order of their tags, as far as these had requests lately. A route whose duration changed
// much comes first.
func (l *Learner) Report(slots int, now time.Duration) encap.Capacity {
	limit := l.Limit(slots)
	tag, urgent := l.nextRoute(now)
	if !urgent && limit == l.lastLimit && l.reportedAt != 0 && now-l.reportedAt < refreshInterval {
		return encap.Capacity{}
	}
	l.reportedAt, l.lastLimit = now, limit
	if limit == 0 {
		return Unknown
	}
	c := encap.Capacity{Limit: encap.Clamp8(limit)}
	if route := l.routes[tag]; route != nil && route.mean.isReported(now) {
		route.reported = route.mean.code()
		l.lastTag, c.RouteTag, c.DurationCode = tag, tag, route.reported
	}
	return c
}

// nextRoute returns the tag of the route to report next, and whether its duration changed so much that it is reported at
// once. If no route had requests lately, it returns that of the last one.
func (l *Learner) nextRoute(now time.Duration) (tag uint8, urgent bool) {
	tag = l.lastTag
	largest := 0
	for offset := 256; offset >= 1; offset-- {
		next := l.lastTag + uint8(offset)
		route := l.routes[next]
		if route == nil || !route.mean.isReported(now) {
			continue
		}
		change := abs(int(route.mean.code()) - int(route.reported))
		if change < urgentChange {
			change = 0
		}
		if change >= largest {
			tag, largest = next, change
		}
	}
	return tag, largest > 0
}

func abs(n int) int { return max(n, -n) }

// Duration returns the longest of the known mean durations of the routes that had requests lately, or 0.
func (l *Learner) Duration(now time.Duration) time.Duration {
	longest := uint8(0)
	for _, route := range l.routes {
		if route.mean.isReported(now) {
			longest = max(longest, route.mean.code())
		}
	}
	return encap.Duration(longest)
}
