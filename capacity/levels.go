package capacity

import (
	"math"
	"time"
)

const (
	// maxLevels bounds the limits that are learned. A target that handles as many requests well is limited by its slots
	// alone.
	maxLevels = 16
	// levelHalfLife is the time in which the samples of a level lose half of their weight at 10 requests a second or
	// more. It is long enough for one request in 20 to tell about the level above the limit.
	levelHalfLife = 6 * time.Second
	// lowerBelow and raiseAbove are the increases of the throughput by one more request, relative to the mean
	// throughput of the others, below which the limit is lowered to exclude it and above which it is raised again. The
	// distance keeps the limit from alternating.
	lowerBelow = 0.1
	raiseAbove = 0.2
	// maxGainError is the standard error from which an increase counts as unknown. A request that does not disturb the
	// others increases the throughput by 1, which is several times the error away from lowerBelow.
	maxGainError = 0.25
	// shiftFactor is the ratio between the recent and the earlier mean duration from which the earlier samples are
	// discarded: a target that becomes slower has more requests in progress at the same time, which would look as if
	// the additional requests made it slow.
	shiftFactor = 1.5
)

// rates estimates how the rate of the requests of a route, which is the inverse of their duration, depends on the
// number of requests in progress. The rate of a request is linear in the share of its time that it spent at the higher
// of two adjacent numbers, so that a regression for each pair of numbers yields the rates at both.
type rates struct {
	pairs   []regression // by the lower number of requests in progress, from 1
	earlier clippedMean  // duration of a request
	at      time.Duration
}

// record adds a request of the duration during which on average inProgress requests were in progress. recent is the
// recent mean duration, and shifted reports whether it has just changed abruptly.
func (r *rates) record(duration time.Duration, inProgress float64, recent *clippedMean, shifted bool, now time.Duration) {
	if shifted || r.isShifted(recent) {
		r.pairs, r.earlier = r.pairs[:0], *recent
	}
	r.earlier.add(duration, levelHalfLife, now)
	factor := decayFactor(now-r.at, levelHalfLife)
	r.at = now
	for i := range r.pairs {
		r.pairs[i].decay(factor)
	}
	inProgress = min(max(inProgress, 1), maxLevels)
	lower := min(int(inProgress), maxLevels-1)
	for len(r.pairs) < lower {
		r.pairs = append(r.pairs, regression{})
	}
	// A few very short requests must not outweigh the others.
	seconds := max(duration.Seconds(), r.earlier.seconds()/maxDeviation)
	r.pairs[lower-1].add(inProgress-float64(lower), 1/seconds)
}

// isShifted reports whether the recent mean differs much from the earlier one.
func (r *rates) isShifted(recent *clippedMean) bool {
	if recent.weight < minWeight || r.earlier.weight < minWeight {
		return false
	}
	ratio := recent.seconds() / r.earlier.seconds()
	return ratio > shiftFactor || ratio < 1/shiftFactor
}

// regression holds the weighted sums of a linear regression of y on x.
type regression struct{ weight, x, xx, y, xy, yy float64 }

func (r *regression) decay(factor float64) {
	r.weight *= factor
	r.x *= factor
	r.xx *= factor
	r.y *= factor
	r.xy *= factor
	r.yy *= factor
}

func (r *regression) add(x, y float64) {
	r.weight++
	r.x += x
	r.xx += x * x
	r.y += y
	r.xy += x * y
	r.yy += y * y
}

// minSpread is the sum of squared deviations of x from which the slope is estimated.
const minSpread = 0.2

// relativeSlope returns the slope relative to y at x = 0, and its standard error. It reports false if too little is
// known.
func (r *regression) relativeSlope() (slope, deviation float64, ok bool) {
	if r.weight < minWeight {
		return 0, 0, false
	}
	spread := r.xx - r.x*r.x/r.weight
	if spread < minSpread {
		return 0, 0, false
	}
	covariance := r.xy - r.x*r.y/r.weight
	slope = covariance / spread
	atZero := (r.y - slope*r.x) / r.weight
	if atZero <= 0 {
		return 0, 0, false
	}
	residual := max(0, r.yy-r.y*r.y/r.weight-slope*covariance)
	variance := residual / (r.weight - 2) / spread
	return slope / atZero, math.Sqrt(variance) / atZero, true
}

// minSlopeError bounds the standard error that a regression claims: few samples may lie on a line by chance.
const minSlopeError = 0.02

// gain returns the increase of the throughput by the nth request in progress, relative to the mean throughput of the
// others, as the mean over the routes weighted by their precision. It reports false if too little is known.
func (l *Learner) gain(n int) (float64, bool) {
	sum, precision := 0.0, 0.0
	for _, route := range l.routes {
		if len(route.rates.pairs) < n-1 {
			continue
		}
		slope, deviation, ok := route.rates.pairs[n-2].relativeSlope()
		if !ok {
			continue
		}
		deviation = max(deviation, minSlopeError)
		sum += slope / (deviation * deviation)
		precision += 1 / (deviation * deviation)
	}
	if precision == 0 || float64(n)/math.Sqrt(precision) > maxGainError {
		return 0, false
	}
	return float64(n)*(1+sum/precision) - float64(n-1), true
}

// noLimit is the limit of a target that handles as many requests well as it has slots.
const noLimit = math.MaxInt

// updateLimit lowers or raises the limit of a target with the number of slots.
func (l *Learner) updateLimit(slots int) {
	highest := min(slots, maxLevels)
	for n := 2; n <= min(highest, l.limit); n++ {
		if gain, ok := l.gain(n); ok && gain < lowerBelow {
			l.limit = n - 1
			return
		}
	}
	if l.limit < highest {
		if gain, ok := l.gain(l.limit + 1); ok && gain > raiseAbove {
			l.limit++
		}
	}
	if l.limit >= highest {
		l.limit = noLimit
	}
}
