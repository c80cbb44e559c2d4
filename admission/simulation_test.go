package admission_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/admission"
)

// gate is what admits requests to the target.
type gate interface {
	acquire(ctx context.Context, deadline time.Time) (done func(admission.Result), ok bool)
}

type adaptive struct{ *admission.Limiter }

func (a adaptive) acquire(ctx context.Context, deadline time.Time) (func(admission.Result), bool) {
	permit, err := a.Acquire(ctx, deadline)
	if err != nil {
		return nil, false
	}
	return permit.Done, true
}

// fixed is the baseline: a limit at the stated slots.
type fixed chan struct{}

func (f fixed) acquire(ctx context.Context, _ time.Time) (func(admission.Result), bool) {
	timer := time.NewTimer(queueTime)
	defer timer.Stop()
	select {
	case f <- struct{}{}:
		return func(admission.Result) { <-f }, true
	case <-timer.C:
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
}

const (
	queueTime = 200 * time.Millisecond
	arrivals  = 4 * time.Millisecond // mean time between requests, 250 per second
)

// drive sends requests to the target for the period.
func drive(t *testing.T, g gate, s *target, period time.Duration) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	for end := time.Now().Add(period); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(arrivals)))
		wg.Go(func() {
			done, ok := g.acquire(t.Context(), time.Now().Add(10*time.Second))
			if ok {
				done(s.run())
			}
		})
	}
	wg.Wait()
}

func newAdaptive() adaptive {
	return adaptive{admission.New(admission.Config{Slots: slots, Connections: 2000, QueueTimeout: queueTime})}
}

// Guards against a cold target that gets more than it can bear (P3), in a cold start, after a silent loss of warmth and
// after a restart; and against a limit that protects the target by not using it. A fixed limit at the slots is the
// baseline.
func TestTargetNeverOverloaded(t *testing.T) {
	cases := []struct {
		name   string
		warmUp time.Duration
		pause  time.Duration // without requests before the turn
		turn   func(*target)
	}{
		{"cold start", 10 * time.Second, 0, func(*target) {}},
		{"cold start, warms quickly", 2 * time.Second, 0, func(*target) {}},
		{"cold start, warms slowly", 30 * time.Second, 0, func(*target) {}},
		{"turns cold under load", 10 * time.Second, 0, func(s *target) { s.turnCold(false) }},
		{"turns cold under load, warms quickly", 2 * time.Second, 0, func(s *target) { s.turnCold(false) }},
		{"turns cold under load, warms slowly", 30 * time.Second, 0, func(s *target) { s.turnCold(false) }},
		{"turns cold while idle", 10 * time.Second, 5 * time.Second, func(s *target) { s.turnCold(false) }},
		{"restarts under load", 10 * time.Second, 0, func(s *target) { s.turnCold(true) }},
		{"sheds load when cold", 10 * time.Second, 0, func(s *target) { s.sheds = true; s.turnCold(false) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ours, theirs := newTarget(c.warmUp), newTarget(c.warmUp)
				limiter := newAdaptive()
				for _, run := range []struct {
					g gate
					s *target
				}{{limiter, ours}, {make(fixed, slots), theirs}} {
					if c.pause > 0 {
						drive(t, run.g, run.s, 30*time.Second)
						time.Sleep(c.pause)
						c.turn(run.s)
						drive(t, run.g, run.s, 30*time.Second)
						continue
					}
					time.AfterFunc(30*time.Second, func() { c.turn(run.s) })
					drive(t, run.g, run.s, 60*time.Second)
				}
				t.Logf("adaptive: %d overloads (%d before any sign), %v fallen over, %d answered, %d failed; fixed: %d overloads, %v fallen over, %d answered, %d failed",
					ours.overloads, ours.blind, ours.overTime, ours.completed, ours.failed,
					theirs.overloads, theirs.overTime, theirs.completed, theirs.failed)
				require.Zero(t, ours.overloads-ours.blind)
				require.LessOrEqual(t, ours.blind, slots)
				require.Equal(t, slots, limiter.Snapshot().Limit, limiter.Snapshot().Reason)
			})
		})
	}
}

// Guards against a new target whose cold start shows no change until it ends: it must be told from a warm one by the
// service time of its peers (P3). Without peers it is overloaded, as the first run shows; a warm target is in use soon.
func TestNewTargetComparedWithPeers(t *testing.T) {
	run := func(t *testing.T, cold time.Duration, peers time.Duration) (s *target, limit int) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			s = newTarget(time.Hour * 1000)
			limiter := newAdaptive()
			limiter.SetPeerServiceTime(peers)
			time.AfterFunc(cold, func() {
				s.mu.Lock()
				s.warmth = 1
				s.mu.Unlock()
			})
			drive(t, limiter, s, cold+6*time.Second)
			limit = limiter.Snapshot().Limit
		})
		return s, limit
	}
	alone, _ := run(t, 20*time.Second, 0)
	compared, limit := run(t, 20*time.Second, warmService)
	t.Logf("without peers: %d overloads; with peers: %d, limit %d 6 s after the cold start", alone.overloads, compared.overloads, limit)
	require.Positive(t, alone.overloads)
	require.Zero(t, compared.overloads)
	require.Equal(t, slots, limit)
	_, limit = run(t, 0, warmService)
	require.Equal(t, slots, limit)
}

// Pattern: a whole service starts cold, so that no target has a warm peer, and its service time does not change until the
// cold start ends. A target may not get more than it bears meanwhile (P3), and is in full use soon after.
func TestColdServiceWithoutWarmPeers(t *testing.T) {
	for _, cold := range []time.Duration{3 * time.Second, 6 * time.Second, 9 * time.Second} {
		t.Run(cold.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTarget(time.Hour * 1000)
				limiter := newAdaptive()
				time.AfterFunc(cold, func() {
					s.mu.Lock()
					s.warmth = 1
					s.mu.Unlock()
				})
				drive(t, limiter, s, cold+15*time.Second)
				require.Zero(t, s.overloads)
				require.Equal(t, slots, limiter.Snapshot().Limit)
			})
		})
	}
}

// Pattern: a target is cold for 6 s and slower meanwhile by a constant factor, and its work differs much from request to
// request. By chance the service time falls as it does when a target becomes warm; the target may not get more for that.
func TestNoiseIsNotTakenForWarming(t *testing.T) {
	const (
		coldTime = 6 * time.Second
		seeds    = 100
	)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := &noisyTarget{coldUntil: time.Now().Add(coldTime), random: rand.New(rand.NewPCG(seed, 1))}
			limiter := newAdaptive()
			random := rand.New(rand.NewPCG(seed, 2))
			var wg sync.WaitGroup
			for end := time.Now().Add(coldTime); time.Now().Before(end); {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(25*time.Millisecond)))
				wg.Go(func() {
					if done, ok := limiter.acquire(t.Context(), time.Now().Add(3*time.Second)); ok {
						s.run()
						done(admission.Completed)
					}
				})
			}
			wg.Wait()
			require.Zero(t, s.overloads, "seed %d", seed)
		})
	}
}

// noisyTarget is cold until a time, and its work is distributed exponentially.
type noisyTarget struct {
	mu        sync.Mutex
	coldUntil time.Time
	random    *rand.Rand
	running   int
	overloads int
}

func (s *noisyTarget) run() {
	s.mu.Lock()
	s.running++
	work := 0.2 + 0.8*s.random.ExpFloat64()
	if time.Now().Before(s.coldUntil) {
		work *= 1 + coldFactor
		if s.running > coldSlots {
			s.overloads++
		}
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(work * float64(warmService)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
