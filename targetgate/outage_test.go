package targetgate_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/targetgate"
)

// arrival is a request of the simulation below.
type arrival struct {
	port      int
	at        time.Duration
	firstSent time.Duration // when its caller first sent it; before at for a retry
}

type completion struct {
	at   time.Duration
	port int
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// After a power failure of 1.4 s, callers retry their requests while others send new ones. Together these are
// more than the targets can serve, which are slow for the first two seconds. The retries are already late; the
// new requests should be answered in time.
func TestRetriesAfterPowerFailureDelayFewNewRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	load := outage{
		slots: 4, objective: 400 * ms, budget: 4 * time.Second, downtime: 1400 * ms,
		newRate:     33, // of the 44 per second that the cold target can serve
		retryRate:   33,
		newPeriod:   3 * time.Second,
		serviceTime: serviceTimeAt,
	}
	inTime, late, unserved := load.simulate(t, load.arrivals(rng))
	t.Logf("new requests: %d in time, %d late; new requests and retries: %d unserved", inTime, late, unserved)
	require.LessOrEqual(t, float64(late), 0.1*float64(inTime+late))
	require.Zero(t, unserved)
}

// outage describes the requests that one target gets after a power failure which ends at 10 s, and how it serves
// them.
type outage struct {
	slots              int
	objective          time.Duration // time within which a response is in time
	budget             time.Duration // time for which a caller waits
	downtime           time.Duration // duration of the failure, and of the retries that follow it
	newRate, retryRate float64       // requests per second
	newPeriod          time.Duration // duration of the new requests
	serviceTime        func(now time.Duration) time.Duration
}

// arrivals returns retries, each the downtime after its request was first sent, and new requests at random
// intervals.
func (o *outage) arrivals(rng *rand.Rand) []arrival {
	var all []arrival
	gap := func(rate float64) time.Duration { return time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) }
	const start = 10 * time.Second
	for at := start; at < start+o.downtime; at += gap(o.retryRate) {
		all = append(all, arrival{at: at, firstSent: at - o.downtime})
	}
	for at := start; at < start+o.newPeriod; at += gap(o.newRate) {
		all = append(all, arrival{at: at, firstSent: at})
	}
	return all
}

// serviceTimeAt returns the service time of a target that starts at 10 s and is cold for two seconds.
func serviceTimeAt(now time.Duration) time.Duration {
	if now < 12*time.Second {
		return 90 * ms
	}
	return 56 * ms
}

// simulate runs the arrivals against one target. It returns how many of the new requests that were answered
// within their callers' budget were in time and how many late, and how many of all requests were not answered
// within it.
func (o *outage) simulate(t *testing.T, arrivals []arrival) (inTime, late, unserved int) {
	t.Helper()
	g := targetgate.New()
	pending := &completions{}
	running := 0
	unanswered := make(map[int]arrival)
	begin := func(port int, now time.Duration) {
		// Requests beyond the slots wait inside the target.
		running++
		duration := o.serviceTime(now) * time.Duration(max(running, o.slots)) / time.Duration(o.slots)
		heap.Push(pending, completion{at: now + duration, port: port})
	}
	for now := 9 * time.Second; now < 20*time.Second; now += ms {
		for pending.Len() > 0 && (*pending)[0].at <= now {
			end := heap.Pop(pending).(completion)
			running--
			g.FromTarget(keyOf(end.port), response, now)
			a := unanswered[end.port]
			delete(unanswered, end.port)
			switch {
			case now-a.firstSent > o.budget:
				unserved++
			case a.firstSent < a.at:
			case now-a.firstSent <= o.objective:
				inTime++
			default:
				late++
			}
		}
		for i := range arrivals {
			a := &arrivals[i]
			if a.at > now || a.port != 0 {
				continue
			}
			a.port = 1000 + i
			next := lastOffer(a.port, 0)
			next.Slots, next.LatencyObjective = o.slots, o.objective
			unanswered[a.port] = *a
			if openFlow(t, g, next, o.budget-(now-a.firstSent), now) == targetgate.ActionStartRequest {
				begin(a.port, now)
			}
		}
		for {
			key, ok := g.NextRequest(now)
			if !ok {
				break
			}
			begin(int(key.Caller.Port), now)
		}
	}
	return inTime, late, unserved + len(unanswered)
}
