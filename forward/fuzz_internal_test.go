package forward

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/logsink"
)

// fuzzFrom is the source of all fuzzed datagrams; a target of the view is there.
var fuzzFrom = flow.Endpoint{IP: [4]byte{127, 0, 0, 1}, Port: 17700}

// addDatagrams adds valid datagrams of each kind to the seed corpus.
func addDatagrams(f *testing.F) {
	for _, packet := range [][]byte{dataPacket(1, 10), dataPacket(2, 1200), nil, dataPacket(1, 10)[:20]} {
		f.Add(packet)
		for kind := encap.KindForward; kind <= encap.KindProbe; kind++ {
			for _, search := range []bool{false, true} {
				h := encap.Header{Kind: kind, Search: search, Attempt: 250, Round: 1, Service: directory.NameHash("bench"), Slots: 255, Priority: 255}
				f.Add(append(h.Append(nil), packet...))
				h.Path.Add(fuzzFrom.IP)
				f.Add(append(h.Append(nil), packet...))
			}
		}
	}
	syn := dataPacket(3, 0)
	syn[10] = 4
	f.Add(syn)
	h := encap.Header{Kind: encap.KindForward, Service: directory.NameHash("bench"), Slots: 2, MayWait: true}
	f.Add(append(h.Append(nil), syn...))
}

// Guards against a datagram from a caller or an agent that ends the process of a balancer.
func FuzzBalancerDatagram(f *testing.F) {
	addDatagrams(f)
	balancer, err := OpenBalancer(BalancerConfig{
		Domain: "a", Packets: benchAny, Tunnel: benchAny, Log: slog.New(slog.DiscardHandler), Sampler: logsink.NewSampler(1),
		Outcomes: burn.NewRecorder[string](nil), ConfirmView: func() {},
	})
	require.NoError(f, err)
	balancer.Close() // the closed sockets send nothing: fuzzed packets name arbitrary callers
	balancer.SetView(fuzzView(), balancer.Now())
	out := balancer.newOutboxes()
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		balancer.handleCallerDatagram(out, datagram)
		balancer.handleAgentDatagram(out, datagram, fuzzFrom)
		balancer.SetView(balancer.view(), balancer.Now())
		out.flush()
	})
}

// view returns the view in use.
func (b *Balancer) view() *directory.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dispatcher.View()
}

// fuzzView returns a view with one route and two targets.
func fuzzView() *directory.View {
	dir := directory.New()
	dir.Apply(&directory.Record{Kind: directory.KindConfig, Revision: 1, Config: &directory.Config{Version: 1, Routes: []directory.Route{
		{Name: "r", Address: benchService, Choices: []directory.Choice{{Service: "bench", Weight: 1}}},
	}}}, 0)
	for n, name := range []string{"i", "j"} {
		address := flow.Endpoint{IP: [4]byte{127, 0, 0, byte(n + 1)}, Port: 17700}
		dir.Apply(&directory.Record{Kind: directory.KindTarget, Name: name, Revision: directory.Revision(n) + 2, Target: &directory.Target{
			ID: name, Service: "bench", Address: address, Domain: "a", Slots: 2, State: directory.TargetReady,
		}}, 0)
	}
	return dir.View()
}

// Guards against a datagram from a balancer, an agent or the target that ends the process of an agent.
func FuzzAgentDatagram(f *testing.F) {
	addDatagrams(f)
	agent, err := OpenAgent(AgentConfig{
		Service: "bench", Target: netip.MustParseAddrPort("127.0.0.1:1"), Outbound: benchAny, Tunnel: benchAny, CallerPort: 1,
		Log: slog.New(slog.DiscardHandler), Sampler: logsink.NewSampler(1), Outcomes: burn.NewRecorder[string](nil),
	})
	require.NoError(f, err)
	agent.Close() // as above
	out := agent.newOutboxes()
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		agent.handleBalancerDatagram(out, append([]byte(nil), datagram...), fuzzFrom)
		agent.handleTargetDatagram(out, append([]byte(nil), datagram...))
		agent.mu.Lock()
		agent.gate.Expire(agent.clock.now() + 10*time.Second)
		agent.mu.Unlock()
		out.flush()
	})
}
