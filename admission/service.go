package admission

import (
	"slices"
	"time"
)

// Parameters of the statistics of service times. Work that differs from request to request makes them noisy: for
// exponentially distributed work, the median of 32 samples deviates by a quarter.
const (
	// windowSamples is how many service times a decision rests on.
	windowSamples = 32
	// fewSamples are enough once windowPeriod has passed, so that a target with slow requests is judged in time too.
	fewSamples   = 8
	windowPeriod = 500 * time.Millisecond
	// slowPeriod closes a window whatever it holds.
	slowPeriod = 2 * time.Second
	// referenceWeight is the share by which a lower median moves the reference, at most once per referencePeriod. The
	// lowest median alone would be the luckiest one.
	referenceWeight = 0.25
	referencePeriod = 500 * time.Millisecond
	// referenceDrift raises the reference per second, so that a lasting change of the work is accepted in about a minute.
	// After a cut it waits for freezePeriod, in which a cold target becomes warm.
	referenceDrift = 0.02
	freezePeriod   = time.Minute
	// settlePeriod is how long the service time must have stopped falling. While it falls the target still warms up; a
	// target that takes 30 s for that shows a fall of 10% only over some seconds.
	settlePeriod = 3 * time.Second
	// fallTolerance is the share of the earlier service time below which the target still warms up.
	fallTolerance = 0.95
	// warmShare is the share of the service time of its first settlePeriod below which a target has become warm.
	warmShare = 0.5
	// jumpFactor is the rise of a service time over the highest usual one that a warm target does not show.
	jumpFactor = 2.5
	// suspectFactor is such a rise that makes the limiter wait for the next answer.
	suspectFactor = 2.0
	// peakDecay lowers the highest usual service time per sample, so that one slow request does not hide a later jump.
	peakDecay = 0.98
	// jumpSamples bounds how far two jumps may be apart to be one event. A single one is a slow request.
	jumpSamples = 8
)

// serviceTimes is what the answers of a target say about it.
type serviceTimes struct {
	window    []time.Duration
	opened    time.Time     // first sample of the window
	median    time.Duration // of the last full window, zero when unknown
	first     []reading     // medians of the first settle period of all
	reference time.Duration // what the median is when the target is well, drifting up
	drifted   time.Time
	frozen    time.Time // until then the reference does not drift up
	lowered   time.Time
	peak      time.Duration // highest usual service time, decaying
	sinceJump int           // samples since the last jump
	suspect   bool          // the last sample was far above the usual ones
	history   []reading     // medians of the settle period, the oldest first
}

// reading is a median at a time.
type reading struct {
	at     time.Time
	median time.Duration
}

// add takes one service time. It reports whether service times jumped, and whether a window became full.
func (s *serviceTimes) add(service time.Duration, now time.Time) (jumped, full bool) {
	s.suspect = s.peak > 0 && float64(service) > suspectFactor*float64(s.peak)
	jumped = s.addJump(service)
	s.peak = max(time.Duration(float64(s.peak)*peakDecay), service)
	if len(s.window) == 0 {
		s.opened = now
	}
	s.window = append(s.window, service)
	if !s.isFull(now) {
		return jumped, false
	}
	s.median = medianOf(s.window)
	s.window = s.window[:0]
	if len(s.first) == 0 || now.Sub(s.first[0].at) < settlePeriod {
		s.first = append(s.first, reading{at: now, median: s.median})
	}
	s.adaptReference(now)
	s.history = append(s.history, reading{at: now, median: s.median})
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= settlePeriod {
		s.history = s.history[1:]
	}
	return jumped, true
}

// addJump reports whether this is the second jump within a few samples.
func (s *serviceTimes) addJump(service time.Duration) bool {
	if !s.isJump(service) {
		s.sinceJump++
		return false
	}
	second := s.sinceJump < jumpSamples
	s.sinceJump = 0
	return second
}

// isJump reports whether a service time is far above the usual ones.
func (s *serviceTimes) isJump(service time.Duration) bool {
	return s.peak > 0 && float64(service) > jumpFactor*float64(s.peak)
}

func (s *serviceTimes) isFull(now time.Time) bool {
	n, open := len(s.window), now.Sub(s.opened)
	return n >= windowSamples || (n >= fewSamples && open >= windowPeriod) || open >= slowPeriod
}

// adaptReference raises the reference with time and follows the median down.
func (s *serviceTimes) adaptReference(now time.Time) {
	if s.reference == 0 {
		s.reference, s.drifted = s.median, now
		return
	}
	seconds := now.Sub(s.drifted).Seconds()
	s.drifted = now
	if now.Before(s.frozen) {
		seconds = 0
	}
	s.reference += time.Duration(float64(s.reference) * min(1, referenceDrift*seconds))
	if s.median < s.reference && now.Sub(s.lowered) >= referencePeriod {
		s.lowered = now
		s.reference -= time.Duration(float64(s.reference-s.median) * referenceWeight)
	}
}

// rise is the last median over the reference.
func (s *serviceTimes) rise() float64 {
	return float64(s.median) / float64(max(s.reference, 1))
}

// settled reports whether the service time has been observed for the settle period and no longer falls: the later half
// of the medians is not below the earlier half.
func (s *serviceTimes) settled(now time.Time) bool {
	if len(s.history) < 2 || now.Sub(s.history[0].at) < settlePeriod {
		return false
	}
	half := len(s.history) / 2
	return meanOf(s.history[half:]) >= fallTolerance*meanOf(s.history[:half])
}

// hasWarmed reports whether the target has become much faster since it was seen first. It compares means over the settle
// period, since a single median is too noisy.
func (s *serviceTimes) hasWarmed() bool {
	return len(s.first) > 0 && len(s.history) > 0 && meanOf(s.history) <= warmShare*meanOf(s.first)
}

// restart drops the observations of the time before a cut. The reference stays: it is what a warm target showed.
func (s *serviceTimes) restart(now time.Time) {
	s.frozen = now.Add(freezePeriod)
	s.window = s.window[:0]
	s.history = s.history[:0]
	s.suspect = false
}

func meanOf(readings []reading) float64 {
	var sum float64
	for _, r := range readings {
		sum += float64(r.median)
	}
	return sum / float64(len(readings))
}

func medianOf(samples []time.Duration) time.Duration {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
