package viewsync

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
)

// fleet runs the membership of many processes against a clock of its own.
type fleet struct {
	now     time.Duration
	nodes   []*fleetNode
	byAddr  map[netip.AddrPort]*fleetNode
	random  *rand.Rand
	loss    float64
	updates uint32
}

type fleetNode struct {
	*membership
	dead     bool
	offset   time.Duration // of its hellos within their period
	sent     int           // bytes, headers of UDP and IP left out
	received int
	updated  time.Duration // when the last update came
}

// updatePeriod is the longest pause between two updates of a reader.
const updatePeriod = watchWait + watchPause

func newFleet(domains, perDomain, seeds int) *fleet {
	f := &fleet{now: time.Minute, byAddr: make(map[netip.AddrPort]*fleetNode), random: rand.New(rand.NewPCG(1, 1))}
	var seedList []netip.AddrPort
	for n := range seeds {
		seedList = append(seedList, nodeAddress(n%domains, n))
	}
	for d := range domains {
		for n := range perDomain {
			f.add(d, n, seedList)
		}
	}
	return f
}

func nodeAddress(domain, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), byte(n >> 8), byte(n)}), 7000)
}

func (f *fleet) add(domain, n int, seeds []netip.AddrPort) *fleetNode {
	self := nodeAddress(domain, n)
	tag := directory.NameHash(fmt.Sprintf("domain-%d", domain))
	node := &fleetNode{membership: newMembership(self, tag, seeds), offset: time.Duration(f.random.Int64N(int64(helloPeriod)))}
	f.nodes = append(f.nodes, node)
	f.byAddr[self] = node
	return node
}

// run lets time pass. The reader, if there is one, sends updates.
func (f *fleet) run(length time.Duration, reader *fleetNode) {
	const tick = 50 * time.Millisecond
	for end := f.now + length; f.now < end; f.now += tick {
		for _, node := range f.nodes {
			if !node.dead && (f.now-node.offset)%helloPeriod < tick {
				f.deliver(node, &message{Kind: kindHello}, node.hellos(f.now))
			}
		}
		if reader != nil && !reader.dead && f.now%updatePeriod < tick {
			f.updates++
			f.deliver(reader, &message{Kind: kindUpdate, Reader: reader.self, Number: f.updates}, reader.spread(f.now))
		}
	}
}

func (f *fleet) deliver(from *fleetNode, m *message, envelopes []envelope) {
	m.Domain = from.domain
	for _, e := range envelopes {
		m.Pass, m.Asks, m.Members = e.pass, e.asks, e.members
		datagram, _ := m.encode()
		for _, to := range e.to {
			from.sent += len(datagram)
			node := f.byAddr[to]
			if node == nil || node.dead || f.random.Float64() < f.loss {
				continue
			}
			decoded, err := decodeMessage(datagram)
			if err != nil {
				panic(err)
			}
			f.receive(node, decoded, from, len(datagram))
		}
	}
}

func (f *fleet) receive(node *fleetNode, m *message, from *fleetNode, size int) {
	node.received += size
	changed := node.learn(from.self, m.Domain, m.Members, f.now)
	if m.Asks {
		f.deliver(node, &message{Kind: kindHello}, []envelope{node.answer(from.self, f.now)})
	}
	if changed {
		f.deliver(node, &message{Kind: kindHello}, node.hellos(f.now))
	}
	if m.Kind != kindUpdate || m.Reader == node.self {
		return
	}
	node.updated = f.now
	if m.Pass && node.isNews(m.Reader, m.Number, m.Part) {
		passed := *m
		f.deliver(node, &passed, node.passOn(m.Reader, m.Domain, f.now))
	}
}

// requireUpdated checks that each live process but the reader got an update lately.
func (f *fleet) requireUpdated(t *testing.T, reader *fleetNode, limit time.Duration) {
	t.Helper()
	for _, node := range f.nodes {
		if !node.dead && node != reader {
			require.LessOrEqual(t, f.now-node.updated, limit, "last update of %s", node.self)
		}
	}
}

// relaysOf returns the processes of a failure domain with the lowest addresses.
func (f *fleet) relaysOf(domain uint32) []netip.AddrPort {
	var relays []netip.AddrPort
	for _, node := range f.nodes {
		if node.domain == domain && len(relays) < relaysPerDomain {
			relays = append(relays, node.self)
		}
	}
	return relays
}

func (f *fleet) resetCounts() {
	for _, node := range f.nodes {
		node.sent, node.received = 0, 0
	}
}

const (
	// controlBytes is the share of membership and updates in the 26 KB a second that a process may spend for control at the
	// planned size. Reports of agents get the rest.
	controlBytes = 14_800
	settleTime   = 8 * time.Second
)

// Pattern: a fleet of the planned size in eight failure domains whose processes all start at once and know three seeds
// only. No process may spend more than its share on control messages.
func TestMembershipAtThePlannedSize(t *testing.T) {
	f := newFleet(8, 90, 3)
	reader := f.nodes[len(f.nodes)-1]
	f.run(settleTime, reader)
	f.requireUpdated(t, reader, 2*updatePeriod)
	f.resetCounts()
	const length = 5 * time.Second
	f.run(length, reader)
	worstSent, worstReceived := 0, 0
	for _, node := range f.nodes {
		worstSent = max(worstSent, node.sent/int(length/time.Second))
		worstReceived = max(worstReceived, node.received/int(length/time.Second))
	}
	t.Logf("bytes a second of the busiest process: %d out, %d in", worstSent, worstReceived)
	require.LessOrEqual(t, worstSent+worstReceived, controlBytes)
}

// Pattern: deployments of several sizes with lossy links.
func TestUpdatesReachAllInSmallFleets(t *testing.T) {
	for _, size := range []struct{ domains, perDomain int }{{1, 1}, {1, 5}, {3, 2}, {4, 7}, {3, 30}} {
		t.Run(fmt.Sprintf("%d by %d", size.domains, size.perDomain), func(t *testing.T) {
			f := newFleet(size.domains, size.perDomain, 3)
			f.loss = 0.02
			for _, reader := range []*fleetNode{f.nodes[0], f.nodes[len(f.nodes)-1], f.nodes[len(f.nodes)/2]} {
				f.run(settleTime, reader)
				f.requireUpdated(t, reader, 2*updatePeriod) // the next update repairs the loss of one
			}
		})
	}
}

// Both relays of a failure domain die at once. Those that follow them take their place as soon as they count as gone.
func TestRelaysOfADomainDie(t *testing.T) {
	f := newFleet(3, 10, 3)
	reader := f.nodes[29]
	f.run(settleTime, reader)
	f.nodes[10].dead, f.nodes[11].dead = true, true
	f.run(memberLife+2*helloPeriod+updatePeriod, reader) // until they count as gone, and the others found who follows them
	f.requireUpdated(t, reader, patience)
}

// The loss of one relay delays no update.
func TestOneRelayDies(t *testing.T) {
	f := newFleet(3, 10, 3)
	reader := f.nodes[0]
	f.run(settleTime, reader)
	f.nodes[10].dead = true
	f.run(updatePeriod+50*time.Millisecond, reader)
	f.requireUpdated(t, reader, patience)
}

// All seeds are down when a part of the fleet starts, so that it does not know the other part. The parts meet once a seed
// is back.
func TestGroupsMeetThroughASeed(t *testing.T) {
	f := newFleet(2, 6, 1)
	seed := f.nodes[0]
	seed.dead = true
	f.run(settleTime, nil)
	reader := f.nodes[11]
	f.run(settleTime, reader)
	require.Zero(t, f.nodes[1].live(f.now), "nobody knows of another process without a seed")
	seed.dead = false
	f.run(settleTime, reader)
	f.requireUpdated(t, reader, patience)
}

// Without updates, as while the store is away, relays and the others of their domain still know each other.
func TestPeersStayKnownWithoutUpdates(t *testing.T) {
	f := newFleet(3, 8, 3)
	f.run(settleTime, nil)
	f.resetCounts()
	f.run(settleTime, nil)
	for _, node := range f.nodes {
		require.Len(t, node.relays(f.now), relaysPerDomain)
		require.Equal(t, f.relaysOf(node.domain), node.relays(f.now))
		require.LessOrEqual(t, node.sent+node.received, controlBytes*int(settleTime/time.Second))
	}
}

// Pattern: all processes start at the same moment, and the seeds miss the first questions of some. Groups that formed must
// meet before each of them has confirmed its own view for seconds.
func TestGroupsThatFormAtAStartMeetSoon(t *testing.T) {
	const domain = 1
	now := time.Minute
	seed := nodeAddress(0, 0)
	m := newMembership(nodeAddress(0, 1), domain, []netip.AddrPort{seed})
	asksSeed := func() bool {
		for _, e := range m.hellos(now) {
			if e.asks {
				return true
			}
		}
		return false
	}
	require.True(t, asksSeed())
	m.learn(nodeAddress(0, 2), domain, nil, now) // another process that the seed does not know either
	now += youngPeriod
	require.True(t, asksSeed())
	for range 10 {
		now += helloPeriod
		m.learn(nodeAddress(0, 2), domain, nil, now)
		asksSeed()
	}
	now += youngPeriod
	require.False(t, asksSeed(), "later the seeds are asked rarely")
}
