package forward_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/forward"
	"github.com/cowslipward/cowslipward/internal/logsink"
	"github.com/cowslipward/cowslipward/platform/platformtest"
)

const (
	packetsPort = 17500
	tunnelPort  = 17501
	outPort     = 17502
	appPort     = 17503
	deadline    = 4 * time.Second
)

var serviceAddress = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// bed is a deployment in one process: balancers, agents, targets and a caller, without a store.
type bed struct {
	t         *testing.T
	ledger    *platformtest.Ledger
	dir       *directory.Directory
	revision  uint64
	balancers []*forward.Balancer
	agents    []*forward.Agent
	targets   []*platformtest.Target
	caller    *platformtest.Caller
	outcomes  *burn.Recorder[string]

	dirMu sync.Mutex // guards dir and revision; confirmations read the view from goroutines of their own

	mu   sync.Mutex
	pick func(key flow.Key) int // balancer of a packet
}

func addressOf(kind, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(kind), byte(n + 1)}), uint16(port))
}

func newBed(t *testing.T, balancers, targets int) *bed {
	b := &bed{t: t, ledger: platformtest.NewLedger(), dir: directory.New(), outcomes: burn.NewRecorder[string](nil)}
	b.pick = func(flow.Key) int { return 0 }
	b.apply(directory.Record{Kind: directory.KindConfig, Config: &directory.Config{
		Version: 1,
		Routes: []directory.Route{{
			Name: "r", Address: serviceAddress, Choices: []directory.Choice{{Service: "bench", Weight: 1}}, Objective: 250 * time.Millisecond,
		}},
	}})
	for n := range targets {
		b.startAgent(n)
		b.startTarget(n)
	}
	for n := range balancers {
		b.startBalancer(n)
	}
	caller, err := platformtest.NewCaller(addressOf(3, 0, packetsPort), b.route, b.ledger)
	require.NoError(t, err)
	t.Cleanup(caller.Close)
	b.caller = caller
	b.publish()
	return b
}

func (b *bed) apply(r directory.Record) {
	b.dirMu.Lock()
	defer b.dirMu.Unlock()
	b.revision++
	r.Revision = b.revision
	b.dir.Apply(&r, time.Second)
	b.dir.Advance(b.revision)
}

func (b *bed) view() *directory.View {
	b.dirMu.Lock()
	defer b.dirMu.Unlock()
	return b.dir.View()
}

func (b *bed) publish() {
	for _, balancer := range b.balancers {
		balancer.SetView(b.view(), balancer.Now())
	}
}

func (b *bed) route(key flow.Key) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return addressOf(1, b.pick(key), packetsPort), true
}

func (b *bed) setPick(pick func(key flow.Key) int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pick = pick
}

func (b *bed) startBalancer(n int) {
	var balancer *forward.Balancer
	balancer, err := forward.OpenBalancer(forward.BalancerConfig{
		Domain:      "a",
		Packets:     addressOf(1, n, packetsPort),
		Tunnel:      addressOf(1, n, tunnelPort),
		Log:         slog.New(slog.DiscardHandler),
		Sampler:     logsink.NewSampler(1),
		Outcomes:    b.outcomes,
		ConfirmView: func() { go func() { balancer.SetView(b.view(), balancer.Now()) }() },
	})
	require.NoError(b.t, err)
	go balancer.Run()
	b.t.Cleanup(balancer.Close)
	b.balancers = append(b.balancers, balancer)
}

func (b *bed) startAgent(n int) {
	agent, err := forward.OpenAgent(forward.AgentConfig{
		Service:    "bench",
		Target:     addressOf(2, n, appPort),
		Outbound:   addressOf(2, n, outPort),
		Tunnel:     addressOf(2, n, tunnelPort),
		CallerPort: packetsPort,
		Log:        slog.New(slog.DiscardHandler),
		Sampler:    logsink.NewSampler(1),
		Outcomes:   b.outcomes,
	})
	require.NoError(b.t, err)
	go agent.Run()
	b.t.Cleanup(agent.Close)
	b.agents = append(b.agents, agent)
}

func (b *bed) startTarget(n int) {
	c := platformtest.TargetConfig{ID: fmt.Sprintf("i-%d", n), Service: "bench", Domain: "a", Slots: 4, Work: 5 * time.Millisecond}
	target, err := platformtest.NewTarget(c, addressOf(2, n, appPort), addressOf(2, n, outPort), b.ledger)
	require.NoError(b.t, err)
	b.t.Cleanup(target.Close)
	b.targets = append(b.targets, target)
	b.setTarget(n, directory.TargetReady)
}

func (b *bed) setTarget(n int, state directory.TargetState) {
	id := fmt.Sprintf("i-%d", n)
	b.apply(directory.Record{Kind: directory.KindTarget, Name: id, Target: &directory.Target{
		ID: id, Service: "bench", Address: flow.EndpointOf(addressOf(2, n, appPort)), Domain: "a", Slots: 4, State: state,
	}})
}

// requireClean checks what may never happen.
func (b *bed) requireClean() {
	counts, violations := b.ledger.Snapshot()
	require.Empty(b.t, violations)
	require.Zero(b.t, counts.Altered)
}

func (b *bed) request(f *platformtest.Flow, id string) error {
	b.ledger.Expect(id, "bench")
	service, err := f.Do(context.Background(), id, true, deadline)
	b.ledger.Done(id, err == nil)
	if err == nil {
		require.Equal(b.t, "bench", service)
	}
	return err
}

func (b *bed) open() *platformtest.Flow {
	f, err := b.caller.Open(context.Background(), serviceAddress)
	require.NoError(b.t, err)
	return f
}

// openFlows opens flows that carried a request each.
func (b *bed) openFlows(count int) []*platformtest.Flow {
	flows := make([]*platformtest.Flow, count)
	for n := range flows {
		flows[n] = b.open()
		require.NoError(b.t, b.request(flows[n], fmt.Sprintf("before-%d", n)))
	}
	return flows
}
