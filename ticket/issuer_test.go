package ticket_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/ticket"
)

func newIssuer(t *testing.T, modify func(*ticket.Config)) (*ticket.Issuer, func() ticket.Ticket) {
	t.Helper()
	r := newRing(t, 1)
	config := ticket.Config{Control: control, Started: 9, Ring: func() keys.Ring { return r }}
	if modify != nil {
		modify(&config)
	}
	i := ticket.NewIssuer(config)
	return i, func() ticket.Ticket {
		parsed, err := ticket.Parse(r, i.Issue())
		require.NoError(t, err)
		return parsed
	}
}

func isNotRun(t *testing.T, err error) (notRun bool) {
	t.Helper()
	var refusal *ticket.Error
	require.ErrorAs(t, err, &refusal)
	return refusal.NotRun()
}

// Guards against a request that runs twice when copies of it arrive concurrently, and against a copy that gets
// no response.
func TestConcurrentCopiesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := newIssuer(t, nil)
		issued := next()
		var runs, responses atomic.Int32
		var wg sync.WaitGroup
		for range 32 {
			wg.Go(func() {
				run, response, err := i.Begin(t.Context(), issued)
				if err != nil {
					return
				}
				if run != nil {
					runs.Add(1)
					time.Sleep(time.Second)
					run.Finish(ticket.Response{Status: 201, Body: []byte("pasted")})
					return
				}
				if string(response.Body) == "pasted" {
					responses.Add(1)
				}
			})
		}
		wg.Wait()
		require.EqualValues(t, 1, runs.Load())
		require.EqualValues(t, 31, responses.Load())
	})
}

// Guards against a ticket that cannot be used after its request was refused, and against two copies of a
// request that both run after a run was abandoned.
func TestAbandonReturnsTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := newIssuer(t, nil)
		issued := next()
		first, _, err := i.Begin(t.Context(), issued)
		require.NoError(t, err)
		var runs atomic.Int32
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				run, _, _ := i.Begin(t.Context(), issued)
				if run != nil {
					runs.Add(1)
					run.Finish(ticket.Response{Status: 201})
				}
			})
		}
		synctest.Wait()
		first.Abandon()
		wg.Wait()
		require.EqualValues(t, 1, runs.Load())
	})
}

// Guards against an expired ticket that is reported as not run although its request ran, and against tickets
// that never expire.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := newIssuer(t, nil)
		used, unused := next(), next()
		run, _, err := i.Begin(t.Context(), used)
		require.NoError(t, err)
		run.Finish(ticket.Response{Status: 201})
		time.Sleep(ticket.DefaultLifetime)
		_, _, err = i.Begin(t.Context(), unused)
		require.ErrorIs(t, err, ticket.ErrExpired)
		require.True(t, isNotRun(t, err))
		_, response, err := i.Begin(t.Context(), used)
		require.NoError(t, err)
		require.Equal(t, 201, response.Status)

		time.Sleep(ticket.DefaultLifetime)
		later := next()
		run, _, err = i.Begin(t.Context(), later)
		require.NoError(t, err)
		run.Abandon()
		_, _, err = i.Begin(t.Context(), used)
		require.False(t, isNotRun(t, err), "a used ticket whose record was evicted must not be reported as not run")
		require.Zero(t, i.Stats().UsedTickets)
	})
}

// Guards against a "not run" result from an incarnation that has no record of the ticket, and against a retry
// that blocks after its context ended.
func TestUnknownOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := newIssuer(t, nil)
		gone := next()
		gone.Started++
		_, _, err := i.Begin(t.Context(), gone)
		require.ErrorIs(t, err, ticket.ErrIssuerGone)
		require.False(t, isNotRun(t, err))

		issued := next()
		_, _, err = i.Begin(t.Context(), issued)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err = i.Begin(ctx, issued)
		require.ErrorIs(t, err, ticket.ErrStillRunning)
		other := issued
		other.Request = ticket.Fingerprint("POST", "/other")
		_, _, err = i.Begin(t.Context(), other)
		require.ErrorIs(t, err, ticket.ErrRequestMismatch)
		require.False(t, isNotRun(t, err))
	})
}

// Guards against memory that grows with the number of requests, and against a request that runs again after its
// record was evicted.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := newIssuer(t, func(c *ticket.Config) { c.MaxUsedTickets, c.MaxResponses, c.MaxStoredBytes = 20, 10, 1000 })
		var tickets []ticket.Ticket
		for range 100 {
			issued := next()
			tickets = append(tickets, issued)
			run, _, err := i.Begin(t.Context(), issued)
			require.NoError(t, err)
			run.Finish(ticket.Response{Status: 200, Body: make([]byte, 200)})
		}
		stats := i.Stats()
		require.LessOrEqual(t, stats.UsedTickets, 20)
		require.LessOrEqual(t, stats.Responses, 10)
		require.LessOrEqual(t, stats.StoredBytes, 1000)
		for _, issued := range tickets {
			run, _, err := i.Begin(t.Context(), issued)
			require.Nil(t, run)
			if err != nil {
				require.False(t, isNotRun(t, err))
			}
		}
	})
}

// BenchmarkRun measures the overhead of at-most-once execution per request: issue, parse, begin and finish.
func BenchmarkRun(b *testing.B) {
	r := newRing(b, 1)
	i := ticket.NewIssuer(ticket.Config{Control: control, Started: 9, Ring: func() keys.Ring { return r }})
	body := make([]byte, 2048)
	b.ReportAllocs()
	for b.Loop() {
		parsed, err := ticket.Parse(r, i.Issue())
		if err != nil {
			b.Fatal(err)
		}
		run, _, err := i.Begin(b.Context(), parsed)
		if err != nil {
			b.Fatal(err)
		}
		run.Finish(ticket.Response{Status: 200, Body: body})
	}
}
