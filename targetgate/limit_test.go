package targetgate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/loadcontrol"
	"github.com/cowslipward/cowslipward/targetgate"
)

var learning = loadcontrol.Settings{MaxSlots: 2, LearnedCapacity: true, MinWeight: 0.2, MaxWeight: 2}

// gatedTarget is a target of two slots behind a gate. Each request has its own flow, and flows that the gate refuses are
// lost.
type gatedTarget struct {
	gate     *targetgate.Gate
	random   *rand.Rand
	now      time.Duration
	port     int
	gap      time.Duration // mean time between requests
	work     time.Duration
	serial   bool // the target serves one request at a time
	coldRate float64
	status   int
	running  []gatedRequest
	most     int // requests in progress at once
}

type gatedRequest struct {
	port int
	left time.Duration
}

func newGatedTarget(s loadcontrol.Settings) *gatedTarget {
	gate := targetgate.New()
	gate.SetLoadControl(s, "bench")
	return &gatedTarget{gate: gate, random: rand.New(rand.NewPCG(3, 4)), now: time.Second, gap: 40 * ms, work: 20 * ms, status: 200}
}

func (g *gatedTarget) runFor(d time.Duration) {
	next := g.now
	for end := g.now + d; g.now < end; g.now += ms {
		g.finish()
		for ; next <= g.now; next += time.Duration(g.random.ExpFloat64() * float64(g.gap)) {
			g.open()
		}
		for key, ok := g.gate.NextFlow(g.now); ok; key, ok = g.gate.NextFlow(g.now) {
			g.send(int(key.Caller.Port))
		}
		for key, ok := g.gate.NextRequest(g.now); ok; key, ok = g.gate.NextRequest(g.now) {
			g.running = append(g.running, gatedRequest{int(key.Caller.Port), g.work})
		}
		g.most = max(g.most, len(g.running))
		done := ms
		if g.serial && len(g.running) > 1 {
			done /= time.Duration(len(g.running))
		}
		for i := range g.running {
			g.running[i].left -= done
		}
	}
}

func (g *gatedTarget) open() {
	g.port = g.port%60_000 + 1
	o := lastOffer(g.port, 0)
	o.Slots, o.ColdRate = 2, g.coldRate
	if verdict, _ := g.gate.Offer(o, g.now); verdict == targetgate.Accept {
		g.send(g.port)
	}
}

// capacity returns the next report with capacity.
func (g *gatedTarget) capacity() encap.Capacity {
	g.runFor(2500 * ms)
	return g.gate.Capacity(g.now)
}

func (g *gatedTarget) send(port int) {
	g.gate.FromTarget(keyOf(port), &flow.Packet{Syn: true, AckFlag: true}, g.now)
	if _, action := g.gate.FromCaller(keyOf(port), request(1), flow.Endpoint{}, g.now); action == targetgate.ActionStartRequest {
		g.running = append(g.running, gatedRequest{port, g.work})
	}
}

func (g *gatedTarget) finish() {
	left := g.running[:0]
	for _, r := range g.running {
		if r.left > 0 {
			left = append(left, r)
			continue
		}
		g.gate.FromTarget(keyOf(r.port), &flow.Packet{Seq: 1, AckFlag: true, DataLen: 500, ResponseStatus: g.status}, g.now)
	}
	g.running = left
}

// Guards against a target that gets two requests at once although it serves one at a time, at half of its capacity, and
// against a limit that stays when it serves two again.
func TestLimitOfTargetThatSlowsDownAtTwo(t *testing.T) {
	g := newGatedTarget(learning)
	g.runFor(20 * time.Second)
	require.Equal(t, 2, g.gate.Limit())
	g.serial = true
	g.runFor(60 * time.Second)
	require.Equal(t, 1, g.gate.Limit())
	g.serial = false
	g.runFor(60 * time.Second)
	require.Equal(t, 2, g.gate.Limit())
	require.Equal(t, 2, g.most)
}

// Guards against requests above the limit: an overload of twice the capacity at a target that serves one at a time. One
// in 20 may be a second one.
func TestRequestsAboveLimitWait(t *testing.T) {
	g := newGatedTarget(learning)
	g.serial = true
	g.runFor(60 * time.Second)
	require.Equal(t, 1, g.gate.Limit())
	g.gap = 10 * ms
	above, total := 0, 0
	for range 5000 {
		g.runFor(ms)
		total++
		if len(g.running) > 1 {
			above++
		}
	}
	t.Logf("two requests in progress for %.1f%% of the time", 100*float64(above)/float64(total))
	require.Less(t, float64(above)/float64(total), 0.15)
	require.Positive(t, above, "otherwise a recovery is not detected")
}

// Guards against durations that count the wait at the agent, at a load of 1.5 times the capacity.
func TestDurationBeginsWhenTargetGetsRequest(t *testing.T) {
	g := newGatedTarget(learning)
	g.gap = 7 * ms
	g.runFor(10 * time.Second)
	require.Positive(t, g.gate.Waiting())
	c := g.capacity()
	require.InEpsilon(t, float64(g.work), float64(encap.Duration(c.DurationCode)), 0.1)
	require.Equal(t, capacity.RouteTag(keyOf(1).Service), c.RouteTag)
	require.Equal(t, uint8(2), c.Limit)
}

// Guards against a target that looks fast because it fails, and against one that looks slow for its first seconds.
func TestFailedAndColdRequestsDoNotCount(t *testing.T) {
	g := newGatedTarget(learning)
	g.runFor(5 * time.Second)
	before := g.gate.MeanDuration(g.now)
	g.status, g.work = 503, ms
	g.runFor(1500 * ms)
	require.Equal(t, before, g.gate.MeanDuration(g.now), "fast failures")
	g.status, g.work, g.coldRate = 200, 200*ms, 5
	g.runFor(1500 * ms)
	require.Contains(t, []time.Duration{0, before}, g.gate.MeanDuration(g.now), "cold start")
	g.work, g.coldRate = 20*ms, 0
	g.runFor(5 * time.Second)
	require.InEpsilon(t, before, g.gate.MeanDuration(g.now), 0.06)
	before = g.gate.MeanDuration(g.now)
	g.gap, g.work = 200*ms, 1500*ms
	g.runFor(600 * ms)
	g.work = 20 * ms
	g.runFor(1200 * ms)
	require.Equal(t, before, g.gate.MeanDuration(g.now), "responses after a second are failures")
	g.gap = 40 * ms
	g.runFor(5 * time.Second)
	for range 2 { // their responses never come
		g.open()
	}
	g.running = nil
	g.now += 1500 * ms
	g.runFor(10 * time.Second)
	require.InEpsilon(t, before, g.gate.MeanDuration(g.now), 0.06)
}

// Guards against reports of a target that is not under load control, which must be those of before, and against a new
// agent that claims to know something.
func TestCapacityIsUnknownIfNotLearned(t *testing.T) {
	for _, s := range []loadcontrol.Settings{{}, {MaxSlots: 1, LearnedCapacity: true}, {MaxSlots: 2, ShedOverload: true}} {
		g := newGatedTarget(s)
		g.serial = true
		g.runFor(30 * time.Second)
		require.Zero(t, g.gate.Capacity(g.now))
		require.Zero(t, g.gate.Limit())
		require.Equal(t, 2, g.most)
	}
	g := newGatedTarget(learning)
	g.runFor(50 * ms)
	require.Equal(t, capacity.Unknown, g.gate.Capacity(g.now))
}
