package admission

import (
	"slices"
	"time"
)

// Parameters of the service time statistics. Service times that vary from request to request make them noisy:
// if they are exponentially distributed, the median of 32 samples deviates by a quarter.
const (
	// windowSamples is the number of service times in a full window.
	windowSamples = 32
	// minWindowSamples is enough once windowPeriod has passed, so that the limit also reacts in time if
	// requests are slow.
	minWindowSamples = 8
	windowPeriod     = 500 * time.Millisecond
	// maxWindowPeriod closes a window whatever its number of samples.
	maxWindowPeriod = 2 * time.Second
	// referenceWeight is the share of the difference by which a lower median lowers the reference, at most once
	// per referencePeriod. The lowest median alone would be an outlier.
	referenceWeight = 0.25
	referencePeriod = 500 * time.Millisecond
	// referenceDrift is the share by which the reference rises per second, so that it follows a lasting change
	// of the workload within about a minute. The drift stops for freezePeriod after the target was marked as
	// cold, while the target warms up.
	referenceDrift = 0.02
	freezePeriod   = time.Minute
	// settlePeriod is the time over which the service time must no longer fall. While it falls, the target is
	// still warming up; if that takes 30 s, a fall of 10% shows only over several seconds.
	settlePeriod = 3 * time.Second
	// fallTolerance is the ratio of later to earlier service times below which the target is still warming up.
	fallTolerance = 0.95
	// warmShare is the ratio to the service time in the first settlePeriod at or below which a target has
	// become warm.
	warmShare = 0.5
	// jumpFactor is the ratio of a service time to the recent peak that a warm target does not exceed.
	jumpFactor = 2.5
	// suspectFactor is the ratio to the recent peak above which the limiter runs one request at a time until a
	// response below it arrives.
	suspectFactor = 2.0
	// peakDecay is the factor by which the peak decays per sample, so that one slow request does not mask a
	// later jump.
	peakDecay = 0.98
	// jumpSamples is the number of samples within which a second jump must follow the first to be evidence of a
	// cold target. A single jump may be a slow request.
	jumpSamples = 8
)

// serviceTimes holds statistics of the service times of a target.
type serviceTimes struct {
	window           []time.Duration
	windowStart      time.Time     // time of the first sample in window
	median           time.Duration // of the last full window, zero if unknown
	initial          []timedMedian // medians of the first settlePeriod
	reference        time.Duration // baseline median of the warm target, drifts up
	driftedAt        time.Time
	frozenUntil      time.Time // the reference does not drift up until then
	loweredAt        time.Time
	peak             time.Duration // highest recent service time, decays
	samplesSinceJump int
	suspect          bool          // the last sample exceeded suspectFactor times peak
	history          []timedMedian // medians of the last settlePeriod, oldest first
}

// timedMedian is the median of a window and the time at which the window closed.
type timedMedian struct {
	at     time.Time
	median time.Duration
}

// add adds one service time. It reports whether service times jumped, and whether the sample completed a window.
func (s *serviceTimes) add(serviceTime time.Duration, now time.Time) (jumped, full bool) {
	s.suspect = s.peak > 0 && float64(serviceTime) > suspectFactor*float64(s.peak)
	jumped = s.noteJump(serviceTime)
	s.peak = max(time.Duration(float64(s.peak)*peakDecay), serviceTime)
	if len(s.window) == 0 {
		s.windowStart = now
	}
	s.window = append(s.window, serviceTime)
	if !s.windowFull(now) {
		return jumped, false
	}
	s.median = medianOf(s.window)
	s.window = s.window[:0]
	if len(s.initial) == 0 || now.Sub(s.initial[0].at) < settlePeriod {
		s.initial = append(s.initial, timedMedian{at: now, median: s.median})
	}
	s.updateReference(now)
	s.history = append(s.history, timedMedian{at: now, median: s.median})
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= settlePeriod {
		s.history = s.history[1:]
	}
	return jumped, true
}

// noteJump records whether the service time is a jump, and reports whether it is the second one within
// jumpSamples.
func (s *serviceTimes) noteJump(serviceTime time.Duration) bool {
	if !s.isJump(serviceTime) {
		s.samplesSinceJump++
		return false
	}
	second := s.samplesSinceJump < jumpSamples
	s.samplesSinceJump = 0
	return second
}

// isJump reports whether a service time exceeds jumpFactor times the recent peak.
func (s *serviceTimes) isJump(serviceTime time.Duration) bool {
	return s.peak > 0 && float64(serviceTime) > jumpFactor*float64(s.peak)
}

func (s *serviceTimes) windowFull(now time.Time) bool {
	n, open := len(s.window), now.Sub(s.windowStart)
	return n >= windowSamples || (n >= minWindowSamples && open >= windowPeriod) || open >= maxWindowPeriod
}

// updateReference lets the reference drift up with time and moves it towards a lower median.
func (s *serviceTimes) updateReference(now time.Time) {
	if s.reference == 0 {
		s.reference, s.driftedAt = s.median, now
		return
	}
	seconds := now.Sub(s.driftedAt).Seconds()
	s.driftedAt = now
	if now.Before(s.frozenUntil) {
		seconds = 0
	}
	s.reference += time.Duration(float64(s.reference) * min(1, referenceDrift*seconds))
	if s.median < s.reference && now.Sub(s.loweredAt) >= referencePeriod {
		s.loweredAt = now
		s.reference -= time.Duration(float64(s.reference-s.median) * referenceWeight)
	}
}

// rise returns the ratio of the last median to the reference.
func (s *serviceTimes) rise() float64 {
	return float64(s.median) / float64(max(s.reference, 1))
}

// isSettled reports whether service times have been observed for settlePeriod and no longer fall, that is whether
// the mean of the later half of the medians is at least fallTolerance times that of the earlier half.
func (s *serviceTimes) isSettled(now time.Time) bool {
	if len(s.history) < 2 || now.Sub(s.history[0].at) < settlePeriod {
		return false
	}
	half := len(s.history) / 2
	return meanOf(s.history[half:]) >= fallTolerance*meanOf(s.history[:half])
}

// hasWarmed reports whether the target has become much faster since its first requests. It compares means over
// settlePeriod, since a single median is too noisy.
func (s *serviceTimes) hasWarmed() bool {
	return len(s.initial) > 0 && len(s.history) > 0 && meanOf(s.history) <= warmShare*meanOf(s.initial)
}

// restart drops the samples from before the target was marked as cold. It keeps the reference, which is the
// baseline of the warm target.
func (s *serviceTimes) restart(now time.Time) {
	s.frozenUntil = now.Add(freezePeriod)
	s.window = s.window[:0]
	s.history = s.history[:0]
	s.suspect = false
}

func meanOf(medians []timedMedian) float64 {
	var sum float64
	for _, m := range medians {
		sum += float64(m.median)
	}
	return sum / float64(len(medians))
}

func medianOf(samples []time.Duration) time.Duration {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
