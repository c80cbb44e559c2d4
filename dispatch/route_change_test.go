package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// openingFlow is a new flow whose first SYN was offered to target 1, the only one of service. Targets 2 and 3 belong to
// otherService, to which the route also gives the weight 0.
type openingFlow struct {
	*fleet
	d *dispatch.Dispatcher
}

func newOpeningFlow(t *testing.T) *openingFlow {
	f := newFleet(t)
	f.setChoices(2, directory.Choice{Service: service, Weight: 1}, directory.Choice{Service: otherService})
	f.putTargetOf(service, 1)
	f.putTargetOf(otherService, 2)
	f.putTargetOf(otherService, 3)
	o := &openingFlow{fleet: f, d: f.dispatcher()}
	require.Equal(t, ip(1), o.d.HandleCallerPacket(syn(1, 0), seconds(1)).Target.Address.IP)
	return o
}

// enqueue lets the flow be queued at target 1, because it has no free slots.
func (o *openingFlow) enqueue() {
	decision := o.returnSyn(encap.ReasonBusy, 1)
	require.Equal(o.t, dispatch.CauseWait, decision.Cause)
}

// returnSyn returns the first SYN from target 1 at a time in seconds.
func (o *openingFlow) returnSyn(reason encap.Reason, at float64) dispatch.Decision {
	h := &encap.Header{Kind: encap.KindReturn, Reason: reason}
	return o.d.HandleReturn(ip(1), h, syn(1, 0), seconds(at))
}

// receiveView passes the present view to the dispatcher at a time in seconds.
func (o *openingFlow) receiveView(at float64) { o.d.SetView(o.dir.View(), seconds(at), seconds(at)) }

// routeChanges are changes after which new flows of the route belong to otherService.
var routeChanges = map[string]func(o *openingFlow){
	"moved": func(o *openingFlow) { o.setConfig(3, otherService) },
	"weights exchanged": func(o *openingFlow) {
		o.setChoices(3, directory.Choice{Service: service}, directory.Choice{Service: otherService, Weight: 1})
	},
	"dropped and added again": func(o *openingFlow) {
		o.setChoices(3)
		o.receiveView(1.1)
		o.setConfig(4, otherService)
	},
	"dropped, refused and added again": func(o *openingFlow) {
		o.setChoices(3)
		o.receiveView(1.1)
		o.d.HandleCallerPacket(syn(1, 1), seconds(1.1))
		o.setConfig(4, otherService)
	},
}

// Guards against a new flow that stays with the service that its route had when the first SYN arrived: later SYNs, and
// those that a target returns, follow the configuration in force.
func TestOpeningFlowFollowsRoute(t *testing.T) {
	for name, change := range routeChanges {
		for _, queued := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				start := func() *openingFlow {
					o := newOpeningFlow(t)
					if queued {
						o.enqueue()
					}
					change(o)
					o.receiveView(1.15)
					return o
				}
				repeated := start().d.HandleCallerPacket(syn(1, 2), seconds(1.6))
				returned := start().returnSyn(encap.ReasonRefused, 1.2)
				for _, decision := range []dispatch.Decision{repeated, returned} {
					require.Equal(t, dispatch.OutcomeForward, decision.Outcome)
					require.Equal(t, otherService, decision.Target.Service)
					require.Equal(t, directory.NameHash(otherService), decision.Header.Service)
					require.False(t, decision.Header.MayWait, "no target of the service has refused the flow yet")
				}
			})
		}
	}
}

// Guards against the opposite fault: a flow that a target of the former service has accepted stays there, although a
// later SYN was offered to a target of the service in force.
func TestFlowAcceptedByFormerServiceStaysThere(t *testing.T) {
	for name, change := range routeChanges {
		t.Run(name, func(t *testing.T) {
			o := newOpeningFlow(t)
			change(o)
			o.receiveView(1.15)
			o.d.HandleCallerPacket(syn(1, 1), seconds(1.2))
			for _, at := range []float64{1.3, 1.5} {
				decision, _ := deliver(o.d, data(1), ip(1), seconds(at))
				require.Equal(t, dispatch.OutcomeForward, decision.Outcome)
				require.Equal(t, ip(1), decision.Target.Address.IP)
			}
		})
	}
}

// Guards against a caller that waits in vain: a SYN that is returned after its route was dropped is refused at once.
func TestReturnedSynOfDroppedRouteIsRefused(t *testing.T) {
	o := newOpeningFlow(t)
	o.setChoices(3)
	o.receiveView(1.1)
	decision := o.returnSyn(encap.ReasonRefused, 1.2)
	require.Equal(t, dispatch.OutcomeReset, decision.Outcome)
	require.Equal(t, dispatch.CauseNoRoute, decision.Cause)
}

// withdrawals are changes after which target 1, at which a flow is queued, may get no new flows.
var withdrawals = map[string]func(f *fleet){
	"draining":                  func(f *fleet) { f.putTarget(1, domainA, directory.TargetDraining) },
	"failure domain out":        func(f *fleet) { f.setDomainOut(domainA, true) },
	"gone":                      func(f *fleet) { f.removeTarget(1) },
	"replaced at its address":   func(f *fleet) { f.removeTarget(1); f.putReplacement(service) },
	"address of other service":  func(f *fleet) { f.removeTarget(1); f.putReplacement(otherService) },
	"entry has another service": func(f *fleet) { f.putTargetOf(otherService, 1) },
}

func (f *fleet) removeTarget(n int) {
	f.apply(directory.Record{Kind: directory.KindTarget, Name: fmt.Sprintf("i-%d", n), Removed: true})
}

// putReplacement adds a target at the address of target 1.
func (f *fleet) putReplacement(service string) {
	f.put(&directory.Target{ID: "i-later", Service: service, Address: flow.Endpoint{IP: ip(1), Port: 8080}, Domain: domainA, Slots: 9, State: directory.TargetReady})
}

// Guards against a flow that stays with the target at which its SYN was queued after that target was withdrawn: later
// SYNs, and those that the target returns, go to the targets that the view in force allows.
func TestQueuedFlowLeavesWithdrawnTarget(t *testing.T) {
	for name, withdraw := range withdrawals {
		t.Run(name, func(t *testing.T) {
			start := func() *openingFlow {
				o := newOpeningFlow(t)
				o.enqueue()
				o.putTarget(4, domainB, directory.TargetReady)
				withdraw(o.fleet)
				o.receiveView(1.15)
				return o
			}
			repeated := start().d.HandleCallerPacket(syn(1, 1), seconds(1.2))
			returned := start().returnSyn(encap.ReasonBusy, 1.2)
			for _, decision := range []dispatch.Decision{repeated, returned} {
				require.Equal(t, dispatch.OutcomeForward, decision.Outcome)
				require.NotEqual(t, "i-1", decision.Target.ID)
				require.Equal(t, service, decision.Target.Service)
			}
		})
	}
}

// Guards against an offer to a target that has started again, cold, without the limit for cold targets, because its
// entry was read before.
func TestQueuedFlowHasLimitOfColdTarget(t *testing.T) {
	o := newOpeningFlow(t)
	o.enqueue()
	o.coldRate = 20
	o.setConfig(3, service)
	o.put(&directory.Target{
		ID: "i-1", Service: service, Address: flow.Endpoint{IP: ip(1), Port: 8080}, Domain: domainA, Slots: 9,
		State: directory.TargetReady, ColdLeft: time.Minute, StartUnixMs: 1,
	})
	o.receiveView(1.15)
	decision := o.d.HandleCallerPacket(syn(1, 1), seconds(1.2))
	require.True(t, decision.Header.MayWait, "the flow is queued there already")
	require.Equal(t, encap.Tenths(o.coldRate), decision.Header.ColdRate)
}
