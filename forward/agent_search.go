package forward

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
)

// searchKey identifies a search: the flow and the index of the balancer that searches for the target of the
// flow.
type searchKey struct {
	flow     flow.Key
	balancer int
}

// maxSearches bounds the pending searches of an agent. When it is reached, the agent discards all of them;
// callers retransmit their packets.
const maxSearches = 4096

// addSearch records the header of a search whose packet goes to the target, which has not responded yet.
func (a *Agent) addSearch(key searchKey, h *encap.Header) {
	if len(a.searches) >= maxSearches {
		clear(a.searches)
	}
	a.searches[key] = *h
}

// continueSearch forwards a packet whose flow the target does not own to the next agent on the path of the
// search. At the end of the path it informs the balancer.
func (a *Agent) continueSearch(out *agentOutboxes, sender int, h *encap.Header, packet []byte, now time.Duration) {
	platform.ClearReturned(packet)
	origin := a.balancers[sender].address
	next, more := h.Path.Next()
	if !more {
		reply := a.statusHeader(encap.KindReturn, now)
		reply.Reason, reply.Search, reply.Round = encap.ReasonRefused, true, h.Round
		// The balancer has kept the packet, so the header is enough.
		out.balancers.sendEncapsulated(origin, &reply, packet[:platform.HeaderBytes])
		return
	}
	h.Origin = origin.IP
	h.Attempt++
	out.balancers.sendEncapsulated(flow.Endpoint{IP: next, Port: a.config.Tunnel.Port()}, h, packet)
}

// sendFound notifies a balancer that the target owns a flow.
func (a *Agent) sendFound(out *agentOutboxes, to flow.Endpoint, key flow.Key, now time.Duration) {
	h := a.statusHeader(encap.KindFound, now)
	h.Service = a.serviceTag
	out.balancers.sendEncapsulatedCopy(to, &h, platform.AppendReset(nil, key.Reversed(), 0))
}
