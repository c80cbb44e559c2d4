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

// admitter admits requests to the simulated target.
type admitter interface {
	acquire(ctx context.Context, deadline time.Time) (done func(admission.Result), ok bool)
}

type adaptiveLimit struct{ *admission.Limiter }

func (a adaptiveLimit) acquire(ctx context.Context, deadline time.Time) (func(admission.Result), bool) {
	permit, err := a.Acquire(ctx, deadline)
	if err != nil {
		return nil, false
	}
	return permit.Done, true
}

// fixedLimit is the baseline: a constant limit equal to the configured slots.
type fixedLimit chan struct{}

func (f fixedLimit) acquire(ctx context.Context, _ time.Time) (func(admission.Result), bool) {
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
	arrivals  = 4 * time.Millisecond // mean interval between requests, 250 per second
)

// sendRequests sends requests with exponentially distributed intervals to the target for the period.
func sendRequests(t *testing.T, a admitter, s *target, period time.Duration) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	for end := time.Now().Add(period); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(arrivals)))
		wg.Go(func() {
			done, ok := a.acquire(t.Context(), time.Now().Add(10*time.Second))
			if ok {
				done(s.run())
			}
		})
	}
	wg.Wait()
}

func newAdaptiveLimit() adaptiveLimit {
	return adaptiveLimit{admission.New(admission.Config{Slots: slots, Connections: 2000, QueueTimeout: queueTime})}
}

// Guards against a cold target that receives more requests than its capacity (invariant P3) in a cold start,
// after it became cold without a visible event, and after a restart; and against a limit that stays below the
// slots of a warm target. A fixed limit equal to the slots is the baseline.
func TestTargetNeverOverloaded(t *testing.T) {
	cases := []struct {
		name   string
		warmUp time.Duration
		pause  time.Duration // idle time before the event
		event  func(*target)
	}{
		{"cold start", 10 * time.Second, 0, func(*target) {}},
		{"cold start, warms quickly", 2 * time.Second, 0, func(*target) {}},
		{"cold start, warms slowly", 30 * time.Second, 0, func(*target) {}},
		{"turns cold under load", 10 * time.Second, 0, func(s *target) { s.becomeCold(false) }},
		{"turns cold under load, warms quickly", 2 * time.Second, 0, func(s *target) { s.becomeCold(false) }},
		{"turns cold under load, warms slowly", 30 * time.Second, 0, func(s *target) { s.becomeCold(false) }},
		{"turns cold while idle", 10 * time.Second, 5 * time.Second, func(s *target) { s.becomeCold(false) }},
		{"restarts under load", 10 * time.Second, 0, func(s *target) { s.becomeCold(true) }},
		{"sheds load when cold", 10 * time.Second, 0, func(s *target) { s.sheds = true; s.becomeCold(false) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				adaptive, fixed := newTarget(c.warmUp), newTarget(c.warmUp)
				limiter := newAdaptiveLimit()
				for _, run := range []struct {
					a admitter
					s *target
				}{{limiter, adaptive}, {make(fixedLimit, slots), fixed}} {
					if c.pause > 0 {
						sendRequests(t, run.a, run.s, 30*time.Second)
						time.Sleep(c.pause)
						c.event(run.s)
						sendRequests(t, run.a, run.s, 30*time.Second)
						continue
					}
					time.AfterFunc(30*time.Second, func() { c.event(run.s) })
					sendRequests(t, run.a, run.s, 60*time.Second)
				}
				t.Logf("adaptive: %d overloads (%d undetectable), %v overloaded, %d completed, %d failed; fixed: %d overloads, %v overloaded, %d completed, %d failed",
					adaptive.overloads, adaptive.undetectable, adaptive.overloadTime, adaptive.completed, adaptive.failed,
					fixed.overloads, fixed.overloadTime, fixed.completed, fixed.failed)
				require.Zero(t, adaptive.overloads-adaptive.undetectable)
				require.LessOrEqual(t, adaptive.undetectable, slots)
				require.Equal(t, slots, limiter.Snapshot().Limit, limiter.Snapshot().Reason)
			})
		})
	}
}

// Guards against the overload of a new target whose service time is constant until its cold start ends
// (invariant P3). Only the service time of its peers distinguishes it from a warm target: without peers it is
// overloaded, as the first run shows. Also guards against a warm target that reaches its full limit too late.
func TestNewTargetComparedWithPeers(t *testing.T) {
	run := func(t *testing.T, cold time.Duration, peers time.Duration) (s *target, limit int) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			s = newTarget(time.Hour * 1000)
			limiter := newAdaptiveLimit()
			limiter.SetPeerServiceTime(peers)
			time.AfterFunc(cold, func() {
				s.mu.Lock()
				s.warmth = 1
				s.mu.Unlock()
			})
			sendRequests(t, limiter, s, cold+6*time.Second)
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

// Load pattern: all targets of a service start cold, so that none has a warm peer, and the service time is
// constant until the cold start ends. A target must not receive more requests than its capacity until then
// (invariant P3), and must reach its full limit soon after.
func TestColdServiceWithoutWarmPeers(t *testing.T) {
	for _, cold := range []time.Duration{3 * time.Second, 6 * time.Second, 9 * time.Second} {
		t.Run(cold.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTarget(time.Hour * 1000)
				limiter := newAdaptiveLimit()
				time.AfterFunc(cold, func() {
					s.mu.Lock()
					s.warmth = 1
					s.mu.Unlock()
				})
				sendRequests(t, limiter, s, cold+15*time.Second)
				require.Zero(t, s.overloads)
				require.Equal(t, slots, limiter.Snapshot().Limit)
			})
		})
	}
}

// Load pattern: a target is cold for 6 s and slower by a constant factor during that time, and its service
// times vary strongly from request to request. By chance, service times fall as if the target warmed up; the
// limit must not grow because of that.
func TestNoiseIsNotMistakenForWarmUp(t *testing.T) {
	const (
		coldTime = 6 * time.Second
		seeds    = 100
	)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := &noisyTarget{coldUntil: time.Now().Add(coldTime), random: rand.New(rand.NewPCG(seed, 1))}
			limiter := newAdaptiveLimit()
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

// noisyTarget simulates a target that is cold until coldUntil and has exponentially distributed service times.
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
