package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/loadcontrol"
	"github.com/cowslipward/cowslipward/packetstatus"
)

// reportRandomly lets a random target report random figures to all dispatchers. In every other second it reports no wait.
func reportRandomly(random *rand.Rand, targets int, now time.Duration, dispatchers ...*dispatch.Dispatcher) {
	from := ip(random.IntN(targets))
	h := encap.Header{
		Kind: encap.KindReport, Load: uint8(random.IntN(4)), Waiting: uint8(random.IntN(3)), FailedPercent: uint8(random.IntN(14)),
		Silent: random.IntN(50) == 0, Capacity: encap.Capacity{
			WaitCode: uint8(random.IntN(1 + 160*(int(now/time.Second)%2))), Limit: uint8(1 + random.IntN(2)), RouteTag: capacity.RouteTag(serviceAddress),
			DurationCode: encap.DurationCode(time.Duration(10+random.IntN(300)) * ms),
		},
	}
	for _, d := range dispatchers {
		d.HandleReport(from, &h, now)
	}
}

// Load: 4,000 new flows at 16 targets with random loads, waits, speeds, failures and refusals. Guards against
// explanations whose parts do not add up to the cost, or that name another target than the flow then gets, and against
// explanations that change later decisions: those of a second dispatcher, which explains nothing, stay the same.
func TestExplanationMatchesPlacementAndChangesNothing(t *testing.T) {
	for _, s := range []loadcontrol.Settings{
		{},
		{MaxSlots: loadSlots, ShedOverload: true, LearnedCapacity: true, MinWeight: 0.2, MaxWeight: 2},
	} {
		f := newLoadFleet(16)
		d, plain := f.dispatcher(), f.dispatcher()
		d.SetLoadControl(s)
		plain.SetLoadControl(s)
		random, now, outcomes := rand.New(rand.NewPCG(1, 2)), seconds(1), map[packetstatus.Outcome]int{}
		for port := range uint16(4000) {
			now += time.Duration(random.IntN(12)) * ms
			reportRandomly(random, 16, now, d, plain)
			d.SetView(f.dir.View(), now, now)
			plain.SetView(f.dir.View(), now, now)
			p := syn(port, 0)
			explained := d.Explain(p.KeyFromCaller(), now)
			requireSums(t, &explained)
			outcomes[explained.Outcome]++
			decision := d.HandleCallerPacket(p, now)
			require.Equal(t, decision.Target.ID, explained.Choice)
			require.Equal(t, decision.Header.MayWait, explained.Outcome != packetstatus.OutcomeOffer)
			require.Equal(t, plain.HandleCallerPacket(p, now), decision)
			if random.IntN(2) == 0 {
				h := returned([]encap.Reason{encap.ReasonBusy, encap.ReasonRefused, encap.ReasonOverloaded}[random.IntN(3)])
				from := decision.Target.Address.IP
				require.Equal(t, plain.HandleReturn(from, h, p, now), d.HandleReturn(from, h, p, now))
			}
		}
		t.Log(outcomes)
		require.Positive(t, outcomes[packetstatus.OutcomeOffer])
		require.Equal(t, s.ShedOverload, outcomes[packetstatus.OutcomeDirect] > 0)
	}
}

func requireSums(t *testing.T, e *packetstatus.Explanation) {
	for _, c := range e.Candidates {
		sum := 0.0
		for _, p := range c.Parts {
			sum += p.Value
		}
		require.NotNil(t, c.Cost)
		require.InDelta(t, *c.Cost, sum, 1e-9)
	}
}

// Guards against an explanation of the service that does not agree with the choice, and against costs of targets that
// the flow is not offered to.
func TestExplanationNamesTheWeightsOfTheRoute(t *testing.T) {
	f := newFleet(t)
	f.addReadyTargets(2)
	f.putTargetOf(otherService, 3)
	f.setChoices(2, directory.Choice{Service: service, Weight: 3}, directory.Choice{Service: otherService, Weight: 1})
	d := f.dispatcher()
	count := map[string]int{}
	for port := range uint16(200) {
		e := d.Explain(flow.Key{Caller: caller(port), Service: serviceAddress}, seconds(1))
		count[e.Service]++
		for _, c := range e.Choices {
			require.Equal(t, c.Service == e.Service, c.From <= e.HashPoint && e.HashPoint < c.To)
		}
		for _, c := range e.Candidates {
			require.Equal(t, c.Service == e.Service, c.Cost != nil)
			require.Equal(t, c.Service == e.Service, !c.PassedOver)
		}
	}
	require.Greater(t, count[service], count[otherService])
	require.Positive(t, count[otherService])
}

// Load: all targets refuse all flows. Guards against an explanation without the early refusal, and against one that names
// it although the balancer does not know enough.
func TestExplanationOfAdmission(t *testing.T) {
	key, later := syn(1, 0).KeyFromCaller(), seconds(2.1) // the state is evaluated again after 20 ms
	a := balancerAfterRefusals(6, serviceAddress, true).Explain(key, later).Admission
	require.Empty(t, a.Unknown)
	require.Equal(t, [2]int{6, 8}, [2]int{a.Said, a.Eligible})
	require.True(t, a.Overloaded && a.Direct)
	a = balancerAfterRefusals(5, serviceAddress, true).Explain(key, later).Admission
	require.Equal(t, 5, a.Said)
	require.False(t, a.Overloaded || a.Direct)
	require.Equal(t, "load control is off for the service", balancerAfterRefusals(6, serviceAddress, false).Explain(key, later).Admission.Unknown)
	require.Equal(t, "the view is too old", balancerAfterRefusals(6, serviceAddress, true).Explain(key, seconds(4)).Admission.Unknown)
}

// Guards against an explanation that promises an offer, or a reset, which the balancer does not make.
func TestExplanationWithoutEligibleTarget(t *testing.T) {
	f := newFleet(t)
	f.putTarget(1, domainA, directory.TargetDraining)
	d := f.dispatcher()
	p := syn(1, 0)
	e := d.Explain(p.KeyFromCaller(), seconds(1))
	require.Equal(t, packetstatus.OutcomeReset, e.Outcome)
	require.True(t, e.Candidates[0].PassedOver)
	require.Equal(t, dispatch.OutcomeReset, d.HandleCallerPacket(p, seconds(1)).Outcome)
	require.Equal(t, packetstatus.OutcomeDrop, d.Explain(p.KeyFromCaller(), seconds(9)).Outcome)
	require.Equal(t, dispatch.OutcomeDrop, d.HandleCallerPacket(p, seconds(9)).Outcome)
	require.Empty(t, d.Explain(flow.Key{Caller: caller(1)}, seconds(1)).Route)
}
