package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/peer"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
)

var testKeys = sync.OnceValues(func() (*keys.Store, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	if err := keys.Generate(dir, []string{"localhost"}, []net.IP{net.IPv4(127, 0, 0, 1)}); err != nil {
		return nil, err
	}
	return keys.Open(dir)
})

// rulesText declares one service whose GET and HEAD requests may be repeated.
const rulesText = `domain a id=1 region=r # asked by test
domain b id=2 region=r # asked by test
service bench id=1 address=127.0.0.1:7001 pool=bench-* slots=9 connections=2000 deadline=5s queue=200ms repeatable=GET,HEAD objective=99.9 # asked by test
`

// testAgent is an agent on loopback sockets with a caller.
type testAgent struct {
	agent   *Agent
	source  *recordingSource
	vm      fleet.VM
	addr    net.Addr
	caller  *http.Client
	control *http.Server
	conns   sync.Map // state of each connection from a peer
	stop    func()   // ends the agent immediately, like a crash
}

// recordingSource records what the agent publishes.
type recordingSource struct {
	*fleet.Static
	mu          sync.Mutex
	records     []fleet.MemberRecord
	unconfirmed bool
}

func (s *recordingSource) PublishSelf(record fleet.MemberRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, record)
}

func (s *recordingSource) Confirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unconfirmed
}

func (s *recordingSource) setConfirmed(confirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmed = !confirmed
}

// last returns the most recent record.
func (s *recordingSource) last() fleet.MemberRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) == 0 {
		return fleet.MemberRecord{}
	}
	return s.records[len(s.records)-1]
}

func parseRules(t testing.TB, text string) *rules.Set {
	t.Helper()
	set, err := rules.Parse(text, 1)
	require.NoError(t, err)
	return set
}

func listenUDP(t testing.TB) *net.UDPConn {
	t.Helper()
	packets, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { packets.Close() })
	return packets
}

// startTestAgent starts one agent.
func startTestAgent(t testing.TB, target string, change ...func(*Config)) *testAgent {
	t.Helper()
	return startTestAgents(t, []string{target}, change...)[0]
}

// startTestAgents starts one agent for each target, named bench-1, bench-2 and so on, in a common pool. Their
// failure domains alternate between a and b.
func startTestAgents(t testing.TB, targets []string, change ...func(*Config)) []*testAgent {
	t.Helper()
	store, err := testKeys()
	require.NoError(t, err)
	agents := make([]*testAgent, len(targets))
	byAddress := make(map[netip.AddrPort]*testAgent)
	for i, target := range targets {
		packets := listenUDP(t)
		listener, err := peer.Listen(store, netip.MustParseAddrPort("127.0.0.1:0"))
		require.NoError(t, err)
		r := &testAgent{addr: packets.LocalAddr(), vm: fleet.VM{
			Name: fmt.Sprintf("bench-%d", i+1), FailureDomain: string("ab"[i%2]), Role: fleet.RoleTarget,
			Data:    netip.MustParseAddrPort(packets.LocalAddr().String()),
			Control: netip.MustParseAddrPort(listener.Addr().String()),
		}}
		r.source = &recordingSource{Static: fleet.NewStatic(fleet.NewView(parseRules(t, rulesText), fleet.Observation{}))}
		targetURL, err := url.Parse(target)
		require.NoError(t, err)
		config := Config{
			Self: r.vm, Incarnation: 1, Started: time.Now(), PacketConn: packets, Keys: store, Source: r.source,
			Target: targetURL, HealthPath: "/healthz", DrainPeriod: 2 * time.Second, Log: slog.New(slog.DiscardHandler),
			SendHeartbeat: func(to netip.AddrPort, body []byte) error {
				byAddress[to].agent.ReceiveHeartbeat(r.vm.Data, body)
				return nil
			},
		}
		for _, f := range change {
			f(&config)
		}
		r.agent = New(config)
		mux := http.NewServeMux()
		mux.Handle(r.agent.HandoffHandler())
		r.control = peer.NewServer(mux)
		r.control.ConnState = func(c net.Conn, state http.ConnState) { r.conns.Store(c, state) }
		go func() { _ = r.control.Serve(listener) }()
		t.Cleanup(func() { r.control.Close() })
		agents[i], byAddress[r.vm.Data] = r, r
	}
	setViews(t, agents, rulesText)
	for _, r := range agents {
		r.stop = runAgent(t, r.agent)
		r.caller = newCaller(t, r.addr)
	}
	for _, r := range agents {
		require.Eventually(t, func() bool { ready, _ := r.agent.Ready(); return ready }, 5*time.Second, 5*time.Millisecond)
	}
	return agents
}

// setViews gives all agents a view with the rules in which all agents are serving.
func setViews(t testing.TB, agents []*testAgent, text string) {
	t.Helper()
	set := parseRules(t, text)
	var records []fleet.MemberRecord
	for _, r := range agents {
		record := fleet.MemberRecord{VM: r.vm, State: fleet.StateServing, Weight: fleet.WeightFull, Service: 1}
		records = append(records, record)
	}
	for _, r := range agents {
		r.source.Set(fleet.NewView(set, fleet.Observation{Records: records}))
	}
}

// runAgent runs the agent and returns a function that stops it.
func runAgent(t testing.TB, a *Agent) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})
	t.Cleanup(stop)
	return stop
}

// newCaller returns an HTTP/3 client that sends all requests to the address.
func newCaller(t testing.TB, addr net.Addr) *http.Client {
	t.Helper()
	store, err := testKeys()
	require.NoError(t, err)
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: store.Current().CallerCA, ServerName: "localhost"},
		Dial: func(ctx context.Context, _ string, tls *tls.Config, config *quic.Config) (*quic.Conn, error) {
			return quic.DialAddr(ctx, addr.String(), tls, config)
		},
	}
	t.Cleanup(func() { transport.Close() })
	return &http.Client{Transport: transport}
}

func startTarget(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			handler(w, r)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func readAll(t testing.TB, response *http.Response) string {
	t.Helper()
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

func newRequest(t testing.TB, method, path string, body io.Reader) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "https://localhost"+path, body)
	require.NoError(t, err)
	return request
}

// openHandoff returns the response to a request that a full agent handed off to its peer, while the response is
// still being sent.
func openHandoff(t *testing.T, r *testAgent) *http.Response {
	t.Helper()
	awaitHeartbeats()
	open, err := r.caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	require.Equal(t, "bench-2", open.Header.Get(HeaderTarget))
	return open
}
