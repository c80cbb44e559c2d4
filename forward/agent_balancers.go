package forward

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// balancer is a sender of packets.
type balancer struct {
	address flow.Endpoint
	seen    time.Duration
}

// token marks packets on their way to the target, so that a returned one leads back to its balancer.
func (a *Agent) token(balancer int, attempt uint8) uint32 {
	return a.boot<<20 | uint32(balancer)<<8 | uint32(attempt)
}

// senderOf reads a token. It reports false for a token of another process.
func (a *Agent) senderOf(token uint32) (balancer int, attempt uint8, ok bool) {
	balancer = int(token >> 8 & (maxBalancers - 1))
	return balancer, uint8(token), token>>20 == a.boot && balancer < len(a.balancers)
}

// balancerAt returns the index of a balancer, a new one where it is not known.
func (a *Agent) balancerAt(address flow.Endpoint, now time.Duration) int {
	i, known := a.index[address]
	if !known {
		i = a.freeIndex(now)
		delete(a.index, a.balancers[i].address)
		a.index[address] = i
	}
	a.balancers[i] = balancer{address: address, seen: now}
	return i
}

// freeIndex returns an index for a new balancer. Where all are taken, the one that was silent for longest goes.
func (a *Agent) freeIndex(now time.Duration) int {
	if len(a.balancers) < maxBalancers {
		a.balancers = append(a.balancers, balancer{})
		return len(a.balancers) - 1
	}
	oldest := 0
	for i := range a.balancers {
		if a.balancers[i].seen < a.balancers[oldest].seen {
			oldest = i
		}
	}
	return oldest
}

// report tells the balancers that send to this agent of the work of its target.
func (a *Agent) report() {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	out := a.newOutboxes()
	for turn := 0; ; turn++ {
		select {
		case <-a.closed:
			return
		case <-ticker.C:
		}
		now := a.clock.now()
		a.mu.Lock()
		a.gate.Expire(now)
		a.probeIfSuspect(now)
		a.countLost()
		a.noteFailing(now)
		h := a.header(encap.KindReport, now)
		for _, address := range reportsDue(a.balancers, turn, now) {
			out.balancers.wrap(address, &h, nil)
		}
		a.mu.Unlock()
		out.flush()
	}
}

// answerProbe reports to a balancer that asks for it.
func (a *Agent) answerProbe(out *agentBoxes, from flow.Endpoint) {
	now := a.clock.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balancerAt(from, now)
	h := a.header(encap.KindReport, now)
	out.balancers.wrap(from, &h, nil)
}

// reportsDue returns the balancers that get a report in this turn: those that sent a packet lately, or where there are
// many, every second of them.
func reportsDue(balancers []balancer, turn int, now time.Duration) []flow.Endpoint {
	due := make([]flow.Endpoint, 0, len(balancers))
	for i := range balancers {
		if now-balancers[i].seen < balancerIdle {
			due = append(due, balancers[i].address)
		}
	}
	if len(due) <= reportsPerPeriod {
		return due
	}
	half := due[:0]
	for i := turn % 2; i < len(due); i += 2 {
		half = append(half, due[i])
	}
	return half
}
