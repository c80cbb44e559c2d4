package forward

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// balancerPeer is a balancer that has sent packets to this agent.
type balancerPeer struct {
	address  flow.Endpoint
	lastSeen time.Duration
}

// encodeToken returns the token that is written into packets to the target. If the target returns a packet,
// the token identifies the balancer that sent it.
func (a *Agent) encodeToken(balancer int, attempt uint8) uint32 {
	return a.incarnation<<20 | uint32(balancer)<<8 | uint32(attempt)
}

// decodeToken returns the balancer and the attempt that a token encodes. It reports false for a token of
// another process.
func (a *Agent) decodeToken(token uint32) (balancer int, attempt uint8, ok bool) {
	balancer = int(token >> 8 & (maxBalancers - 1))
	return balancer, uint8(token), token>>20 == a.incarnation && balancer < len(a.balancers)
}

// registerBalancer records that a balancer sent a packet and returns its index, which it allocates for a new
// balancer.
func (a *Agent) registerBalancer(address flow.Endpoint, now time.Duration) int {
	i, known := a.balancerIndex[address]
	if !known {
		i = a.allocateIndex(now)
		delete(a.balancerIndex, a.balancers[i].address)
		a.balancerIndex[address] = i
	}
	a.balancers[i] = balancerPeer{address: address, lastSeen: now}
	return i
}

// allocateIndex returns an index for a new balancer. If all are in use, it returns that of the least recently
// seen one.
func (a *Agent) allocateIndex(now time.Duration) int {
	if len(a.balancers) < maxBalancers {
		a.balancers = append(a.balancers, balancerPeer{})
		return len(a.balancers) - 1
	}
	oldest := 0
	for i := range a.balancers {
		if a.balancers[i].lastSeen < a.balancers[oldest].lastSeen {
			oldest = i
		}
	}
	return oldest
}

// sendReports sends periodic reports about the target to the balancers that send to this agent, until Close
// is called.
func (a *Agent) sendReports() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	out := a.newOutboxes()
	for round := 0; ; round++ {
		select {
		case <-a.closed:
			return
		case <-ticker.C:
		}
		now := a.clock.now()
		a.mu.Lock()
		a.gate.Expire(now)
		a.probeIfSuspect(now)
		a.countLostRequests()
		a.updateTargetFailing(now)
		a.updateOverload(now)
		a.logLimit(now)
		h := a.reportHeader(now)
		for _, address := range reportRecipients(a.balancers, round, now) {
			out.balancers.sendEncapsulated(address, &h, nil)
		}
		a.mu.Unlock()
		out.flush()
	}
}

// answerProbe sends a report to a balancer that requested one.
func (a *Agent) answerProbe(out *agentOutboxes, from flow.Endpoint) {
	now := a.clock.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registerBalancer(from, now)
	h := a.statusHeader(encap.KindReport, now)
	out.balancers.sendEncapsulated(from, &h, nil)
}

// reportRecipients returns the balancers that get a report in this round: those that sent a packet within
// balancerIdleTimeout or, if there are more than alternateReportsAbove, every second of them.
func reportRecipients(balancers []balancerPeer, round int, now time.Duration) []flow.Endpoint {
	due := make([]flow.Endpoint, 0, len(balancers))
	for i := range balancers {
		if now-balancers[i].lastSeen < balancerIdleTimeout {
			due = append(due, balancers[i].address)
		}
	}
	if len(due) <= alternateReportsAbove {
		return due
	}
	half := due[:0]
	for i := round % 2; i < len(due); i += 2 {
		half = append(half, due[i])
	}
	return half
}
