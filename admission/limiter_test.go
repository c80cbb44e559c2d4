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

// cold returns a limiter with one slot in use.
func cold(t *testing.T) (*admission.Limiter, *admission.Permit) {
	t.Helper()
	l := newAdaptive().Limiter
	permit, err := l.Acquire(t.Context(), time.Time{})
	require.NoError(t, err)
	return l, permit
}

// Guards against urgent work that waits behind work with time to spare.
func TestQueueOrderedByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, first := cold(t)
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

// Guards against work that runs although its caller no longer waits, and against a wait past the queue time.
func TestRefusedBeforeItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, first := cold(t)
		_, err := l.Acquire(t.Context(), time.Now())
		require.Equal(t, admission.ReasonDeadline, reasonOf(t, err))
		started := time.Now()
		_, err = l.Acquire(t.Context(), started.Add(50*time.Millisecond))
		require.Equal(t, admission.ReasonDeadline, reasonOf(t, err))
		require.Equal(t, 50*time.Millisecond, time.Since(started))
		_, err = l.Acquire(t.Context(), time.Time{})
		require.Equal(t, admission.ReasonQueueTime, reasonOf(t, err))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = l.Acquire(ctx, time.Time{})
		require.Equal(t, admission.ReasonCanceled, reasonOf(t, err))
		first.Done(admission.Completed)

		// Answers of 250 ms are known now; work with 100 ms left is refused at once while another one runs.
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

// Guards against a queue that grows without bound, and against new urgent work that a full queue keeps out.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, first := cold(t)
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
		require.Len(t, refused, 61-4*slots, "the work that would be served last makes room")
		require.Equal(t, admission.ReasonQueueFull, <-refused)
	})
}

// Guards against a limiter that refuses everything after one very slow answer.
func TestIdleTargetIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, permit := cold(t)
		for range 6 {
			time.Sleep(30 * time.Second)
			permit.Done(admission.Completed)
			var err error
			permit, err = l.Acquire(t.Context(), time.Now().Add(10*time.Second))
			require.NoError(t, err)
		}
	})
}

// Guards against a long view that counts as a slow answer, and against its slot being given away.
func TestLongViewKeepsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, view := cold(t)
		time.Sleep(20 * time.Millisecond)
		view.HeaderReceived()
		time.Sleep(time.Hour)
		require.Equal(t, 1, l.Snapshot().InProgress)
		view.Done(admission.Completed)
		view.Done(admission.Completed)
		require.Zero(t, l.Snapshot().InProgress)
	})
}

// Guards against more connections than stated, and against a cold target that collects them all.
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

// Guards against a limit that the noise of service times keeps low, which refuses work that the target could do. The work
// is exponentially distributed, as that of mixed requests, and the target is as fast under load as without.
func TestNoiseDoesNotLowerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newAdaptive()
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

// BenchmarkAcquire measures what admission adds to a request.
func BenchmarkAcquire(b *testing.B) {
	l := newAdaptive()
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
