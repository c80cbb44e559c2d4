package viewsync_test

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/platform/platformtest"
)

func TestChangesReachAllProcesses(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	putTarget(s, 1)
	nodes := startFleet(t, s, 4)
	requireVersion(t, 1, nodes...)
	putConfig(s, 2)
	requireVersion(t, 2, nodes...)
	s.RemoveTarget("i-1")
	for _, n := range nodes {
		require.Eventually(t, func() bool { return n.targets() == 0 }, convergenceTimeout, 10*time.Millisecond)
	}
}

// Every store request has a cost, so a single process must read the store for the whole fleet.
func TestOneProcessReadsStoreForFleet(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	nodes := startFleet(t, s, 6)
	requireVersion(t, 1, nodes...)
	time.Sleep(2 * time.Second) // the processes discover each other and agree on a reader
	before := s.RequestCount()
	time.Sleep(3 * time.Second)
	calls := s.RequestCount() - before
	require.LessOrEqual(t, calls, 10, "one reader sends at most two requests per second, and a change of reader adds a few")
	require.Positive(t, calls)
}

func TestReaderFailoverWhenStoreRejectsReader(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	nodes := startFleet(t, s, 4)
	requireVersion(t, 1, nodes...)
	rejectRequestsFrom(s, waitForReader(t, nodes))
	putConfig(s, 2)
	requireVersion(t, 2, nodes...)
}

func TestReaderFailoverWhenReaderStops(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	nodes := startFleet(t, s, 4)
	requireVersion(t, 1, nodes...)
	reader := waitForReader(t, nodes)
	reader.stop()
	remaining := slices.DeleteFunc(nodes, func(n *node) bool { return n == reader })
	putConfig(s, 2)
	requireVersion(t, 2, remaining...)
}

func TestStartDuringStoreOutageFetchesViewFromPeer(t *testing.T) {
	s := newStore(t)
	putConfig(s, 7)
	first := startNode(t, s, 1)
	requireVersion(t, 7, first)
	s.SetRejectFunc(func(*http.Request) int { return http.StatusServiceUnavailable })
	second := startNode(t, s, 2, first.self)
	requireVersion(t, 7, second)
}

func TestSnapshotIsReadWhenHistoryIsGone(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	putTarget(s, 1)
	n := startNode(t, s, 1)
	requireVersion(t, 1, n)
	s.SetRejectFunc(func(*http.Request) int { return http.StatusServiceUnavailable })
	time.Sleep(600 * time.Millisecond)
	putConfig(s, 2)
	s.RemoveTarget("i-1")
	s.CompactHistory()
	s.SetRejectFunc(nil)
	requireVersion(t, 2, n)
	require.Eventually(t, func() bool { return n.targets() == 0 }, convergenceTimeout, 10*time.Millisecond)
}

// Targets that were removed during an outage of the store stay for a grace period of two seconds after its
// end. They are then removed unless their entries were written again.
func TestTargetsRemovedDuringOutageGetGracePeriod(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	putTarget(s, 1)
	putTarget(s, 2)
	n := startNode(t, s, 1)
	require.Eventually(t, func() bool { return n.targets() == 2 }, convergenceTimeout, 10*time.Millisecond)
	s.SetRejectFunc(func(*http.Request) int { return http.StatusServiceUnavailable })
	time.Sleep(2500 * time.Millisecond)
	s.RemoveTarget("i-1")
	s.RemoveTarget("i-2")
	s.SetRejectFunc(nil)
	time.Sleep(time.Second)
	require.Equal(t, 2, n.targets())
	putTarget(s, 1)
	require.Eventually(t, func() bool { return n.targets() == 1 }, convergenceTimeout, 10*time.Millisecond)
}

func TestConfirmationRefreshesViewAge(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	nodes := startFleet(t, s, 3)
	requireVersion(t, 1, nodes...)
	time.Sleep(1500 * time.Millisecond)
	for _, n := range nodes {
		n.syncer.RequestConfirmation()
		require.Eventually(t, func() bool { return n.syncer.ViewAge() < 60*time.Millisecond }, 500*time.Millisecond, time.Millisecond)
	}
}

// A configuration with many routes does not fit into a datagram and is fetched.
func TestLargeConfigurationReachesAllProcesses(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	nodes := startFleet(t, s, 3)
	requireVersion(t, 1, nodes...)
	routes := make([]platformtest.Route, 500)
	for n := range routes {
		routes[n] = route(byte(n%250), uint16(1000+n))
	}
	s.PutConfig(platformtest.Config(2, routes))
	requireVersion(t, 2, nodes...)
}

func TestInvalidDatagramsAreIgnored(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	n := startNode(t, s, 1)
	requireVersion(t, 1, n)
	conn, err := net.Dial("udp4", n.self.String())
	require.NoError(t, err)
	defer conn.Close()
	for _, datagram := range []string{"", "x", "{", `{"Update":true,"Records":[{"Kind":9}]}`, `{"Update":7}`} {
		_, err := conn.Write([]byte(datagram))
		require.NoError(t, err)
	}
	putConfig(s, 2)
	requireVersion(t, 2, n)
}

func TestConfigVersionNeverDecreases(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	nodes := startFleet(t, s, 3)
	for version := 2; version <= 12; version++ {
		putConfig(s, version)
		time.Sleep(60 * time.Millisecond)
	}
	requireVersion(t, 12, nodes...)
	for _, n := range nodes {
		n.mu.Lock()
		require.IsNonDecreasing(t, n.versions)
		n.mu.Unlock()
	}
}

// A reader that started after a removal has never seen the entry, so its updates do not contain the removal.
// A peer that missed the removal must nevertheless remove the entry.
func TestReaderStartedAfterRemovalPropagatesIt(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	putTarget(s, 1)
	putTarget(s, 2)
	old := startNode(t, s, 2)
	require.Eventually(t, func() bool { return old.targets() == 2 }, convergenceTimeout, 10*time.Millisecond)
	rejectRequestsFrom(s, old)
	time.Sleep(time.Second)
	s.RemoveTarget("i-1")
	fresh := startNode(t, s, 1, old.self)
	require.Eventually(t, func() bool { return fresh.targets() == 1 }, convergenceTimeout, 10*time.Millisecond)
	putConfig(s, 2)
	requireVersion(t, 2, old, fresh)
	require.Eventually(t, func() bool { return old.targets() == 1 }, convergenceTimeout, 10*time.Millisecond)
}

// The store rejects all requests while many flows request a confirmed view. Rejected requests also have a
// cost and do not help the flows, so the processes must back off.
func TestRetriesBackOffWhenStoreRejectsRequests(t *testing.T) {
	s := newStore(t)
	putConfig(s, 1)
	nodes := startFleet(t, s, 4)
	requireVersion(t, 1, nodes...)
	s.SetRejectFunc(func(*http.Request) int { return http.StatusServiceUnavailable })
	time.Sleep(2 * time.Second) // until all nodes have noticed the outage
	before := s.RequestCount()
	const duration = 3 * time.Second
	requestConfirmations(nodes, duration)
	const callsPerSecond = 3 // by each process
	require.LessOrEqual(t, s.RequestCount()-before, callsPerSecond*len(nodes)*int(duration/time.Second))
	s.SetRejectFunc(nil)
	putConfig(s, 2)
	requireVersion(t, 2, nodes...)
}

// All processes start at once, as after a power loss, and each has flows that wait for a confirmed view. One
// process must confirm the view for all.
func TestReaderConfirmsForFleetAfterSimultaneousStart(t *testing.T) {
	const (
		processes     = 6
		duration      = 3 * time.Second
		confirmations = 25 // maximum per second
		watches       = 2  // per second
		readerChanges = 2 * processes
	)
	s := newStore(t)
	putConfig(s, 1)
	nodes := startFleet(t, s, processes)
	requireVersion(t, 1, nodes...)
	before := s.RequestCount()
	requestConfirmations(nodes, duration)
	limit := (confirmations+watches)*int(duration/time.Second) + readerChanges
	require.LessOrEqual(t, s.RequestCount()-before, limit)
	for _, n := range nodes {
		require.Less(t, n.syncer.ViewAge(), 300*time.Millisecond)
	}
}
