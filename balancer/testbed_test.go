package balancer_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/balancer"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/tunnel"
)

// testbed is a deployment in one process over loopback.
type testbed struct {
	t      *testing.T
	dir    string
	keys   *keys.Store
	source *fleet.Static
	agents map[string]*testAgent

	mu               sync.Mutex
	services         []rules.Service
	domains          []rules.Domain
	drained          map[string]string
	down             map[string]bool
	revision         rules.Revision
	balancers        []fleet.MemberRecord // balancers that views contain
	balancersStarted int
	fabric           fabric
}

const anyPort = "127.0.0.1:0"

// settleTime is how long a test waits for packets that were sent before a change to arrive, also on a busy
// machine. The design allows 4 s.
const settleTime = 200 * time.Millisecond

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(anyPort)))
	require.NoError(t, err)
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"bench"}, []net.IP{net.IPv4(127, 0, 0, 1)}))
	store, err := keys.Open(dir)
	require.NoError(t, err)
	b := &testbed{
		t: t, dir: dir, keys: store, source: fleet.NewStatic(fleet.NewView(nil, fleet.Observation{})),
		agents: map[string]*testAgent{}, drained: map[string]string{}, down: map[string]bool{},
		domains: []rules.Domain{{Name: "a", ID: 1}, {Name: "b", ID: 2}, {Name: "c", ID: 3}},
		services: []rules.Service{
			{Name: "bench", ID: 1, Address: freeAddress(t), Pool: []string{"bench-*"}},
			{Name: "archive", ID: 2, Address: freeAddress(t), Pool: []string{"archive-*"}},
		},
	}
	b.publish()
	return b
}

// view builds a view from the state of the testbed.
func (b *testbed) view() *fleet.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision++
	obs := fleet.Observation{Down: map[string]bool{}}
	obs.Records = append(obs.Records, b.balancers...)
	for name, a := range b.agents {
		obs.Records = append(obs.Records, a.record)
		obs.Down[name] = b.down[name]
	}
	set := rules.NewSet(b.revision, append([]rules.Service{}, b.services...), append([]rules.Domain{}, b.domains...), b.drained)
	return fleet.NewView(set, obs)
}

func (b *testbed) publish() { b.source.Set(b.view()) }

// testAgent is an agent's data path with an HTTP/3 server.
type testAgent struct {
	name     string
	record   fleet.MemberRecord
	conn     *tunnel.Conn
	server   *http3.Server
	quic     *quic.Transport
	requests atomic.Int64
}

// startAgent starts an agent on the address, or on a free one if the address is not valid.
func (b *testbed) startAgent(name, domain string, at netip.AddrPort, incarnation uint16) *testAgent {
	return b.startAgentWithSource(name, domain, at, incarnation, b.source)
}

func (b *testbed) startAgentWithSource(name, domain string, at netip.AddrPort, incarnation uint16, source fleet.Source) *testAgent {
	b.t.Helper()
	if !at.IsValid() {
		at = freeAddress(b.t)
	}
	conn, err := tunnel.Open(tunnel.Config{
		VM: name, Domain: domain, Listen: at, Control: at, Incarnation: incarnation, Keys: b.keys, Source: source,
	})
	require.NoError(b.t, err)
	vm := fleet.VM{Name: name, FailureDomain: domain, Role: fleet.RoleTarget, Data: at, Control: at}
	a := &testAgent{name: name, conn: conn, record: fleet.MemberRecord{
		VM: vm, Incarnation: incarnation, State: fleet.StateServing, Weight: fleet.WeightFull,
	}}
	b.mu.Lock()
	b.agents[name] = a
	b.mu.Unlock()
	b.publish()
	reset := quic.StatelessResetKey(b.keys.Current().Reset)
	a.quic = &quic.Transport{
		Conn: conn, ConnectionIDGenerator: conn.ConnectionIDGenerator(), StatelessResetKey: &reset,
	}
	a.server = &http3.Server{Handler: a.handler(), QUICConfig: &quic.Config{MaxIdleTimeout: time.Minute}}
	listener, err := a.quic.ListenEarly(b.keys.CallerServer(http3.NextProtoH3), &quic.Config{MaxIdleTimeout: time.Minute})
	require.NoError(b.t, err)
	go func() { _ = a.server.ServeListener(listener) }()
	b.t.Cleanup(a.stop)
	return a
}

func (a *testAgent) stop() {
	_ = a.conn.Close()
	_ = a.quic.Close()
}

// chunk is the unit of test downloads.
var chunk = make([]byte, 16<<10)

func (a *testAgent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/hello", func(w http.ResponseWriter, _ *http.Request) {
		a.requests.Add(1)
		_, _ = io.WriteString(w, a.name)
	})
	mux.HandleFunc("/slow", func(w http.ResponseWriter, r *http.Request) {
		a.requests.Add(1)
		var chunks int
		_, _ = fmt.Sscan(r.URL.Query().Get("chunks"), &chunks)
		for range chunks {
			_, _ = w.Write(chunk)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
	return mux
}

// testBalancer is a balancer and the address at which it serves the bench service.
type testBalancer struct {
	*balancer.Balancer
	serviceAddress netip.AddrPort
	vm             fleet.VM
}

// startBalancer starts a balancer that binds the services' ports at an IP address of its own.
func (b *testbed) startBalancer(domain string, source fleet.Source) *testBalancer {
	b.t.Helper()
	b.balancersStarted++
	host := netip.AddrFrom4([4]byte{127, 77, byte(b.balancersStarted >> 8), byte(b.balancersStarted)})
	vm := fleet.VM{
		Name: fmt.Sprintf("entry-%d", b.balancersStarted), FailureDomain: domain, Role: fleet.RoleBalancer,
		Data: freeAddress(b.t), Control: freeAddress(b.t),
	}
	lb, err := balancer.Open(balancer.Config{
		VM: vm.Name, Domain: domain, Listen: vm.Data, Control: vm.Control,
		ServiceHost: host, Incarnation: uint16(rand.Uint32()), Keys: b.keys, Source: source,
	})
	require.NoError(b.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = lb.Run(ctx); close(done) }()
	b.t.Cleanup(func() { cancel(); _ = lb.Close(); <-done })
	return &testBalancer{Balancer: lb, vm: vm, serviceAddress: netip.AddrPortFrom(host, b.services[0].Address.Port())}
}

// startBalancers starts n balancers, spread over the failure domains, behind the fabric.
func (b *testbed) startBalancers(n int) []*testBalancer {
	balancers := make([]*testBalancer, n)
	for i := range balancers {
		balancers[i] = b.startBalancer(b.domains[i%len(b.domains)].Name, b.source)
	}
	b.sprayOver(balancers...)
	return balancers
}

// sprayOver makes the fabric spray callers' packets over the balancers.
func (b *testbed) sprayOver(balancers ...*testBalancer) {
	addresses := make([]netip.AddrPort, len(balancers))
	for i, lb := range balancers {
		addresses[i] = lb.serviceAddress
	}
	b.fabric.set(addresses...)
}

// startAgents starts n agents of the bench service, spread over the failure domains.
func (b *testbed) startAgents(n int) []*testAgent {
	agents := make([]*testAgent, n)
	for i := range agents {
		name := fmt.Sprintf("bench-%d", i+1)
		agents[i] = b.startAgent(name, b.domains[i%len(b.domains)].Name, netip.AddrPort{}, uint16(i+1))
	}
	return agents
}

// newClient returns a client of the bench service behind the fabric, and its socket.
func (b *testbed) newClient() (*http.Client, *caller) {
	conn := b.fabric.caller(b.t)
	return b.clientOver(conn, publicAddress), conn
}

// clientOver returns an HTTP/3 client that uses the packet connection.
func (b *testbed) clientOver(conn net.PacketConn, to net.Addr) *http.Client {
	transport := &quic.Transport{Conn: conn}
	rt := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: b.keys.Current().CallerCA, ServerName: "bench"},
		QUICConfig:      &quic.Config{KeepAlivePeriod: 200 * time.Millisecond, MaxIdleTimeout: 20 * time.Second},
		Dial: func(ctx context.Context, _ string, tc *tls.Config, qc *quic.Config) (*quic.Conn, error) {
			return transport.Dial(ctx, to, tc, qc)
		},
	}
	b.t.Cleanup(func() { _ = rt.Close(); _ = transport.Close(); _ = conn.Close() })
	return &http.Client{Transport: rt, Timeout: 30 * time.Second}
}

func get(client *http.Client, path string) (string, error) {
	response, err := client.Get("https://bench" + path)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
