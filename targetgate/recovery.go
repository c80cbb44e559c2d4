package targetgate

import "time"

const (
	// attemptTime is how long a caller tries to open a flow. After an outage, the SYNs of attempts that began in it
	// arrive until then.
	attemptTime = 1400 * time.Millisecond
	// maxRecoveryTime bounds a recovery in which requests never stop waiting.
	maxRecoveryTime = 4 * time.Second
	// outagePause is the time without a packet from any balancer after which the next flows may come from callers that
	// could reach none. It is shorter than any restart of all balancers that routers notice.
	outagePause = 500 * time.Millisecond
	// maxOfferGap is the mean time between offers up to which such a pause shows an outage. Targets that get fewer
	// flows see pauses by chance.
	maxOfferGap = 50 * time.Millisecond
	// offerGapWeight is the weight of a gap in its moving average.
	offerGapWeight = 0.1
)

// recovery is the time after an outage in which the gate does not shed: after the start of the agent, and when packets
// arrive again after a pause. Then most new flows come from callers that asked before. At the SYN nothing tells them from
// others, but their requests show their age, so that accepting all of them and serving first what can be in time answers
// more requests in time than refusing flows.
type recovery struct {
	active       bool
	startAt      time.Duration // of the first offer after the outage
	lastOfferAt  time.Duration // 0: there was none
	lastPacketAt time.Duration // when the last packet of a caller arrived
	meanGap      time.Duration // moving average of the time between offers
}

// BeginRecovery makes the gate accept flows as without shedding until the requests that waited for the start of its
// agent have been served. It is called when the agent starts.
func (g *Gate) BeginRecovery() {
	g.recovery = recovery{active: true, meanGap: outagePause}
	g.updateShedding()
}

// updateRecovery records an offer. It begins a recovery after an outage, and ends one when no request waits any more that
// may have been asked in the outage.
func (g *Gate) updateRecovery(now time.Duration) {
	r := &g.recovery
	first := r.active && r.lastOfferAt == 0
	if first || r.endsOutage(g.Waiting(), now) {
		r.active, r.startAt = true, now
	} else {
		gap := min(now-r.lastOfferAt, outagePause)
		r.meanGap += time.Duration(offerGapWeight * float64(gap-r.meanGap))
	}
	r.lastOfferAt, r.lastPacketAt = now, now
	age := now - r.startAt
	if r.active && ((age >= attemptTime && g.Waiting() == 0) || age >= maxRecoveryTime) {
		r.active = false
	}
	g.updateShedding()
}

// endsOutage reports whether an offer arrives after an outage of all balancers.
func (r *recovery) endsOutage(waiting int, now time.Duration) bool {
	return r.lastPacketAt != 0 && now-r.lastPacketAt > outagePause && r.meanGap <= maxOfferGap && waiting == 0
}
