package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeTargets simulates the agents of count targets. Each new flow reaches the next target, round robin.
type fakeTargets struct {
	count    int
	respond  func(target int, r *http.Request) (*http.Response, bool, error)
	dials    atomic.Int64
	requests atomic.Int64
}

func (f *fakeTargets) dial(context.Context) (session, error) {
	time.Sleep(2 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	target := int(f.dials.Add(1)-1) % f.count
	return &fakeSession{targets: f, target: target, ctx: ctx, cancel: cancel}, nil
}

type fakeSession struct {
	targets *fakeTargets
	target  int
	ctx     context.Context
	cancel  context.CancelFunc
}

func (s *fakeSession) exchange(r *http.Request) (*http.Response, bool, error) {
	if s.ctx.Err() != nil {
		return nil, false, errors.New("closed")
	}
	s.targets.requests.Add(1)
	time.Sleep(4 * time.Millisecond)
	response, sent, err := s.targets.respond(s.target, r)
	if response != nil {
		response.Header.Set(headerTarget, fmt.Sprintf("bench-%d", s.target))
	}
	return response, sent, err
}

func (s *fakeSession) addCloseReason(err error) error { return err }
func (s *fakeSession) context() context.Context       { return s.ctx }
func (s *fakeSession) lastReceived() time.Time        { return time.Now() }
func (s *fakeSession) close(error)                    { s.cancel() }

func newResponse(status int, header ...string) *http.Response {
	h := make(http.Header)
	for i := 0; i < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(""))}
}

func (f *fakeTargets) caller(t *testing.T, config Config) *Caller {
	t.Helper()
	c := newCaller(config.withDefaults(), f.dial)
	t.Cleanup(c.Close)
	return c
}

func closeResponse(r *Result) *Result {
	if r.Response != nil {
		_ = r.Response.Body.Close()
	}
	return r
}

// runLoad sends requests of several callers to targets of which the first ones fail. It returns the exchanges
// per request and the share of answered requests.
func runLoad(t *testing.T, targets, failing int, budget func() *Budget) (multiplier, answered float64) {
	t.Helper()
	const perSecond, seconds, callers = 500, 20, 10
	f := &fakeTargets{count: targets, respond: func(target int, _ *http.Request) (*http.Response, bool, error) {
		if target < failing {
			return newResponse(http.StatusBadGateway, headerOutcome, outcomeUnknown), true, nil
		}
		return newResponse(http.StatusOK), true, nil
	}}
	var wg sync.WaitGroup
	var answeredCount atomic.Int64
	allCallers := make([]*Caller, callers)
	for i := range allCallers {
		allCallers[i] = f.caller(t, Config{Budget: budget()})
	}
	for i := range perSecond * seconds {
		time.Sleep(time.Second / perSecond)
		wg.Go(func() {
			if closeResponse(allCallers[i%callers].Do(getRequest(t, "/"))).Outcome == Answered {
				answeredCount.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(f.requests.Load()) / (perSecond * seconds), float64(answeredCount.Load()) / (perSecond * seconds)
}

// Guards against retries that multiply the traffic when many targets fail. Each of the 10 callers sends 50
// requests per second and may retry 10% of them plus 3 per second, plus the retries of one second from the
// initially full budget.
func TestRetryBudgetBoundsTraffic(t *testing.T) {
	const bound = 1 + RetryRatio + MinRetriesPerSecond/50*(1+1.0/20) + RetryRatio/20
	limited := func() *Budget { return NewBudget(RetryRatio, MinRetriesPerSecond) }
	unlimited := func() *Budget { return NewBudget(100, 1e9) }
	for _, failing := range []int{5, 15} {
		var with, without, answered, answeredWithout float64
		synctest.Test(t, func(t *testing.T) { with, answered = runLoad(t, 15, failing, limited) })
		synctest.Test(t, func(t *testing.T) { without, answeredWithout = runLoad(t, 15, failing, unlimited) })
		t.Logf("%d of 15 targets fail: %.3f with the budget (%.2f%% answered), %.3f without (%.2f%% answered)",
			failing, with, 100*answered, without, 100*answeredWithout)
		require.LessOrEqual(t, with, bound)
	}
}

// Guards against the retry of a non-repeatable request that may have been executed, and against a missing retry
// of a request that was not executed.
func TestRetryOnlyWhenSafe(t *testing.T) {
	lost := errors.New("connection lost")
	cases := []struct {
		name     string
		method   string
		respond  func() (*http.Response, bool, error)
		outcome  Outcome
		attempts int
	}{
		{"unknown, not repeatable", "POST", func() (*http.Response, bool, error) {
			return newResponse(502, headerOutcome, outcomeUnknown), true, nil
		}, Unknown, 1},
		{"connection lost, no ticket", "POST", func() (*http.Response, bool, error) { return nil, true, lost }, Unknown, 1},
		{"not run, not repeatable", "POST", func() (*http.Response, bool, error) {
			return newResponse(503, headerOutcome, outcomeNotRun), true, nil
		}, Answered, 2},
		{"malformed request", "GET", func() (*http.Response, bool, error) {
			return newResponse(400, headerOutcome, outcomeNotRun), true, nil
		}, NotRun, 1},
		{"unsent, not repeatable", "POST", func() (*http.Response, bool, error) { return nil, false, lost }, Answered, 2},
		{"unknown, repeatable", "GET", func() (*http.Response, bool, error) {
			return newResponse(504, headerOutcome, outcomeUnknown), true, nil
		}, Answered, 2},
		{"status 500", "GET", func() (*http.Response, bool, error) { return newResponse(500), true, nil }, Answered, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTargets{count: 3, respond: func(target int, _ *http.Request) (*http.Response, bool, error) {
					if target == 0 {
						return c.respond()
					}
					return newResponse(http.StatusOK), true, nil
				}}
				request, err := http.NewRequestWithContext(t.Context(), c.method, "/records", strings.NewReader("paste"))
				require.NoError(t, err)
				result := closeResponse(f.caller(t, Config{}).Do(request))
				require.Equal(t, c.outcome, result.Outcome)
				require.Equal(t, c.attempts, result.Attempts)
			})
		})
	}
}

// Guards against a retry with another ticket after an attempt that may have been executed, and against the
// outcome NotRun for a request of which one attempt was lost.
func TestRetryKeepsTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var seen []string
		f := &fakeTargets{count: 3, respond: func(_ int, r *http.Request) (*http.Response, bool, error) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, r.Header.Get(headerTicket))
			switch len(seen) {
			case 1:
				return newResponse(428, headerOutcome, outcomeNotRun, headerTicket, "a"), true, nil
			case 2:
				return nil, true, errors.New("connection lost")
			default:
				return newResponse(503, headerOutcome, outcomeNotRun, headerNextTicket, "b"), true, nil
			}
		}}
		result := closeResponse(f.caller(t, Config{Budget: NewBudget(1, 100)}).Do(postRequest(t, "/records", "paste")))
		require.Equal(t, Unknown, result.Outcome)
		require.Equal(t, "", seen[0])
		for _, ticket := range seen[1:] {
			require.Equal(t, "a", ticket)
		}
	})
}

// Guards against a caller that keeps sending requests to a loaded target, and against flows that all reach the same
// target.
func TestPrefersLessLoadedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var counts [3]atomic.Int64
		f := &fakeTargets{count: 3, respond: func(target int, _ *http.Request) (*http.Response, bool, error) {
			counts[target].Add(1)
			load := "1/9"
			if target == 0 {
				load = "9/9"
			}
			return newResponse(200, headerLoad, load), true, nil
		}}
		c := f.caller(t, Config{})
		for range 300 {
			require.Equal(t, Answered, closeResponse(c.Do(getRequest(t, "/"))).Outcome)
			time.Sleep(5 * time.Millisecond)
		}
		require.Less(t, counts[0].Load(), int64(20))
		require.Positive(t, counts[1].Load())
		require.Positive(t, counts[2].Load())
	})
}

// Guards against a request that does not return at its deadline or at the end of its context while no agent is
// reachable.
func TestDeadlineWithoutFlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCaller(Config{Deadline: time.Second}.withDefaults(), func(ctx context.Context) (session, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		defer c.Close()
		started := time.Now()
		result := c.Do(getRequest(t, "/"))
		require.Equal(t, NotRun, result.Outcome)
		require.Equal(t, ReasonDeadline, result.Reason)
		require.Equal(t, time.Second, time.Since(started))
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		time.AfterFunc(10*time.Millisecond, cancel)
		require.Equal(t, Canceled, c.Do(getRequest(t, "/").WithContext(ctx)).Outcome)
	})
}
