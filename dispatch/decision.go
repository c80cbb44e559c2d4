package dispatch

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
)

// Outcome is what the balancer does with a packet.
type Outcome uint8

// Outcomes of a packet.
const (
	OutcomeDrop Outcome = iota
	OutcomeForward
	OutcomeReset
	OutcomeSearch // sent along several paths to find the target of its flow
	OutcomeHold   // held, and decided about again after the search or the confirmation of the view
)

// String returns the outcome as written to logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeForward:
		return "forward"
	case OutcomeReset:
		return "reset"
	case OutcomeSearch:
		return "search"
	case OutcomeHold:
		return "hold"
	default:
		return "drop"
	}
}

// Cause is the reason for the outcome of a packet.
type Cause string

// Causes.
const (
	CausePlaced          Cause = "placed"          // new flow that is offered to a target
	CauseRepeated        Cause = "repeated"        // retransmitted SYN that was not accepted before
	CauseNextTarget      Cause = "next_target"     // new flow that the previous target refused
	CauseWait            Cause = "wait"            // new flow that may wait at the target, because all are busy
	CauseOpen            Cause = "open"            // open flow whose target is in the flow table
	CauseSearch          Cause = "search"          // open flow whose packet starts a search for its target
	CauseSearchOthers    Cause = "search_others"   // no target of the route's services owns the flow; the others are asked
	CauseSearchLimit     Cause = "search_limit"    // as above, but too many targets were asked lately; a later packet searches again
	CauseSearching       Cause = "searching"       // open flow with a search in progress
	CauseNoRoute         Cause = "no_route"        // the configuration has no route for the address
	CauseNoView          Cause = "no_view"         // no configuration was received yet
	CauseNoTarget        Cause = "no_target"       // the service has no target that may accept new flows
	CauseNoRoom          Cause = "no_room"         // no target accepts or queues the flow now; a retransmission may succeed
	CauseIsolated        Cause = "isolated"        // the balancer reaches no agent, and this is the last retransmission
	CauseOverload        Cause = "overload"        // no target accepts or queues the last retransmission of a SYN, or an earlier one if the service is known to be overloaded
	CauseShortage        Cause = "shortage"        // as above, at any SYN: flows have found no room for longer than twice their objective
	CauseUnknownFlow     Cause = "unknown_flow"    // no target owns the flow
	CauseMissUnconfirmed Cause = "miss_unproved"   // no target of a view that may be outdated owns the flow
	CauseDomainOut       Cause = "domain_out"      // the target of the flow is in a failure domain that is out of service
	CauseTooManyHops     Cause = "too_many_hops"   // the packet was returned too often
	CauseNotFromCaller   Cause = "not_from_caller" // a returned packet or a SYN-ACK, which callers do not send
	CauseStaleReturn     Cause = "stale_return"    // outdated: the flow was offered elsewhere or searched again since
	CauseCallerReset     Cause = "caller_reset"    // the caller resets a flow that no target owns
)

// Causes lists all causes.
var Causes = []Cause{
	CausePlaced, CauseRepeated, CauseNextTarget, CauseWait, CauseOpen, CauseSearch, CauseSearchOthers, CauseSearchLimit, CauseSearching, CauseNoRoute, CauseNoView,
	CauseNoTarget, CauseNoRoom, CauseIsolated, CauseOverload, CauseShortage, CauseUnknownFlow, CauseMissUnconfirmed, CauseDomainOut, CauseTooManyHops,
	CauseNotFromCaller, CauseStaleReturn, CauseCallerReset,
}

// IsPending reports whether the decision may change after the next view or the end of a search.
func (c Cause) IsPending() bool {
	return c == CauseNoView || c == CauseMissUnconfirmed || c == CauseSearching
}

// EndsSearch reports whether all targets that the search visited have answered that they do not own the flow, and no
// others are asked now.
func (c Cause) EndsSearch() bool {
	return c == CauseMissUnconfirmed || c == CauseUnknownFlow || c == CauseCallerReset || c == CauseSearchLimit
}

// IsRefusal reports whether a new flow is refused although the configuration has a route for its address.
func (c Cause) IsRefusal() bool {
	return c == CauseOverload || c == CauseShortage || c == CauseNoTarget || c == CauseIsolated
}

// Decision is the outcome of one packet, its cause and the data to carry it out.
type Decision struct {
	Outcome    Outcome
	Cause      Cause
	Target     *directory.Target // of OutcomeForward
	Header     encap.Header      // of OutcomeForward
	Paths      []SearchPath      // of OutcomeSearch
	Service    string
	Shed       bool          // of CauseOverload: refused at once, because the service is known to be overloaded
	Seq        uint32        // of OutcomeReset: sequence number that the caller expects
	SearchTime time.Duration // of CauseUnknownFlow: time since the first search for the flow started
}
