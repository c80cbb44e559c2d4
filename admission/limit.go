package admission

import "time"

// Parameters of the adaptive limit.
const (
	coldLimit = 1
	// growInterval is the shortest time between two steps up, so that the target shows the effect of one before the next.
	growInterval = 250 * time.Millisecond
	// firstInterval is that time until the target has borne all slots once. A target that warms up over 30 s gains about
	// one slot in it, and becomes faster too slowly for that to show above the noise at once.
	firstInterval = time.Second
	// stepTolerance is the rise of the service time by one more request that is usual far below the capacity. The rise by
	// the second request is 33% at a capacity of 2 and 2% at one of 9.
	stepTolerance = 1.15
	// holdPeriod is how long a larger rise keeps the limit where it is.
	holdPeriod = 5 * time.Second
	// growTolerance is the rise over the reference up to which the limit grows.
	growTolerance = 1.7
	// shrinkTolerance is the rise over the reference from which the limit shrinks step by step, when two windows in a row
	// show it.
	shrinkTolerance = 2.2
	highWindows     = 2
	// ceilingPeriod is how long the limit stays below the work in progress at which the target refused.
	ceilingPeriod = 10 * time.Second
	// freshPeriod is how long an answer says how the target is now. A target that restarted while idle shows it only in
	// its next answer.
	freshPeriod = time.Second
	// peerPeriod is how long a target that is slower than its peers counts as cold. After that it counts as a slow one, and
	// its own service times decide.
	peerPeriod = time.Minute
	// unknownLimit is how many requests at once a new target gets that can be compared with nothing: neither with warm
	// peers nor with itself before. Within unknownPeriod more follow only once it has become faster, since one that starts
	// cold and shows no change is not to be told from a warm one.
	unknownLimit  = 2
	unknownPeriod = 10 * time.Second
	// slowAnswers in a row after a pause mean a cold target.
	slowAnswers = 3
)

// Reasons why the limit is below the slots.
const (
	whyCold    = "cold start"
	whyJumped  = "service time jumped"
	whyRose    = "service time rose"
	whyRefused = "target refused"
	whySlow    = "slow after a pause"
	whyReset   = "connection to the target broke"
	whyTimeout = "target did not answer in time"
)

// limit is the adaptive concurrency limit. Its rules: grow by one while the service time stays near its reference, cut
// to one on evidence of a cold target.
type limit struct {
	slots     int
	current   int
	reason    string // why current is below slots
	times     serviceTimes
	answered  time.Time     // last answer that says how the target is now
	slow      int           // slow answers in a row to single requests after a pause
	changed   time.Time     // last change of current
	known     bool          // the reference comes from a target that bore all slots
	previous  time.Duration // median before the last step up
	high      int           // windows in a row that were far above the reference
	demanded  bool          // work had to wait since the last change
	peers     time.Duration // usual service time of warm targets of the same service, zero when unknown
	born      time.Time     // when the target became known
	cold      time.Time     // start of the cold start or of the last cut to one
	ceiling   int           // zero for none
	ceilingAt time.Time
}

func newLimit(slots int, now time.Time) limit {
	return limit{slots: slots, current: coldLimit, reason: whyCold, changed: now, born: now, cold: now, times: serviceTimes{sinceJump: jumpSamples}}
}

// serviceTime returns the recent median, or zero when unknown.
func (l *limit) serviceTime() time.Duration { return l.times.median }

// ownReference is the service time to which other targets of the service can be compared.
func (l *limit) ownReference() time.Duration {
	if !l.known {
		return 0
	}
	return l.times.reference
}

func (l *limit) explain() string {
	if l.current >= l.slots {
		return ""
	}
	return l.reason
}

func (l *limit) setSlots(slots int) {
	l.slots = slots
	l.current = min(l.current, slots)
}

// set changes the limit.
func (l *limit) set(current int, reason string, now time.Time) {
	l.current = current
	l.reason = reason
	l.changed = now
	l.previous = 0
	l.high = 0
	l.demanded = false
}

// turnCold cuts the limit at once.
func (l *limit) turnCold(reason string, now time.Time) {
	l.set(coldLimit, reason, now)
	l.cold = now
	l.times.restart(now)
}

// refused halves the limit and keeps it below what ran when the target refused. A request that started before the last
// cut says nothing about the limit since.
func (l *limit) refused(running int, started, now time.Time) {
	if !started.After(l.changed) {
		return
	}
	l.ceiling = max(coldLimit, running-1)
	l.ceilingAt = now
	l.set(max(coldLimit, min(l.current, running)/2), whyRefused, now)
}

// noteDemand records that work had to wait.
func (l *limit) noteDemand() { l.demanded = true }

// noteUse records the work in progress.
func (l *limit) noteUse(inProgress int) {
	if inProgress >= l.current {
		l.demanded = true
	}
}

// fresh reports whether the last answer is recent.
func (l *limit) fresh(now time.Time) bool { return now.Sub(l.answered) <= freshPeriod }

// noteAnswer takes an answer as a sign of how the target is now. After a pause a slow one does not count, since the
// target may have turned cold meanwhile.
func (l *limit) noteAnswer(service time.Duration, now time.Time) {
	reference := l.times.reference
	if l.fresh(now) || float64(service) <= growTolerance*float64(reference) || reference == 0 {
		l.answered = now
		l.slow = 0
		return
	}
	l.slow++
	if l.slow >= slowAnswers {
		l.slow = 0
		l.answered = now
		l.turnCold(whySlow, now)
	}
}

// noteAge takes the age of a request that has no answer yet as evidence.
func (l *limit) noteAge(age time.Duration, now time.Time) {
	if l.times.isJump(age) && l.current > coldLimit {
		l.turnCold(whyJumped, now)
	}
}

// observe takes one service time.
func (l *limit) observe(service time.Duration, now time.Time) {
	l.noteAnswer(service, now)
	jumped, full := l.times.add(service, now)
	switch {
	case jumped && l.current > coldLimit:
		l.turnCold(whyJumped, now)
		l.times.median = service
	case full:
		l.adjust(now)
	}
}

// adjust moves the limit by one step after a full window.
func (l *limit) adjust(now time.Time) {
	if l.current == l.slots && now.Sub(l.changed) >= settlePeriod {
		l.known = true
	}
	rise := l.times.rise()
	if rise < shrinkTolerance {
		l.high = 0
	} else {
		l.high++
	}
	switch {
	case l.high >= highWindows && l.current > coldLimit:
		l.set(l.current-1, whyRose, now)
	case rise <= growTolerance && l.mayGrow(now):
		l.set(l.current+1, l.reason, now)
		l.previous = l.times.median
	}
}

// most is the highest limit at this time: the slots, or less after the target refused.
func (l *limit) most(now time.Time) int {
	if l.ceiling > 0 && now.Sub(l.ceilingAt) < ceilingPeriod {
		return min(l.slots, l.ceiling)
	}
	return l.slots
}

// mayGrow reports whether one more request is safe to try.
func (l *limit) mayGrow(now time.Time) bool {
	if l.current >= l.most(now) || !(l.demanded || l.known) || now.Sub(l.changed) < growInterval {
		return false
	}
	return l.known || l.likePeers() || l.proven(now)
}

// likePeers reports whether the target is as fast as the warm ones of its service.
func (l *limit) likePeers() bool {
	return l.peers > 0 && float64(l.times.median) <= growTolerance*float64(l.peers)
}

// proven reports whether the target's own service times, without a comparison, allow one more request.
func (l *limit) proven(now time.Time) bool {
	if l.peers > 0 && now.Sub(l.cold) < peerPeriod {
		return false
	}
	if l.current >= unknownLimit && now.Sub(l.born) < unknownPeriod && !l.times.hasWarmed() {
		return false
	}
	return now.Sub(l.changed) >= firstInterval && l.times.settled(now) && !l.held(now)
}

// held reports whether the last step up made the target slower than a target far below its capacity becomes.
func (l *limit) held(now time.Time) bool {
	rose := l.previous > 0 && float64(l.times.median) > stepTolerance*float64(l.previous)
	return rose && now.Sub(l.changed) < holdPeriod
}
