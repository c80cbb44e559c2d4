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

// eventually is how long tests wait for what must happen within the bound of a configuration.
const eventually = 3 * time.Second

// newStore returns a stand-in for the platform's store.
func newStore(t *testing.T) *platformtest.Store {
	s, err := platformtest.NewStore()
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// route returns a route of the service at the last byte of an address and a port.
func route(host byte, port uint16) platformtest.Route {
	return platformtest.Route{
		Name:    fmt.Sprintf("%d-%d", host, port),
		Address: flow.Endpoint{IP: [4]byte{198, 18, 0, host}, Port: port},
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

// node is a syncer that runs, and what it published last.
type node struct {
	syncer *viewsync.Syncer
	self   netip.AddrPort
	stop   context.CancelFunc

	mu       sync.Mutex
	view     *directory.View
	known    time.Duration
	versions []int64
}

// startNode runs a syncer. Its calls of the store carry the node's own loopback address, as those of a VM do.
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

// freePort returns a port that is free on all loopback addresses, for UDP and TCP. Ports of outgoing sockets may take one
// of the two only.
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

func (n *node) publish(view *directory.View, known time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view, n.known = view, known
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

func requireVersion(t *testing.T, version int64, nodes ...*node) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if n.version() != version {
				return false
			}
		}
		return true
	}, eventually, 10*time.Millisecond)
}

// awaitReader waits until one of the nodes reads the store for all, and returns it. A fleet that started a moment ago
// has none: each node knows the whole store and waits for its peers first.
func awaitReader(t *testing.T, nodes []*node) *node {
	t.Helper()
	var reader *node
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if n.syncer.IsReader() {
				reader = n
			}
		}
		return reader != nil
	}, eventually, 10*time.Millisecond)
	return reader
}

// refuseCallsOf makes the store refuse a node and serve the others.
func refuseCallsOf(s *platformtest.Store, n *node) {
	refused := n.self.Addr().String()
	s.SetRefuse(func(r *http.Request) int {
		if host, _, _ := net.SplitHostPort(r.RemoteAddr); host == refused {
			return http.StatusServiceUnavailable
		}
		return 0
	})
}

// keepConfirming makes each node ask for a confirmed view again and again, as a balancer does whose flows lost their targets.
func keepConfirming(nodes []*node, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range nodes {
			n.syncer.RequestConfirmation()
		}
	}
}

// startFleet runs nodes that find each other through the first.
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
