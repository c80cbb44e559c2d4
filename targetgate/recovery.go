package targetgate

import "time"

const (
	// attemptTime is how long a caller tries to open a flow. After a loss of power, the SYNs of attempts that began
	// before the agent started arrive until then.
	attemptTime = 1400 * time.Millisecond
	// maxRecoveryTime bounds a recovery in which requests never stop waiting.
	maxRecoveryTime = 4 * time.Second
)

// recovery is the time after the start of an agent in which it does not shed. After a loss of power most new flows come
// from callers that asked before. At the SYN nothing tells them from others, but their requests show their age, so that
// accepting all of them and serving first what can be in time answers more requests in time than refusing by the SYN.
type recovery struct {
	active  bool
	startAt time.Duration // of the first offer; 0: none yet
}

// BeginRecovery makes the gate accept flows as without shedding until the requests that waited for its agent's start have
// been served. It is called when the agent starts.
func (g *Gate) BeginRecovery() { g.recovery = recovery{active: true} }

// updateRecovery ends the recovery when no request waits any more that may have been asked before the start.
func (g *Gate) updateRecovery(now time.Duration) {
	r := &g.recovery
	if !r.active {
		return
	}
	if r.startAt == 0 {
		r.startAt = now
	}
	age := now - r.startAt
	if (age >= attemptTime && g.Waiting() == 0) || age >= maxRecoveryTime {
		r.active = false
		g.updateShedding()
	}
}
