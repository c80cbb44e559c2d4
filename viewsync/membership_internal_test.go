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

// fleet runs the membership of many processes with a simulated clock and network.
type fleet struct {
	now     time.Duration
	nodes   []*fleetNode
	byAddr  map[netip.AddrPort]*fleetNode
	random  *rand.Rand
	loss    float64 // probability that a datagram is lost
	updates uint32
}

type fleetNode struct {
	*membership
	down      bool
	offset    time.Duration // of its hellos within helloPeriod
	sent      int           // in bytes, without UDP and IP headers
	received  int
	updatedAt time.Duration // when the last update arrived
}

// updatePeriod is the longest interval between two updates of a reader.
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

// run advances the clock by duration. The reader, if not nil, sends updates.
func (f *fleet) run(duration time.Duration, reader *fleetNode) {
	const step = 50 * time.Millisecond
	for end := f.now + duration; f.now < end; f.now += step {
		for _, node := range f.nodes {
			if !node.down && (f.now-node.offset)%helloPeriod < step {
				f.deliver(node, &message{Kind: kindHello}, node.helloEnvelopes(f.now))
			}
		}
		if reader != nil && !reader.down && f.now%updatePeriod < step {
			f.updates++
			f.deliver(reader, &message{Kind: kindUpdate, Reader: reader.self, Sequence: f.updates}, reader.updateEnvelopes(f.now))
		}
	}
}

func (f *fleet) deliver(from *fleetNode, m *message, envelopes []envelope) {
	m.Domain = from.domain
	for _, e := range envelopes {
		m.Forward, m.WantsPeers, m.Members = e.forward, e.wantsPeers, e.members
		datagram, _ := m.encode()
		for _, to := range e.to {
			from.sent += len(datagram)
			node := f.byAddr[to]
			if node == nil || node.down || f.random.Float64() < f.loss {
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
	changed := node.observe(from.self, m.Domain, m.Members, f.now)
	if m.WantsPeers {
		f.deliver(node, &message{Kind: kindHello}, []envelope{node.replyEnvelope(from.self, f.now)})
	}
	if changed {
		f.deliver(node, &message{Kind: kindHello}, node.helloEnvelopes(f.now))
	}
	if m.Kind != kindUpdate || m.Reader == node.self {
		return
	}
	node.updatedAt = f.now
	if m.Forward && node.markForwarded(m.Reader, m.Sequence, m.Part) {
		forwarded := *m
		f.deliver(node, &forwarded, node.forwardEnvelopes(m.Reader, m.Domain, f.now))
	}
}

// requireUpdated checks that every running process except the reader received an update within limit.
func (f *fleet) requireUpdated(t *testing.T, reader *fleetNode, limit time.Duration) {
	t.Helper()
	for _, node := range f.nodes {
		if !node.down && node != reader {
			require.LessOrEqual(t, f.now-node.updatedAt, limit, "last update of %s", node.self)
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
	// maxControlBytesPerSecond is the share of membership and updates in the 26 KB per second that a process
	// may use for control traffic at the planned size. The rest is for the reports of agents.
	maxControlBytesPerSecond = 14_800
	convergenceTime          = 8 * time.Second
)

// In a fleet of the planned size, all processes in eight failure domains start at once and know only three
// seeds. No process may exceed its share of control traffic.
func TestControlTrafficAtPlannedSize(t *testing.T) {
	f := newFleet(8, 90, 3)
	reader := f.nodes[len(f.nodes)-1]
	f.run(convergenceTime, reader)
	f.requireUpdated(t, reader, 2*updatePeriod)
	f.resetCounts()
	const duration = 5 * time.Second
	f.run(duration, reader)
	worstSent, worstReceived := 0, 0
	for _, node := range f.nodes {
		worstSent = max(worstSent, node.sent/int(duration/time.Second))
		worstReceived = max(worstReceived, node.received/int(duration/time.Second))
	}
	t.Logf("bytes per second, maximum over all processes: %d out, %d in", worstSent, worstReceived)
	require.LessOrEqual(t, worstSent+worstReceived, maxControlBytesPerSecond)
}

// Updates reach all processes of deployments of several sizes despite packet loss.
func TestUpdatesReachAllProcessesOnLossyLinks(t *testing.T) {
	for _, size := range []struct{ domains, perDomain int }{{1, 1}, {1, 5}, {3, 2}, {4, 7}, {3, 30}} {
		t.Run(fmt.Sprintf("%d domains of %d processes", size.domains, size.perDomain), func(t *testing.T) {
			f := newFleet(size.domains, size.perDomain, 3)
			f.loss = 0.02
			for _, reader := range []*fleetNode{f.nodes[0], f.nodes[len(f.nodes)-1], f.nodes[len(f.nodes)/2]} {
				f.run(convergenceTime, reader)
				f.requireUpdated(t, reader, 2*updatePeriod) // a lost update is repaired by the next one
			}
		})
	}
}

// Both relays of a failure domain fail at once. The processes with the next-lowest addresses must replace
// them as soon as they have timed out.
func TestUpdatesAfterBothRelaysOfDomainFail(t *testing.T) {
	f := newFleet(3, 10, 3)
	reader := f.nodes[29]
	f.run(convergenceTime, reader)
	f.nodes[10].down, f.nodes[11].down = true, true
	f.run(memberTimeout+2*helloPeriod+updatePeriod, reader) // until they time out and the others know the new relays
	f.requireUpdated(t, reader, readerTimeout)
}

// The failure of one relay must not delay updates.
func TestUpdatesAfterOneRelayFails(t *testing.T) {
	f := newFleet(3, 10, 3)
	reader := f.nodes[0]
	f.run(convergenceTime, reader)
	f.nodes[10].down = true
	f.run(updatePeriod+50*time.Millisecond, reader)
	f.requireUpdated(t, reader, readerTimeout)
}

// All seeds are down when the fleet starts, so its processes cannot discover each other. They must do so once
// a seed is running again.
func TestSeparateGroupsMergeThroughSeed(t *testing.T) {
	f := newFleet(2, 6, 1)
	seed := f.nodes[0]
	seed.down = true
	f.run(convergenceTime, nil)
	reader := f.nodes[11]
	f.run(convergenceTime, reader)
	require.Zero(t, f.nodes[1].liveCount(f.now), "without a seed, no process discovers another")
	seed.down = false
	f.run(convergenceTime, reader)
	f.requireUpdated(t, reader, readerTimeout)
}

// Without updates, as during an outage of the store, relays and the other processes of their failure domain
// must still know each other.
func TestMembershipIsStableWithoutUpdates(t *testing.T) {
	f := newFleet(3, 8, 3)
	f.run(convergenceTime, nil)
	f.resetCounts()
	f.run(convergenceTime, nil)
	for _, node := range f.nodes {
		require.Len(t, node.relays(f.now), relaysPerDomain)
		require.Equal(t, f.relaysOf(node.domain), node.relays(f.now))
		require.LessOrEqual(t, node.sent+node.received, maxControlBytesPerSecond*int(convergenceTime/time.Second))
	}
}

// All processes start at once, and the first queries of some to the seeds are lost, so that separate groups
// form. The groups must merge soon; otherwise each group confirms the view with its own reader for seconds.
func TestSeedsAreQueriedOftenDuringStartup(t *testing.T) {
	const domain = 1
	now := time.Minute
	seed := nodeAddress(0, 0)
	m := newMembership(nodeAddress(0, 1), domain, []netip.AddrPort{seed})
	queriesSeed := func() bool {
		for _, e := range m.helloEnvelopes(now) {
			if e.wantsPeers {
				return true
			}
		}
		return false
	}
	require.True(t, queriesSeed())
	m.observe(nodeAddress(0, 2), domain, nil, now) // another process unknown to the seed
	now += startupHelloPeriod
	require.True(t, queriesSeed())
	for range 10 {
		now += helloPeriod
		m.observe(nodeAddress(0, 2), domain, nil, now)
		queriesSeed()
	}
	now += startupHelloPeriod
	require.False(t, queriesSeed(), "after startup, the seeds are queried rarely")
}
