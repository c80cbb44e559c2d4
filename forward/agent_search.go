package forward

import (
	"bytes"
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
)

// searchKey identifies a search that passes this agent: the flow and the balancer that searches it.
type searchKey struct {
	flow     flow.Key
	balancer int
}

// passingSearch is a search whose packet was given to the target.
type passingSearch struct {
	header encap.Header
	packet []byte // kept where the target was not heard of lately
}

// maxSearches bounds the searches that an agent remembers. It forgets all of them beyond that; callers send their
// packets again.
const maxSearches = 4096

func (a *Agent) rememberSearch(key searchKey, h *encap.Header, packet []byte, now time.Duration) {
	if len(a.searches) >= maxSearches {
		clear(a.searches)
	}
	passing := passingSearch{header: *h}
	if a.gate.QuietFor(quietLimit, now) {
		passing.packet = bytes.Clone(packet)
	}
	a.searches[key] = passing
}

// searchOn passes a packet whose flow the target does not hold to the next agent of the search, or back to the balancer
// where there is none.
func (a *Agent) searchOn(out *agentBoxes, sender int, h *encap.Header, packet []byte, now time.Duration) {
	platform.ClearReturned(packet)
	origin := a.balancers[sender].address
	next, more := h.Path.Next()
	if !more {
		answer := a.header(encap.KindReturn, now)
		answer.Reason, answer.Search, answer.Round = encap.ReasonRefused, true, h.Round
		out.balancers.wrap(origin, &answer, packet[:platform.HeaderBytes]) // the balancer has the data
		return
	}
	h.Origin = origin.IP
	h.Attempt++
	out.balancers.wrap(flow.Endpoint{IP: next, Port: a.config.Tunnel.Port()}, h, packet)
}

// found tells a balancer that the target holds a flow.
func (a *Agent) found(out *agentBoxes, to flow.Endpoint, key flow.Key, now time.Duration) {
	h := a.header(encap.KindFound, now)
	out.balancers.wrapOwned(to, &h, platform.AppendReset(nil, key.Reversed(), 0))
}
