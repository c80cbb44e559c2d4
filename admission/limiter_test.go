package admission_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/admission"
)

func reasonOf(t *testing.T, err error) admission.Reason {
	t.Helper()
	var refusal *admission.Refusal
	require.ErrorAs(t, err, &refusal)
	return refusal.Reason
}

// newBusyLimiter returns a limiter of a cold target whose only slot is in use, and the permit for that slot.
func newBusyLimiter(t *testing.T) (*admission.Limiter, *admission.Permit) {
	t.Helper()
	l := newAdaptiveLimit().Limiter
	permit, err := l.Acquire(t.Context(), time.Time{})
	require.NoError(t, err)
	return l, permit
}

// Guards against a request with an early deadline that waits behind requests with later deadlines.
func TestQueueOrderedByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, first := newBusyLimiter(t)
		var mu sync.Mutex
		var order []time.Duration
		var wg sync.WaitGroup
		for _, left := range []time.Duration{3 * time.Second, time.Second, 0, 2 * time.Second} {
			wg.Go(func() {
				var deadline time.Time
				if left > 0 {
					deadline = time.Now().Add(left)
				}
				permit, err := l.Acquire(t.Context(), deadline)
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, left)
				mu.Unlock()
				permit.Done(admission.Completed)
			})
			synctest.Wait()
		}
		first.Done(admission.Completed)
		wg.Wait()
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 0}, order)
	})
}

// Guards against requests that run after their deadline or after their caller canceled, and against requests
// that wait longer than the queue timeout.
func TestLateWorkRefusedBeforeItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, first := newBusyLimiter(t)
		_, err := l.Acquire(t.Context(), time.Now())
		require.Equal(t, admission.ReasonDeadline, reasonOf(t, err))
		started := time.Now()
		_, err = l.Acquire(t.Context(), started.Add(50*time.Millisecond))
		require.Equal(t, admission.ReasonDeadline, reasonOf(t, err))
		require.Equal(t, 50*time.Millisecond, time.Since(started))
		_, err = l.Acquire(t.Context(), time.Time{})
		require.Equal(t, admission.ReasonQueueTimeout, reasonOf(t, err))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = l.Acquire(ctx, time.Time{})
		require.Equal(t, admission.ReasonCanceled, reasonOf(t, err))
		first.Done(admission.Completed)

		// After responses of 250 ms, a request with 100 ms left is refused at once while another one runs.
		for range 10 {
			permit, err := l.Acquire(t.Context(), time.Time{})
			require.NoError(t, err)
			time.Sleep(250 * time.Millisecond)
			permit.Done(admission.Completed)
		}
		_, err = l.Acquire(t.Context(), time.Time{})
		require.NoError(t, err)
		started = time.Now()
		_, err = l.Acquire(t.Context(), started.Add(100*time.Millisecond))
		require.Equal(t, admission.ReasonDeadline, reasonOf(t, err))
		require.Zero(t, time.Since(started))
	})
}

// Guards against a queue that grows without bound, and against a full queue that refuses a request with an
// early deadline.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, first := newBusyLimiter(t)
		defer first.Done(admission.Completed)
		refused := make(chan admission.Reason, 100)
		for range 60 {
			go func() {
				_, err := l.Acquire(t.Context(), time.Time{})
				var refusal *admission.Refusal
				if errors.As(err, &refusal) {
					refused <- refusal.Reason
				}
			}()
		}
		synctest.Wait()
		require.Equal(t, 4*slots, l.Snapshot().Queued)
		require.Len(t, refused, 60-4*slots)
		go func() { _, _ = l.Acquire(t.Context(), time.Now().Add(time.Second)) }()
		synctest.Wait()
		require.Len(t, refused, 61-4*slots, "the request that would be served last must be refused")
		require.Equal(t, admission.ReasonQueueFull, <-refused)
	})
}

// Guards against a limiter that refuses all requests after one very slow response.
func TestIdleTargetReceivesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, permit := newBusyLimiter(t)
		for range 6 {
			time.Sleep(30 * time.Second)
			permit.Done(admission.Completed)
			var err error
			permit, err = l.Acquire(t.Context(), time.Now().Add(10*time.Second))
			require.NoError(t, err)
		}
	})
}

// Guards against a long response body that counts as a slow response, and against the reuse of its slot before
// it ends.
func TestLongResponseKeepsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, permit := newBusyLimiter(t)
		time.Sleep(20 * time.Millisecond)
		permit.HeaderReceived()
		time.Sleep(time.Hour)
		require.Equal(t, 1, l.Snapshot().InProgress)
		permit.Done(admission.Completed)
		permit.Done(admission.Completed)
		require.Zero(t, l.Snapshot().InProgress)
	})
}

// Guards against more connections than configured, and against a cold target that accepts all of them.
func TestConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := admission.New(admission.Config{Slots: 4, Connections: 40, QueueTimeout: queueTime})
		taken := 0
		for l.AcquireConnection() {
			taken++
		}
		require.Equal(t, 10, taken)
		l.ReleaseConnection()
		require.True(t, l.AcquireConnection())
		l.SetLimits(admission.Config{Slots: 1, Connections: 12, QueueTimeout: queueTime})
		require.True(t, l.AcquireConnection())
		require.Equal(t, 12, l.Snapshot().MaxConnections)
	})
}

// Guards against a limit that stays low because service times vary, so that requests are refused that the
// target could run. Service times are exponentially distributed, as with a mix of requests, and don't depend on
// the load.
func TestNoiseDoesNotLowerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newAdaptiveLimit()
		random := rand.New(rand.NewPCG(5, 6))
		var wg sync.WaitGroup
		refused, all := 0, 0
		var mu sync.Mutex
		began := time.Now()
		const rate, warmUp, period = 200, 15 * time.Second, 60 * time.Second // 4 of 9 slots
		for time.Since(began) < period {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
			work := time.Duration(min(random.ExpFloat64(), 4) * float64(warmService))
			measured := time.Since(began) > warmUp
			wg.Go(func() {
				permit, err := l.Acquire(t.Context(), time.Now().Add(10*time.Second))
				mu.Lock()
				defer mu.Unlock()
				if measured {
					all++
				}
				if err != nil {
					if measured {
						refused++
					}
					return
				}
				mu.Unlock()
				time.Sleep(work)
				permit.Done(admission.Completed)
				mu.Lock()
			})
		}
		wg.Wait()
		t.Logf("%d of %d refused, limit %d", refused, all, l.Snapshot().Limit)
		require.Equal(t, slots, l.Snapshot().Limit)
		require.LessOrEqual(t, float64(refused), 0.001*float64(all))
	})
}

// BenchmarkAcquire measures the overhead of admission per request.
func BenchmarkAcquire(b *testing.B) {
	l := newAdaptiveLimit()
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		permit, err := l.Acquire(b.Context(), deadline)
		if err != nil {
			b.Fatal(err)
		}
		permit.Done(admission.Completed)
	}
}
