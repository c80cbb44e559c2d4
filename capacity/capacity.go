// Package capacity learns how much work each target handles well. A Learner, at the agent of a target, learns how long
// the target takes to answer the requests of each route and how many requests in progress it handles well. Speeds, at a
// balancer, compares the targets of a service by what their agents report. The package does no network I/O, and its
// types are not safe for concurrent use. All times are monotonic.
package capacity

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/hash64"
)

// RouteTag returns the byte by which reports identify the route to an address of a service. Routes with the same tag
// are learned as one: their mix then affects the duration that is reported for both.
func RouteTag(service flow.Endpoint) uint8 {
	address := uint64(binary.BigEndian.Uint32(service.IP[:]))
	return uint8(hash64.Mix(address<<16 | uint64(service.Port)))
}

// Unknown is the report of an agent that has not learned anything yet, such as one that has restarted. It is not the
// zero value, which tells nothing, so that balancers discard what its predecessor reported.
var Unknown = encap.Capacity{RouteTag: 1}

// maxSampleGap is the time that at most elapses, for the weight of samples, between two of them. At fewer than 10
// requests a second, the weight thus depends on the number of samples only, and each of them changes an average
// slightly.
const maxSampleGap = 100 * time.Millisecond

// decayFactor returns the factor by which the weight of earlier samples decreases during the gap before a sample.
func decayFactor(gap, halfLife time.Duration) float64 {
	return math.Exp2(-float64(min(max(gap, 0), maxSampleGap)) / float64(halfLife))
}

// clippedMean is an exponentially weighted mean of durations. A sample counts as at most maxDeviation times the mean,
// so that a few very long requests do not make a target look slow. A mean of logarithms resists them better but takes
// twice as long to follow a target that becomes slower.
type clippedMean struct {
	sum    float64 // of the weighted samples, in seconds
	weight float64 // of all samples; 1 is a sample that has just arrived
	at     time.Duration
}

const (
	// maxDeviation limits a sample relative to the mean before it.
	maxDeviation = 4
	// minWeight is the weight of samples from which a mean is known: one very long request among the first then
	// raises it by less than two thirds.
	minWeight = 8
)

func (m *clippedMean) add(sample, halfLife, now time.Duration) {
	seconds := sample.Seconds()
	if m.weight > 0 {
		seconds = min(seconds, maxDeviation*m.seconds())
	}
	factor := decayFactor(now-m.at, halfLife)
	m.sum, m.weight, m.at = m.sum*factor+seconds, m.weight*factor+1, now
}

func (m *clippedMean) seconds() float64 { return m.sum / m.weight }

// shiftRun detects that a mean follows too slowly: that a number of requests in a row all took more than twice, or all
// less than half, of the mean at the start of the run. A target that is 5 times slower again takes its usual time, and
// without the run its mean would be 1.25 times that time only after 8 s.
type shiftRun struct {
	base   float64 // mean at the start of the run, in seconds
	sum    float64 // of its samples, in seconds
	length int     // negative: the samples are below
}

const (
	// runLength makes a shift by chance rare: requests whose durations are distributed exponentially are below half of
	// their mean 12 times in a row once in 70,000 requests.
	runLength = 12
	runFactor = 2
)

// add adds a sample, and reports whether the run is complete. The mean then consists of the samples of the run alone.
func (r *shiftRun) add(m *clippedMean, sample, now time.Duration) bool {
	if m.weight < minWeight {
		return false
	}
	seconds := sample.Seconds()
	if r.length == 0 {
		r.base = m.seconds()
	}
	direction := 0
	switch {
	case seconds > runFactor*r.base:
		direction = 1
	case seconds < r.base/runFactor:
		direction = -1
	}
	if direction*r.length <= 0 {
		*r = shiftRun{base: m.seconds()}
	}
	if direction == 0 {
		return false
	}
	r.length += direction
	r.sum += seconds
	if r.length != direction*runLength {
		return false
	}
	m.sum, m.weight, m.at = r.sum, runLength, now
	*r = shiftRun{}
	return true
}

// isReported reports whether enough samples were seen, the last of them lately.
func (m *clippedMean) isReported(now time.Duration) bool {
	return m.weight >= minWeight && now-m.at <= reportableFor
}

// code returns the duration code of the mean.
func (m *clippedMean) code() uint8 {
	return encap.DurationCode(time.Duration(m.seconds() * float64(time.Second)))
}
