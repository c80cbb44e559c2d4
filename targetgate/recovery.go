package targetgate

import "time"

const (
	// attemptTime is how long a caller tries to open a flow. After an outage, the SYNs of attempts that began in it
	// arrive until then.
	attemptTime = 1400 * time.Millisecond
	// maxRecoveryTime bounds a recovery in which requests never stop waiting.
	maxRecoveryTime = 4 * time.Second
	// outagePause is the time without an offer after which the next ones may come from callers that could reach no
	// balancer. It is shorter than any restart of all balancers that routers notice.
	outagePause = 500 * time.Millisecond
)

// recovery is the time after an outage in which the gate does not shed: after the start of the agent, and when offers
// resume after a pause. Then most new flows come from callers that asked before. At the SYN nothing tells them from
// others, but their requests show their age, so that accepting all of them and serving first what can be in time answers
// more requests in time than refusing flows.
type recovery struct {
	active      bool
	startAt     time.Duration // of the first offer after the outage
	lastOfferAt time.Duration // 0: there was none
}

// BeginRecovery makes the gate accept flows as without shedding until the requests that waited for the start of its
// agent have been served. It is called when the agent starts.
func (g *Gate) BeginRecovery() {
	g.recovery = recovery{active: true}
	g.updateShedding()
}

// updateRecovery records an offer. It begins a recovery if there was none for a while, and ends one when no request waits
// any more that may have been asked in the outage.
func (g *Gate) updateRecovery(now time.Duration) {
	r := &g.recovery
	pause := r.lastOfferAt != 0 && now-r.lastOfferAt > outagePause
	if pause || (r.active && r.lastOfferAt == 0) {
		r.active, r.startAt = true, now
	}
	r.lastOfferAt = now
	age := now - r.startAt
	if r.active && ((age >= attemptTime && g.Waiting() == 0) || age >= maxRecoveryTime) {
		r.active = false
	}
	g.updateShedding()
}
