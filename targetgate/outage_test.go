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
	port  int
	at    time.Duration
	asked time.Duration // when its caller first asked
}

type ending struct {
	at   time.Duration
	port int
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Pattern: after a loss of power that lasted 1.4 s callers ask again, while others ask for the first time. Together they are
// more than targets work off, which are slow for two seconds. Those that ask again are late already; the others are to be in
// time.
func TestRequestsAskedAgainAfterALossOfPowerMakeFewOthersLate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	load := outage{
		slots: 4, aim: 400 * ms, budget: 4 * time.Second, lasted: 1400 * ms,
		fresh: 33, // of the 44 that the cold target works off
		again: 33,
		until: 3 * time.Second,
		work:  workAt,
	}
	inTime, late, unserved := load.simulate(t, load.arrivals(rng))
	t.Logf("first asked: %d in time, %d late; %d of all unserved", inTime, late, unserved)
	require.LessOrEqual(t, float64(late), 0.1*float64(inTime+late))
	require.Zero(t, unserved)
}

// outage is what one target gets after a loss of power, from 10 s on.
type outage struct {
	slots        int
	aim          time.Duration // within which an answer is in time
	budget       time.Duration // for which a caller waits
	lasted       time.Duration // and for so long callers ask again from then on
	fresh, again float64       // requests a second
	until        time.Duration // for which callers ask for the first time
	work         func(now time.Duration) time.Duration
}

// arrivals returns the requests that come.
func (o *outage) arrivals(rng *rand.Rand) []arrival {
	var all []arrival
	gap := func(rate float64) time.Duration { return time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) }
	const start = 10 * time.Second
	for at := start; at < start+o.lasted; at += gap(o.again) {
		all = append(all, arrival{at: at, asked: at - o.lasted})
	}
	for at := start; at < start+o.until; at += gap(o.fresh) {
		all = append(all, arrival{at: at, asked: at})
	}
	return all
}

// workAt returns the time of a request at a target that starts 10 s after the beginning.
func workAt(now time.Duration) time.Duration {
	if now < 12*time.Second {
		return 90 * ms
	}
	return 56 * ms
}

// simulate plays the arrivals at one target. It returns how many requests that were asked for the first time were answered in
// time and late, and how many of all were not answered within their callers' budget.
func (o *outage) simulate(t *testing.T, arrivals []arrival) (inTime, late, unserved int) {
	t.Helper()
	g := targetgate.New()
	ends := &endings{}
	running := 0
	asked := make(map[int]arrival)
	begin := func(port int, now time.Duration) {
		// What is above the slots waits inside the target.
		running++
		took := o.work(now) * time.Duration(max(running, o.slots)) / time.Duration(o.slots)
		heap.Push(ends, ending{at: now + took, port: port})
	}
	for now := 9 * time.Second; now < 20*time.Second; now += ms {
		for ends.Len() > 0 && (*ends)[0].at <= now {
			end := heap.Pop(ends).(ending)
			running--
			g.FromTarget(keyOf(end.port), answer, now)
			a := asked[end.port]
			delete(asked, end.port)
			switch {
			case now-a.asked > o.budget:
				unserved++
			case a.asked < a.at:
			case now-a.asked <= o.aim:
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
			next := last(a.port, 0)
			next.Slots, next.LatencyObjective = o.slots, o.aim
			asked[a.port] = *a
			if open(t, g, next, o.budget-(now-a.asked), now) == targetgate.ActionStartRequest {
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
	return inTime, late, unserved + len(asked)
}
