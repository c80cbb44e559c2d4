package dispatch_test

import (
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
)

func TestNewFlowPrefersTheHomeDomain(t *testing.T) {
	f := newFleet(t)
	for n := 1; n <= 3; n++ {
		f.putTarget(n, domainA, directory.TargetReady)
		f.putTarget(n+10, domainB, directory.TargetReady)
	}
	d := f.dispatcher()
	for port := uint16(1); port <= 6; port++ {
		decision := d.HandleCallerPacket(syn(port, 0), seconds(1))
		require.Equal(t, dispatch.OutcomeForward, decision.Outcome)
		require.Equal(t, domainA, decision.Target.Domain, "idle targets in the home domain are preferred")
	}
}

func TestRetransmittedSynGoesToAnotherTarget(t *testing.T) {
	f := newFleet(t)
	f.addReadyTargets(2)
	d := f.dispatcher()
	first := d.HandleCallerPacket(syn(1, 0), seconds(1))
	second := d.HandleCallerPacket(syn(1, 1), seconds(1.2))
	require.NotEqual(t, first.Target.ID, second.Target.ID, "the first target may have failed")
}

func TestNewFlowAvoidsDrainingTargetsAndDomainsOut(t *testing.T) {
	f := newFleet(t)
	f.putTarget(1, domainA, directory.TargetDraining)
	f.putTarget(2, domainB, directory.TargetReady)
	f.setDomainOut(domainB, true)
	d := f.dispatcher()
	decision := d.HandleCallerPacket(syn(1, 0), seconds(1))
	require.Equal(t, dispatch.OutcomeReset, decision.Outcome, "a flow that cannot be served is refused at once")
	require.Equal(t, dispatch.CauseNoTarget, decision.Cause)
}

func TestRefusalRequiresRecentView(t *testing.T) {
	f := newFleet(t)
	d := f.dispatcher()
	decision := d.HandleCallerPacket(syn(1, 0), seconds(9))
	require.Equal(t, dispatch.OutcomeDrop, decision.Outcome, "a view that is eight seconds old may lack new targets")
}

// Guards against a fault in which packets of open flows in a failure domain that was out of service were sent to
// other targets and never to their own.
func TestOpenFlowsInDomainOutOfService(t *testing.T) {
	for _, c := range []struct {
		name           string
		domainOutGrace time.Duration
		want           dispatch.Outcome
	}{
		{"kept", dispatch.KeepFlowsForever, dispatch.OutcomeForward},
		{"dropped without a reset", 3 * time.Second, dispatch.OutcomeDrop},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.putTarget(1, domainA, directory.TargetReady)
			f.putTarget(2, domainB, directory.TargetReady)
			d := dispatch.New(domainA, c.domainOutGrace)
			d.SetView(f.dir.View(), seconds(1), seconds(1))
			deliver(d, data(1), ip(2), seconds(1))
			f.setDomainOut(domainB, true)
			d.SetView(f.dir.View(), seconds(2), seconds(2))
			early, _ := deliver(d, data(1), ip(2), seconds(3))
			require.Equal(t, dispatch.OutcomeForward, early.Outcome)
			late, _ := deliver(d, data(1), ip(2), seconds(9))
			require.Equal(t, c.want, late.Outcome)
		})
	}
}

func TestPacketsOfRemovedRouteAreDropped(t *testing.T) {
	f := newFleet(t)
	f.putTarget(1, domainA, directory.TargetReady)
	d := f.dispatcher()
	deliver(d, data(1), ip(1), seconds(1))
	f.apply(directory.Record{Kind: directory.KindConfig, Config: &directory.Config{Version: 2}})
	d.SetView(f.dir.View(), seconds(2), seconds(2))
	require.Equal(t, dispatch.CauseNoRoute, d.HandleCallerPacket(data(1), seconds(2)).Cause)
}

// A flow stays at its target when its route changes to another service.
func TestFlowKeepsItsTargetWhenItsRouteChanges(t *testing.T) {
	f := newFleet(t)
	f.putTarget(1, domainA, directory.TargetReady)
	d := f.dispatcher()
	f.setConfig(2, "archive")
	d.SetView(f.dir.View(), seconds(2), seconds(2))
	decision, _ := deliver(d, data(1), ip(1), seconds(2))
	require.Equal(t, dispatch.OutcomeForward, decision.Outcome)
	require.Equal(t, service, decision.Service)
}

func TestFlowIsQueuedOnceWhenAllTargetsAreBusy(t *testing.T) {
	f := newFleet(t)
	f.addReadyTargets(3)
	d := f.dispatcher()
	p := syn(1, 0)
	decision := d.HandleCallerPacket(p, seconds(1))
	offers := map[string]bool{}
	for !decision.Header.MayWait {
		require.Equal(t, dispatch.OutcomeForward, decision.Outcome)
		require.False(t, offers[decision.Target.ID], "the flow is offered to each target once")
		offers[decision.Target.ID] = true
		h := &encap.Header{Kind: encap.KindReturn, Reason: encap.ReasonBusy, Load: 10}
		decision = d.HandleReturn(decision.Target.Address.IP, h, p, seconds(1))
	}
	require.Len(t, offers, 3)
	require.Equal(t, dispatch.CauseWait, decision.Cause)
	queuedAt := decision.Target.Address.IP
	again := d.HandleCallerPacket(syn(1, 1), seconds(1.2))
	require.Equal(t, queuedAt, again.Target.Address.IP, "a retransmission goes to the target where the SYN is queued")
	busy := &encap.Header{Kind: encap.KindReturn, Reason: encap.ReasonBusy}
	dropped := d.HandleReturn(queuedAt, busy, syn(1, 1), seconds(1.2))
	require.Equal(t, dispatch.OutcomeDrop, dropped.Outcome, "a reset would cost the caller one of its few retries")
	for decision = d.HandleCallerPacket(syn(1, 2), seconds(1.6)); !decision.Header.MayWait; {
		decision = d.HandleReturn(decision.Target.Address.IP, busy, syn(1, 2), seconds(1.6))
	}
	refused := d.HandleReturn(decision.Target.Address.IP, busy, syn(1, 2), seconds(1.6))
	require.Equal(t, dispatch.OutcomeReset, refused.Outcome, "the last retransmission is refused at once, since no other SYN follows")
}

func TestReturnsOfAPacketAreLimited(t *testing.T) {
	f := newFleet(t)
	f.putTarget(1, domainA, directory.TargetReady)
	d := f.dispatcher()
	d.HandleCallerPacket(data(1), seconds(1))
	h := &encap.Header{Kind: encap.KindReturn, Attempt: 255}
	require.Equal(t, dispatch.CauseTooManyHops, d.HandleReturn(ip(1), h, data(1), seconds(1)).Cause)
}

func TestPacketsNotFromCallersAreDropped(t *testing.T) {
	f := newFleet(t)
	f.putTarget(1, domainA, directory.TargetReady)
	d := f.dispatcher()
	returned := data(1)
	returned.Returned = true
	require.Equal(t, dispatch.OutcomeDrop, d.HandleCallerPacket(returned, seconds(1)).Outcome)
	synAck := syn(1, 0)
	synAck.AckFlag = true
	require.Equal(t, dispatch.OutcomeDrop, d.HandleCallerPacket(synAck, seconds(1)).Outcome)
}

// Metrics exist only for the causes in Causes.
func TestCausesListsAllDeclaredCauses(t *testing.T) {
	source, err := os.ReadFile("decision.go")
	require.NoError(t, err)
	declared := regexp.MustCompile(`(?m)^\tCause\w+ +Cause = "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	var names []string
	for _, match := range declared {
		names = append(names, match[1])
	}
	var listed []string
	for _, cause := range dispatch.Causes {
		listed = append(listed, string(cause))
	}
	require.ElementsMatch(t, names, listed)
}

// If the configured idle timeout is longer than the default of the flow table, packets after idle periods must
// not cause a search each.
func TestTableUsesConfiguredIdleTimeout(t *testing.T) {
	f := newFleet(t)
	f.addReadyTargets(2)
	config := *f.dir.View().Config
	config.Version, config.IdleTimeout = 2, time.Minute
	f.apply(directory.Record{Kind: directory.KindConfig, Config: &config})
	d := dispatch.New(domainA, dispatch.KeepFlowsForever)
	now := time.Second
	d.SetView(f.dir.View(), now, now)
	placed := d.HandleCallerPacket(syn(1, 0), now)
	require.Equal(t, dispatch.OutcomeForward, placed.Outcome)
	for _, idle := range []time.Duration{time.Second, 50 * time.Second, 59 * time.Second} {
		for end := now + idle; now < end; now += time.Second {
			d.HandleCallerPacket(syn(2, 0), now) // packets of other flows rotate the generations of the table
		}
		open := d.HandleCallerPacket(data(1), now)
		require.Equal(t, dispatch.CauseOpen, open.Cause, "after %s", idle)
		require.Equal(t, placed.Target, open.Target)
	}
}

// Guards against a failure domain that is cut off from the others and from the store: the entries of its targets
// expire, although their agents still send reports, and the targets of other domains are unreachable. The
// balancers in the domain cannot serve new flows.
func TestBalancerThatReachesNoTargetInViewIsIsolated(t *testing.T) {
	f := newFleet(t)
	for n := 1; n <= 3; n++ {
		f.putTarget(n, domainB, directory.TargetReady)
	}
	f.putTarget(9, domainA, directory.TargetReady)
	d := f.dispatcher()
	run := func(from, until float64) {
		for now := from; now < until; now += 0.02 {
			d.HandleCallerPacket(syn(uint16(1000*now), 0), seconds(now))
			d.HandleReport(ip(9), &encap.Header{Kind: encap.KindReport, Load: 40}, seconds(now))
		}
	}
	run(1, 3)
	require.False(t, d.Isolated(seconds(3)), "a target in the view is reachable")
	f.apply(directory.Record{Kind: directory.KindTarget, Name: "i-9", Removed: true})
	d.SetView(f.dir.View(), seconds(3), seconds(3))
	run(3, 4)
	require.True(t, d.Isolated(seconds(4)))
	decision := d.HandleCallerPacket(syn(7, 2), seconds(4))
	require.Equal(t, dispatch.CauseIsolated, decision.Cause, "the last retransmission is refused, so that the caller tries elsewhere")
	require.Equal(t, dispatch.OutcomeReset, decision.Outcome)
	d.HandleReport(ip(1), &encap.Header{Kind: encap.KindReport}, seconds(5))
	require.False(t, d.Isolated(seconds(5)))
}

// Guards against a crash: a packet of an open flow is returned while a SYN with the same endpoints is queued. The search
// that follows finds no target, and the next SYN must not use the one that was forgotten.
func TestSynAfterReturnOfOpenFlow(t *testing.T) {
	f := newFleet(t)
	f.putTarget(1, domainA, directory.TargetReady)
	d := f.dispatcher()
	d.HandleCallerPacket(syn(1, 0), seconds(1))
	inFlight := d.HandleCallerPacket(data(1), seconds(1))
	require.Equal(t, dispatch.CauseOpen, inFlight.Cause)
	d.HandleCallerPacket(syn(1, 1), seconds(1.2))
	require.True(t, d.HandleCallerPacket(syn(1, 2), seconds(1.6)).Header.MayWait)
	returned := &encap.Header{Kind: encap.KindReturn, Reason: encap.ReasonRefused}
	search := d.HandleReturn(ip(1), returned, data(1), seconds(1.6))
	require.Equal(t, dispatch.OutcomeSearch, search.Outcome)
	miss, _ := followPaths(d, data(1), &search, ip(9), seconds(1.6), nil)
	require.Equal(t, dispatch.CauseMissUnconfirmed, miss.Cause)
	again := d.HandleCallerPacket(syn(1, 2), seconds(1.7))
	require.Equal(t, dispatch.OutcomeForward, again.Outcome)
}
