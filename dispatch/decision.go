package dispatch

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
)

// Outcome is what happens to a packet.
type Outcome uint8

// Outcomes of a packet.
const (
	OutcomeDrop Outcome = iota
	OutcomeForward
	OutcomeReset
	OutcomeSearch // sent along several paths
	OutcomeHold   // decided about once more when the search or the confirmation ends
)

// String returns the outcome as logs show it.
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

// Cause says why a packet had its outcome.
type Cause string

// Causes.
const (
	CausePlaced          Cause = "placed"          // new flow, offered to a target
	CauseRepeated        Cause = "repeated"        // copy of a SYN whose first target did not take it
	CauseNextTarget      Cause = "next_target"     // the target before refused the new flow
	CauseWait            Cause = "wait"            // all targets are busy, the flow waits at one
	CauseOpen            Cause = "open"            // open flow, by the table
	CauseSearch          Cause = "search"          // open flow whose target is searched from now on
	CauseSearching       Cause = "searching"       // open flow whose target is being searched
	CauseNoRoute         Cause = "no_route"        // no configuration names the address
	CauseNoView          Cause = "no_view"         // no configuration is known yet
	CauseNoTarget        Cause = "no_target"       // the service has no target that may take new flows
	CauseNoRoom          Cause = "no_room"         // no target has room now, the caller's next copy may find some
	CauseIsolated        Cause = "isolated"        // this process reaches no agent, and the SYN is the caller's last copy
	CauseOverload        Cause = "overload"        // no target has room for the last copy of a SYN
	CauseUnknownFlow     Cause = "unknown_flow"    // no target holds the flow
	CauseMissUnconfirmed Cause = "miss_unproved"   // no target holds the flow as far as an older view knows
	CauseDomainOut       Cause = "domain_out"      // the flow lives in a failure domain that is out of service
	CauseTooManyHops     Cause = "too_many_hops"   // the packet came back too often
	CauseNotFromCaller   Cause = "not_from_caller" // a reset or a returned packet that no caller sends
	CauseStaleReturn     Cause = "stale_return"    // a return from a target that the flow has left
	CauseCallerReset     Cause = "caller_reset"    // the caller ends a flow that no target holds
)

// Causes are all causes.
var Causes = []Cause{
	CausePlaced, CauseRepeated, CauseNextTarget, CauseWait, CauseOpen, CauseSearch, CauseSearching, CauseNoRoute, CauseNoView,
	CauseNoTarget, CauseNoRoom, CauseIsolated, CauseOverload, CauseUnknownFlow, CauseMissUnconfirmed, CauseDomainOut, CauseTooManyHops,
	CauseNotFromCaller, CauseStaleReturn, CauseCallerReset,
}

// IsPending reports whether the decision may be another one once a view or the end of a search is known.
func (c Cause) IsPending() bool {
	return c == CauseNoView || c == CauseMissUnconfirmed || c == CauseSearching
}

// EndsSearch reports whether all targets that were asked have answered that they do not hold the flow.
func (c Cause) EndsSearch() bool {
	return c == CauseMissUnconfirmed || c == CauseUnknownFlow || c == CauseCallerReset
}

// IsRefusal reports whether a new flow is refused though a configuration names its address.
func (c Cause) IsRefusal() bool {
	return c == CauseOverload || c == CauseNoTarget || c == CauseIsolated
}

// Decision is the outcome of one packet and what led to it.
type Decision struct {
	Outcome    Outcome
	Cause      Cause
	Target     *directory.Target // of OutcomeForward
	Header     encap.Header      // of OutcomeForward
	Paths      []SearchPath      // of OutcomeSearch
	Service    string
	Seq        uint32        // of OutcomeReset: the number that the caller expects
	SearchTime time.Duration // of CauseUnknownFlow: since the first search of the flow began
}
