package capacity_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/capacity"
)

const (
	ms    = time.Millisecond
	slots = 2
	// longShare of the requests take longFactor times as long, so that the mean is meanWork.
	longShare  = 0.03
	longFactor = 7
	meanWork   = 1 + longShare*(longFactor-1)
)

// simulatedTarget is a target whose requests pass an agent with a learner. Requests wait at the agent for a slot.
type simulatedTarget struct {
	learner  *capacity.Learner
	random   *rand.Rand
	rate     float64                   // requests a second
	work     time.Duration             // of a request at full speed
	slowdown func(running int) float64 // factor on durations with this many requests in progress
	slots    int

	now     time.Duration
	next    time.Duration
	waiting []float64 // work left of the requests that wait, in seconds
	running []runningRequest
}

type runningRequest struct {
	left     float64 // work left in seconds
	started  time.Duration
	progress time.Duration
}

func newTarget(rate float64, work time.Duration) *simulatedTarget {
	return &simulatedTarget{
		learner: capacity.NewLearner(), random: rand.New(rand.NewPCG(1, 2)), rate: rate, work: work, slots: slots,
		slowdown: func(int) float64 { return 1 }, now: time.Second, next: time.Second,
	}
}

// step is the resolution of the simulation.
const step = ms / 2

func (s *simulatedTarget) runFor(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += step {
		for ; s.next <= s.now; s.next += time.Duration(s.random.ExpFloat64() * float64(time.Second) / s.rate) {
			work := s.work.Seconds()
			if s.random.Float64() < longShare {
				work *= longFactor
			}
			s.waiting = append(s.waiting, work)
		}
		s.finish()
		for len(s.waiting) > 0 && len(s.running) < s.learner.Allowed(s.slots) {
			s.running = append(s.running, runningRequest{
				left: s.waiting[0], started: s.now, progress: s.learner.Progress(len(s.running)+1, s.now),
			})
			s.waiting = s.waiting[1:]
			s.learner.RecordStart(len(s.running), s.slots)
		}
		done := step.Seconds() / s.slowdown(len(s.running))
		for i := range s.running {
			s.running[i].left -= done
		}
	}
}

func (s *simulatedTarget) finish() {
	for i := 0; i < len(s.running); i++ {
		r := s.running[i]
		if r.left > 0 {
			continue
		}
		s.running = append(s.running[:i], s.running[i+1:]...)
		i--
		spent := s.learner.Progress(len(s.running), s.now) - r.progress
		duration := s.now - r.started
		s.learner.Record(&capacity.Request{
			RouteTag: 1, Duration: duration, InProgress: float64(spent) / float64(duration), Slots: s.slots,
		}, s.now)
	}
}

func serial(running int) float64 { return float64(max(1, running)) }

// Guards against a target that serves one request at a time but gets two, at 30, 60 and 85% of its capacity, and against
// a limit that stays once the target serves two again.
func TestLimitFollowsTargetThatSlowsDownAtTwo(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.85} {
		s := newTarget(load/(0.03*meanWork), 30*ms)
		require.Zero(t, s.learner.Limit(slots), "nothing is known")
		require.Equal(t, slots, s.learner.Allowed(slots))
		s.runFor(20 * time.Second)
		require.Equal(t, slots, s.learner.Limit(slots), "it serves two at once at load %.2f", load)
		s.slowdown = serial
		start := s.now
		for s.learner.Limit(slots) == slots && s.now-start < time.Minute {
			s.runFor(100 * ms)
		}
		lowered := s.now - start
		require.Equal(t, 1, s.learner.Limit(slots), "load %.2f", load)
		s.slowdown = func(int) float64 { return 1 }
		start = s.now
		for s.learner.Limit(slots) == 1 && s.now-start < 2*time.Minute {
			s.runFor(100 * ms)
		}
		t.Logf("load %.2f: limit lowered after %v, raised after %v", load, lowered, s.now-start)
		require.Equal(t, slots, s.learner.Limit(slots), "load %.2f", load)
	}
}

// Guards against a limit below the slots at a target that serves them all, for 10 minutes of requests of which 3% take
// 7 times as long, at low and high load.
func TestLimitStaysAtSlotsOfGoodTarget(t *testing.T) {
	for _, load := range []float64{0.1, 0.5, 0.9, 1.1} {
		for _, count := range []int{2, 9} {
			s := newTarget(load*float64(count)/(0.013*meanWork), 13*ms)
			s.slots = count
			limited := 0
			for range 6000 {
				s.runFor(100 * ms)
				if limit := s.learner.Limit(count); limit != 0 && limit < count {
					limited++
				}
			}
			t.Logf("load %.1f, %d slots: limited for %.2f%% of the time", load, count, float64(limited)/60)
			require.Less(t, limited, 60, "load %.1f, %d slots", load, count)
		}
	}
}

// Guards against a limit that halves the capacity of a target just when all its requests take 5 times as long and its
// slots fill up: at 20% of its capacity before and 100% after.
func TestSlowTargetKeepsItsSlots(t *testing.T) {
	limited := 0
	for seed := range uint64(50) {
		s := newTarget(0.2*slots/(0.03*meanWork), 30*ms)
		s.random = rand.New(rand.NewPCG(seed, 3))
		s.runFor(20 * time.Second)
		s.slowdown = func(int) float64 { return 5 }
		for range 200 {
			s.runFor(100 * ms)
			if s.learner.Limit(slots) < slots {
				limited++
			}
		}
	}
	t.Logf("limited for %.2f%% of the time", float64(limited)/100)
	require.Less(t, limited, 500, "5%% of the time")
}

// Guards against a slow target that is known too late: it becomes 5 times slower at 10 requests a second.
func TestSlowTargetIsKnownWithinASecond(t *testing.T) {
	worst := math.Inf(1)
	for seed := range uint64(200) {
		l, random := capacity.NewLearner(), rand.New(rand.NewPCG(seed, 1))
		now := time.Second
		record := func(count int, work time.Duration) {
			for range count {
				now += 100 * ms
				if random.Float64() < longShare {
					l.Record(&capacity.Request{RouteTag: 1, Duration: longFactor * work, InProgress: 1, Slots: slots}, now)
					continue
				}
				l.Record(&capacity.Request{RouteTag: 1, Duration: work, InProgress: 1, Slots: slots}, now)
			}
		}
		record(300, 20*ms)
		before := l.Duration(now)
		record(10, 100*ms)
		after := l.Duration(now)
		worst = min(worst, float64(after)/float64(before))
		record(100, 20*ms)
		recovered := l.Duration(now)
		require.Less(t, float64(recovered)/float64(20*ms), 1.6, "recovered after 10 s")
	}
	t.Logf("lowest increase of the reported duration after 10 requests: %.2f", worst)
	require.Greater(t, worst, 1.7)
}

// Guards against a few long requests that make a target look slow: 10 requests a second for an hour, of which 3% take 7
// times as long. It compares the mean of this package with others of the same half-life.
func TestLongRequestsDoNotMakeTargetLookSlow(t *testing.T) {
	keep := math.Exp2(-1.0 / 20)
	average := func(mean *float64, sample float64) { *mean += (1 - keep) * (sample - *mean) }
	means := []struct {
		name  string
		value func() func(d float64) float64
	}{
		{"plain", func() func(float64) float64 {
			mean := 1.0
			return func(d float64) float64 { average(&mean, d); return mean }
		}},
		{"logarithms", func() func(float64) float64 {
			mean := 0.0
			return func(d float64) float64 { average(&mean, math.Log(d)); return math.Exp(mean) }
		}},
		{"clipped", func() func(float64) float64 {
			l, now := capacity.NewLearner(), time.Second
			return func(d float64) float64 {
				now += 100 * ms
				l.Record(&capacity.Request{RouteTag: 1, Duration: time.Duration(d * float64(20*ms)), InProgress: 1, Slots: slots}, now)
				return float64(l.Duration(now)) / float64(20*ms)
			}
		}},
	}
	for _, m := range means {
		add, random := m.value(), rand.New(rand.NewPCG(7, 8))
		var values []float64
		for range 36_000 {
			d := 1.0
			if random.Float64() < longShare {
				d = longFactor
			}
			values = append(values, add(d))
		}
		values = values[100:]
		slices.Sort(values)
		median, high := values[len(values)/2], values[len(values)*999/1000]
		usual := m.value()
		for range 300 {
			usual(1)
		}
		after := 0.0
		for range 10 {
			after = usual(5)
		}
		t.Logf("%-10s median %.2f, p99.9 %.2f (speed %.2f); 10 requests after a slowdown by 5: %.2f (speed %.2f)",
			m.name, median, high, median/high, after, 1/after)
		if m.name == "clipped" {
			require.Greater(t, median/high, 0.6)
			require.Less(t, 1/after, 0.5)
		}
	}
}
