package targetgate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/targetgate"
)

// serveRequests sends the target a request every 20 ms for one second, and a response 10 ms after each. The
// responses to the requests that fail have the given status, the others 200.
func serveRequests(g *targetgate.Gate, from time.Duration, status int, fails func(n int) bool) (end time.Duration) {
	now := from
	for n := range 50 {
		port := int(now / ms)
		g.Offer(offer(port), now)
		g.FromCaller(keyOf(port), request(1), flow.Endpoint{}, now)
		reply := &flow.Packet{AckFlag: true, DataLen: 500, ResponseStatus: 200}
		if fails(n) {
			reply.ResponseStatus = status
		}
		g.FromTarget(keyOf(port), reply, now+10*ms)
		now += 20 * ms
	}
	return now
}

func TestFailureRatioByStatus(t *testing.T) {
	for status, failure := range map[int]bool{200: false, 404: false, 429: true, 500: true, 503: true} {
		g := targetgate.New()
		end := serveRequests(g, time.Second, status, func(n int) bool { return n%5 < 2 })
		if !failure {
			require.Zero(t, g.FailureRatio(end), "status %d", status)
			continue
		}
		require.InDelta(t, 0.4, g.FailureRatio(end), 0.15, "status %d", status)
		require.Less(t, g.FailureRatio(end+4*encap.FailedShareHalfLife), 0.05, "decays, so that the target is tried again")
	}
}

func TestSingleFailureHardlyRaisesFailureRatio(t *testing.T) {
	g := targetgate.New()
	end := serveRequests(g, time.Second, 500, func(n int) bool { return n == 48 })
	require.Less(t, g.FailureRatio(end), 0.1)
}

func TestResetsAndMissingResponsesAreFailures(t *testing.T) {
	ends := map[string]func(g *targetgate.Gate, port int){
		"reset by the target": func(g *targetgate.Gate, port int) {
			g.FromTarget(keyOf(port), &flow.Packet{Reset: true}, time.Second+100*ms)
		},
		"reset by the caller": func(g *targetgate.Gate, port int) {
			g.FromCaller(keyOf(port), &flow.Packet{Reset: true}, flow.Endpoint{}, time.Second+900*ms)
		},
		"no response": func(g *targetgate.Gate, _ int) { g.Expire(time.Second + 1100*ms) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			g := targetgate.New()
			for port := 1; port <= 9; port++ {
				g.Offer(offer(port), time.Second)
				g.FromCaller(keyOf(port), request(1), flow.Endpoint{}, time.Second)
			}
			for port := 1; port <= 9; port++ {
				end(g, port)
			}
			require.Greater(t, g.FailureRatio(time.Second+1100*ms), 0.2)
		})
	}
}

// If a target hangs on some of its requests, those must not keep requests that it would answer in the queue for
// longer than stuckTimeout.
func TestStuckRequestsReleaseTheirSlots(t *testing.T) {
	g := targetgate.New()
	requests := fillSlots(g, time.Second)
	openFlow(t, g, lastOffer(100, 0), 4*time.Second, time.Second)
	require.Equal(t, 1, g.Waiting())
	now := time.Second + 1100*ms
	key, ok := g.NextRequest(now)
	require.True(t, ok)
	require.Equal(t, keyOf(100), key)
	require.Equal(t, requests+1, g.Load(), "stuck requests still count, so that new flows go to other targets")
	g.FromTarget(keyOf(1), response, now)
	require.Equal(t, requests, g.Load(), "a stuck request ends if its response arrives late")
}

// If a slow target answers a request only after stuckTimeout, the request is exactly one failure, whatever the
// response.
func TestStuckRequestIsOneFailureWhateverFollows(t *testing.T) {
	late := time.Second + 1200*ms
	for name, reply := range map[string]*flow.Packet{
		"response": {AckFlag: true, DataLen: 500, ResponseStatus: 200},
		"error":    {AckFlag: true, DataLen: 500, ResponseStatus: 500},
		"reset":    {Reset: true},
		"FIN":      {AckFlag: true, Fin: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := targetgate.New()
			g.Offer(offer(1), time.Second)
			g.FromCaller(keyOf(1), request(1), flow.Endpoint{}, time.Second)
			g.Expire(late)
			failed := g.FailureRatio(late)
			require.NotZero(t, failed)
			g.FromTarget(keyOf(1), reply, late)
			require.InDelta(t, failed, g.FailureRatio(late), 1e-9)
		})
	}
}

// The packets of a short response may arrive in any order, even in reverse with the FIN first.
func TestPacketsOfResponseInAnyOrder(t *testing.T) {
	status := &flow.Packet{AckFlag: true, Seq: 7001, DataLen: 150, ResponseStatus: 500}
	body := &flow.Packet{AckFlag: true, Seq: 7151, DataLen: 100}
	fin := &flow.Packet{AckFlag: true, Seq: 7251, Fin: true}
	for _, order := range [][]*flow.Packet{{status, body, fin}, {fin, body, status}, {body, status, fin}} {
		g := targetgate.New()
		g.Offer(offer(1), time.Second)
		g.FromTarget(keyOf(1), &flow.Packet{Syn: true, AckFlag: true, Seq: 7000}, time.Second)
		g.FromCaller(keyOf(1), requestAcknowledging(7000), flow.Endpoint{}, time.Second)
		var durations []time.Duration
		for _, p := range order {
			if _, duration := g.FromTarget(keyOf(1), p, time.Second+30*ms); duration > 0 {
				durations = append(durations, duration)
			}
		}
		g.Expire(time.Second + 30*ms)
		require.Zero(t, g.Load())
		require.Equal(t, []time.Duration{30 * ms}, durations, "returned once, for the packet with the status")
		require.InDelta(t, 0.05, g.FailureRatio(time.Second+30*ms), 0.001)
		require.Zero(t, g.TakeLost())
	}
}

func TestFlowClosedByTargetWithoutResponse(t *testing.T) {
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	g.FromTarget(keyOf(1), &flow.Packet{Syn: true, AckFlag: true, Seq: 7000}, time.Second)
	g.FromCaller(keyOf(1), requestAcknowledging(7000), flow.Endpoint{}, time.Second)
	g.FromTarget(keyOf(1), &flow.Packet{AckFlag: true, Seq: 7001, Fin: true}, time.Second+ms)
	g.Expire(time.Second + ms)
	require.Zero(t, g.Load())
	require.Equal(t, 1, g.TakeLost())
	require.Positive(t, g.FailureRatio(time.Second+ms))
}
