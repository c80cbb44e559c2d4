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

func issuer(t *testing.T, change func(*ticket.Config)) (*ticket.Issuer, func() ticket.Ticket) {
	t.Helper()
	r := ring(t, 1)
	config := ticket.Config{Control: control, Started: 9, Ring: func() keys.Ring { return r }}
	if change != nil {
		change(&config)
	}
	i := ticket.NewIssuer(config)
	return i, func() ticket.Ticket {
		parsed, err := ticket.Parse(r, i.Issue())
		require.NoError(t, err)
		return parsed
	}
}

func outcome(t *testing.T, err error) (notRun bool) {
	t.Helper()
	var refusal *ticket.Error
	require.ErrorAs(t, err, &refusal)
	return refusal.NotRun()
}

// Guards against a paste record that runs twice when two copies of it race, and against a copy that gets no answer.
func TestRaceOfCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := issuer(t, nil)
		tick := next()
		var runs, answers atomic.Int32
		var wg sync.WaitGroup
		for range 32 {
			wg.Go(func() {
				run, answer, err := i.Begin(t.Context(), tick)
				if err != nil {
					return
				}
				if run != nil {
					runs.Add(1)
					time.Sleep(time.Second)
					run.Finish(ticket.Response{Status: 201, Body: []byte("pasted")})
					return
				}
				if string(answer.Body) == "pasted" {
					answers.Add(1)
				}
			})
		}
		wg.Wait()
		require.EqualValues(t, 1, runs.Load())
		require.EqualValues(t, 31, answers.Load())
	})
}

// Guards against a ticket lost to a refusal, and against two copies that both run after one was abandoned.
func TestAbandonReturnsTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := issuer(t, nil)
		tick := next()
		first, _, err := i.Begin(t.Context(), tick)
		require.NoError(t, err)
		var runs atomic.Int32
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				run, _, _ := i.Begin(t.Context(), tick)
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

// Guards against an expired ticket that is called not run although it ran, and against one that stays valid.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := issuer(t, nil)
		used, unused := next(), next()
		run, _, err := i.Begin(t.Context(), used)
		require.NoError(t, err)
		run.Finish(ticket.Response{Status: 201})
		time.Sleep(ticket.DefaultLifetime)
		_, _, err = i.Begin(t.Context(), unused)
		require.ErrorIs(t, err, ticket.ErrExpired)
		require.True(t, outcome(t, err))
		_, answer, err := i.Begin(t.Context(), used)
		require.NoError(t, err)
		require.Equal(t, 201, answer.Status)

		time.Sleep(ticket.DefaultLifetime)
		later := next()
		run, _, err = i.Begin(t.Context(), later)
		require.NoError(t, err)
		run.Abandon()
		_, _, err = i.Begin(t.Context(), used)
		require.False(t, outcome(t, err), "a used ticket that was dropped must not be called not run")
		require.Zero(t, i.Stats().UsedTickets)
	})
}

// Guards against "not run" from an incarnation that cannot know, and against a retry that hangs past its context.
func TestUnknownOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := issuer(t, nil)
		gone := next()
		gone.Started++
		_, _, err := i.Begin(t.Context(), gone)
		require.ErrorIs(t, err, ticket.ErrIssuerGone)
		require.False(t, outcome(t, err))

		tick := next()
		_, _, err = i.Begin(t.Context(), tick)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err = i.Begin(ctx, tick)
		require.ErrorIs(t, err, ticket.ErrStillRunning)
		other := tick
		other.Request = ticket.Fingerprint("POST", "/other")
		_, _, err = i.Begin(t.Context(), other)
		require.ErrorIs(t, err, ticket.ErrRequestMismatch)
		require.False(t, outcome(t, err))
	})
}

// Guards against memory that grows with the number of requests, and against a dropped record that lets a request rerun.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, next := issuer(t, func(c *ticket.Config) { c.MaxUsedTickets, c.MaxResponses, c.MaxStoredBytes = 20, 10, 1000 })
		var ticks []ticket.Ticket
		for range 100 {
			tick := next()
			ticks = append(ticks, tick)
			run, _, err := i.Begin(t.Context(), tick)
			require.NoError(t, err)
			run.Finish(ticket.Response{Status: 200, Body: make([]byte, 200)})
		}
		stats := i.Stats()
		require.LessOrEqual(t, stats.UsedTickets, 20)
		require.LessOrEqual(t, stats.Responses, 10)
		require.LessOrEqual(t, stats.StoredBytes, 1000)
		for _, tick := range ticks {
			run, _, err := i.Begin(t.Context(), tick)
			require.Nil(t, run)
			if err != nil {
				require.False(t, outcome(t, err))
			}
		}
	})
}

// BenchmarkRun measures what at-most-once execution adds to a request: issue, parse, begin and finish.
func BenchmarkRun(b *testing.B) {
	r := ring(b, 1)
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
