package viewsync_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/platform/platformtest"
	"github.com/cowslipward/cowslipward/viewsync"
)

// convergenceTimeout bounds the time within which a change must reach all processes.
const convergenceTimeout = 3 * time.Second

// newStore starts a fake of the platform's store.
func newStore(t *testing.T) *platformtest.Store {
	s, err := platformtest.NewStore()
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// route returns a route to the test service, with the given last byte of the IP address and port.
func route(lastByte byte, port uint16) platformtest.Route {
	return platformtest.Route{
		Name:    fmt.Sprintf("%d-%d", lastByte, port),
		Address: flow.Endpoint{IP: [4]byte{198, 18, 0, lastByte}, Port: port},
		Service: "bench",
	}
}

func putConfig(s *platformtest.Store, version int) {
	s.PutConfig(platformtest.Config(version, []platformtest.Route{route(1, 443)}))
}

func putTarget(s *platformtest.Store, n int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
	s.PutTarget(fmt.Sprintf("i-%d", n), platformtest.Entry("bench", address, "a", 9, "ready", int64(n)))
}

// node is a running Syncer with the views that it published.
type node struct {
	syncer *viewsync.Syncer
	self   netip.AddrPort
	stop   context.CancelFunc

	mu          sync.Mutex
	view        *directory.View
	confirmedAt time.Duration
	versions    []int64
	views       []*directory.View // all that differ from the one before

	running sync.Mutex // held by a test to pause the process
}

// startNode starts a Syncer. Its requests to the store originate from the node's own loopback address, as
// those of a VM originate from the address of the VM.
func startNode(t *testing.T, s *platformtest.Store, n int, seeds ...netip.AddrPort) *node {
	self := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:%d", 10+n, freePort(t)))
	begin := time.Now().Add(-time.Second)
	node := &node{self: self}
	var err error
	node.syncer, err = viewsync.Open(viewsync.Config{
		Store:   platform.NewStore(s.Address(), self.Addr(), time.Second),
		Self:    self,
		Seeds:   seeds,
		Now:     func() time.Duration { return time.Since(begin) },
		Publish: node.publish,
		Log:     slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	listener, err := net.Listen("tcp4", self.String())
	require.NoError(t, err)
	server := &http.Server{Handler: node.syncer.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	node.stop = func() {
		cancel()
		_ = server.Close()
	}
	t.Cleanup(node.stop)
	go node.syncer.RunPeers(ctx)
	go node.syncer.Run(ctx)
	return node
}

// freePort returns a port that is free on all loopback addresses for both UDP and TCP. An outgoing socket may
// occupy a port for only one of the two protocols.
func freePort(t *testing.T) int {
	for {
		listener, err := net.Listen("tcp4", "0.0.0.0:0")
		require.NoError(t, err)
		port := listener.Addr().(*net.TCPAddr).Port
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{Port: port})
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = socket.Close()
		return port
	}
}

func (n *node) publish(view *directory.View, confirmedAt time.Duration) {
	n.running.Lock()
	defer n.running.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view != view {
		n.views = append(n.views, view)
	}
	n.view, n.confirmedAt = view, confirmedAt
	if view.Config != nil {
		n.versions = append(n.versions, view.Config.Version)
	}
}

func (n *node) version() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil || n.view.Config == nil {
		return 0
	}
	return n.view.Config.Version
}

func (n *node) targets() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil {
		return 0
	}
	return n.view.TargetCount()
}

// refused returns the entries of the store that the node read and does not use.
func (n *node) refused() []directory.RefusedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Refused
}

func requireVersion(t *testing.T, version int64, nodes ...*node) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if n.version() != version {
				return false
			}
		}
		return true
	}, convergenceTimeout, 10*time.Millisecond)
}

// waitForReader waits until one of the nodes is the reader, and returns it. A fleet that has just started has
// no reader, since each node has read a snapshot and first waits for updates from its peers.
func waitForReader(t *testing.T, nodes []*node) *node {
	t.Helper()
	var reader *node
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if n.syncer.IsReader() {
				reader = n
			}
		}
		return reader != nil
	}, convergenceTimeout, 10*time.Millisecond)
	return reader
}

// rejectRequestsFrom makes the store reject the requests of one node and serve the others.
func rejectRequestsFrom(s *platformtest.Store, n *node) {
	rejected := n.self.Addr().String()
	s.SetRejectFunc(func(r *http.Request) int {
		if host, _, _ := net.SplitHostPort(r.RemoteAddr); host == rejected {
			return http.StatusServiceUnavailable
		}
		return 0
	})
}

// requestConfirmations makes each node request confirmations repeatedly, as a balancer does when its flows
// lose their targets.
func requestConfirmations(nodes []*node, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range nodes {
			n.syncer.RequestConfirmation()
		}
	}
}

// startFleet starts nodes that use the first node as their seed.
func startFleet(t *testing.T, s *platformtest.Store, count int) []*node {
	var nodes []*node
	for n := range count {
		var seeds []netip.AddrPort
		if n > 0 {
			seeds = append(seeds, nodes[0].self)
		}
		nodes = append(nodes, startNode(t, s, n, seeds...))
	}
	return nodes
}
