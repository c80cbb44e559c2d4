package admission

import "time"

// Parameters of the adaptive limit.
const (
	coldLimit = 1
	// growInterval is the shortest time between two increases, so that the effect of one is visible before the
	// next.
	growInterval = 250 * time.Millisecond
	// firstGrowInterval replaces growInterval until the target has run at its full number of slots once. A
	// target that warms up over 30 s gains about one slot in this time, and its service time falls too slowly
	// to be told from noise any sooner.
	firstGrowInterval = time.Second
	// stepTolerance is the ratio up to which one more request usually raises the service time far below
	// capacity. A second request raises it by 33% at a capacity of 2, and by 2% at a capacity of 9.
	stepTolerance = 1.15
	// holdPeriod is how long the limit does not grow after an increase that raised the service time above
	// stepTolerance.
	holdPeriod = 5 * time.Second
	// growTolerance is the highest ratio of service time to reference at which the limit grows.
	growTolerance = 1.7
	// shrinkTolerance is the ratio of service time to reference from which the limit shrinks by one, if
	// requiredHighWindows consecutive windows reach it.
	shrinkTolerance     = 2.2
	requiredHighWindows = 2
	// ceilingPeriod is how long the limit stays below the concurrency at which the target refused a request.
	ceilingPeriod = 10 * time.Second
	// freshPeriod is how long a response reflects the current state of the target. A restart of an idle target
	// becomes visible only with its next response.
	freshPeriod = time.Second
	// peerComparisonPeriod is how long a target that is slower than its peers counts as cold. After that it
	// counts as slow rather than cold, and its limit depends on its own service times only.
	peerComparisonPeriod = time.Minute
	// newTargetLimit is the limit of a new target without a basis for comparison, that is without warm peers
	// and without earlier service times of its own. Within newTargetPeriod the limit exceeds it only after the
	// service time has fallen, since a cold target with a constant service time cannot be told from a warm one.
	newTargetLimit  = 2
	newTargetPeriod = 10 * time.Second
	// requiredSlowResponses is how many consecutive slow responses after an idle period mark the target as cold.
	requiredSlowResponses = 3
)

// Reasons why the limit is below the configured slots.
const (
	limitReasonColdStart      = "cold start"
	limitReasonJump           = "service time jumped"
	limitReasonRise           = "service time rose"
	limitReasonRefused        = "target refused"
	limitReasonSlowAfterPause = "slow after a pause"
	limitReasonReset          = "connection to the target broke"
	limitReasonTimeout        = "target did not answer in time"
)

// limit is the adaptive concurrency limit. It grows by one while the service time stays near its reference, and
// drops to coldLimit on evidence that the target is cold.
type limit struct {
	slots            int
	current          int
	reason           string // why current is below slots
	serviceTimes     serviceTimes
	lastResponse     time.Time     // last response that reflects the current state of the target
	slowResponses    int           // consecutive slow responses to single requests after an idle period
	changedAt        time.Time     // last change of current
	referenceKnown   bool          // the reference was observed while the target ran at all slots
	medianBeforeStep time.Duration // median before the last increase, zero if current was not increased last
	highWindows      int           // consecutive windows at or above shrinkTolerance
	hadDemand        bool          // requests had to wait, or used the whole limit, since the last change
	peerServiceTime  time.Duration // service time of warm targets of the same service, zero if unknown
	createdAt        time.Time
	coldSince        time.Time // start of the cold start, or last drop to coldLimit
	ceiling          int       // temporary maximum after a refusal, zero for none
	ceilingAt        time.Time
}

func newLimit(slots int, now time.Time) limit {
	return limit{slots: slots, current: coldLimit, reason: limitReasonColdStart, changedAt: now, createdAt: now, coldSince: now, serviceTimes: serviceTimes{samplesSinceJump: jumpSamples}}
}

// serviceTime returns the median of the last window, or zero if unknown.
func (l *limit) serviceTime() time.Duration { return l.serviceTimes.median }

// reference returns the baseline service time for comparison with other targets of the service, or zero if
// unknown.
func (l *limit) reference() time.Duration {
	if !l.referenceKnown {
		return 0
	}
	return l.serviceTimes.reference
}

func (l *limit) limitReason() string {
	if l.current >= l.slots {
		return ""
	}
	return l.reason
}

func (l *limit) setSlots(slots int) {
	l.slots = slots
	l.current = min(l.current, slots)
}

// set changes the limit and resets the state that counts from the last change.
func (l *limit) set(current int, reason string, now time.Time) {
	l.current = current
	l.reason = reason
	l.changedAt = now
	l.medianBeforeStep = 0
	l.highWindows = 0
	l.hadDemand = false
}

// markCold drops the limit to coldLimit at once.
func (l *limit) markCold(reason string, now time.Time) {
	l.set(coldLimit, reason, now)
	l.coldSince = now
	l.serviceTimes.restart(now)
}

// noteRefusal halves the limit and keeps it below the concurrency at which the target refused the request. It
// ignores a request that started before the last change of the limit, which is no evidence about the current
// limit.
func (l *limit) noteRefusal(running int, started, now time.Time) {
	if !started.After(l.changedAt) {
		return
	}
	l.ceiling = max(coldLimit, running-1)
	l.ceilingAt = now
	l.set(max(coldLimit, min(l.current, running)/2), limitReasonRefused, now)
}

// noteDemand records that a request had to wait.
func (l *limit) noteDemand() { l.hadDemand = true }

// noteUse records demand if the requests in progress use the whole limit.
func (l *limit) noteUse(inProgress int) {
	if inProgress >= l.current {
		l.hadDemand = true
	}
}

// fresh reports whether lastResponse is within freshPeriod.
func (l *limit) fresh(now time.Time) bool { return now.Sub(l.lastResponse) <= freshPeriod }

// noteResponse updates lastResponse. A slow response after an idle period does not count, since the target may
// have become cold in the meantime.
func (l *limit) noteResponse(serviceTime time.Duration, now time.Time) {
	reference := l.serviceTimes.reference
	if l.fresh(now) || float64(serviceTime) <= growTolerance*float64(reference) || reference == 0 {
		l.lastResponse = now
		l.slowResponses = 0
		return
	}
	l.slowResponses++
	if l.slowResponses >= requiredSlowResponses {
		l.slowResponses = 0
		l.lastResponse = now
		l.markCold(limitReasonSlowAfterPause, now)
	}
}

// noteRequestAge marks the target as cold if a request has been without a response for so long that it counts
// as a jump of the service time.
func (l *limit) noteRequestAge(age time.Duration, now time.Time) {
	if l.serviceTimes.isJump(age) && l.current > coldLimit {
		l.markCold(limitReasonJump, now)
	}
}

// observe adds one service time and adjusts the limit.
func (l *limit) observe(serviceTime time.Duration, now time.Time) {
	l.noteResponse(serviceTime, now)
	jumped, full := l.serviceTimes.add(serviceTime, now)
	switch {
	case jumped && l.current > coldLimit:
		l.markCold(limitReasonJump, now)
		l.serviceTimes.median = serviceTime
	case full:
		l.adjust(now)
	}
}

// adjust changes the limit by at most one after a full window.
func (l *limit) adjust(now time.Time) {
	if l.current == l.slots && now.Sub(l.changedAt) >= settlePeriod {
		l.referenceKnown = true
	}
	rise := l.serviceTimes.rise()
	if rise < shrinkTolerance {
		l.highWindows = 0
	} else {
		l.highWindows++
	}
	switch {
	case l.highWindows >= requiredHighWindows && l.current > coldLimit:
		l.set(l.current-1, limitReasonRise, now)
	case rise <= growTolerance && l.mayGrow(now):
		l.set(l.current+1, l.reason, now)
		l.medianBeforeStep = l.serviceTimes.median
	}
}

// maximum returns the highest limit allowed now: the configured slots, or less for ceilingPeriod after a refusal.
func (l *limit) maximum(now time.Time) int {
	if l.ceiling > 0 && now.Sub(l.ceilingAt) < ceilingPeriod {
		return min(l.slots, l.ceiling)
	}
	return l.slots
}

// mayGrow reports whether the limit may grow by one.
func (l *limit) mayGrow(now time.Time) bool {
	if l.current >= l.maximum(now) || !(l.hadDemand || l.referenceKnown) || now.Sub(l.changedAt) < growInterval {
		return false
	}
	return l.referenceKnown || l.matchesPeers() || l.mayGrowUncompared(now)
}

// matchesPeers reports whether the target is about as fast as the warm targets of its service.
func (l *limit) matchesPeers() bool {
	return l.peerServiceTime > 0 && float64(l.serviceTimes.median) <= growTolerance*float64(l.peerServiceTime)
}

// mayGrowUncompared reports whether the target's own service times allow the limit to grow by one, without a
// comparison with its peers or with a known reference.
func (l *limit) mayGrowUncompared(now time.Time) bool {
	if l.peerServiceTime > 0 && now.Sub(l.coldSince) < peerComparisonPeriod {
		return false
	}
	if l.current >= newTargetLimit && now.Sub(l.createdAt) < newTargetPeriod && !l.serviceTimes.hasWarmed() {
		return false
	}
	return now.Sub(l.changedAt) >= firstGrowInterval && l.serviceTimes.isSettled(now) && !l.growthHeld(now)
}

// growthHeld reports whether the last increase raised the service time above stepTolerance less than holdPeriod
// ago.
func (l *limit) growthHeld(now time.Time) bool {
	rose := l.medianBeforeStep > 0 && float64(l.serviceTimes.median) > stepTolerance*float64(l.medianBeforeStep)
	return rose && now.Sub(l.changedAt) < holdPeriod
}
