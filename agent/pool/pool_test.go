package pool

import (
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// source records the suspicions that the pool reports.
type source struct {
	*fleet.Static
	mu       sync.Mutex
	suspects map[string]bool
}

func (s *source) ReportSuspect(vm string, suspect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[vm] = suspect
}

func (s *source) suspected(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects[vm]
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7400)
}

// newView returns a view of agents bench-1 to bench-n. Those with an odd number are in domain b, the others in
// domain a, which is out if outA is set.
func newView(n int, outA bool) *fleet.View {
	var records []fleet.MemberRecord
	for i := 1; i <= n; i++ {
		vm := fleet.VM{Name: fmt.Sprintf("bench-%d", i), FailureDomain: "ab"[i%2 : i%2+1], Data: address(i), Control: address(i)}
		records = append(records, fleet.MemberRecord{VM: vm, State: fleet.StateServing, Weight: fleet.WeightFull})
	}
	set := rules.NewSet(1, []rules.Service{{Name: "bench", ID: 1, Pool: []string{"bench-*"}}},
		[]rules.Domain{{Name: "a", ID: 1, Out: outA}, {Name: "b", ID: 2}}, nil)
	return fleet.NewView(set, fleet.Observation{Records: records})
}

// network delivers heartbeats between pools.
type network struct {
	mu    sync.Mutex
	pools map[netip.AddrPort]*Pool
	muted map[netip.AddrPort]bool
	loads map[int]int
	sent  int
}

func startPools(t *testing.T, n int) (*network, []*source) {
	net := &network{pools: make(map[netip.AddrPort]*Pool), muted: make(map[netip.AddrPort]bool), loads: make(map[int]int)}
	view := newView(n, false)
	var sources []*source
	for i := 1; i <= n; i++ {
		src := &source{Static: fleet.NewStatic(view), suspects: make(map[string]bool)}
		sources = append(sources, src)
		p := New(Config{
			Self: fmt.Sprintf("bench-%d", i), Source: src, Log: slog.New(slog.DiscardHandler),
			Load: func() Heartbeat { return net.load(i) },
			Send: func(to netip.AddrPort, body []byte) error { return net.send(address(i), to, body) },
		})
		net.pools[address(i)] = p
	}
	for _, p := range net.pools {
		go p.Run(t.Context())
	}
	return net, sources
}

func (n *network) load(i int) Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Heartbeat{State: fleet.StateServing, InProgress: uint16(n.loads[i]), Limit: 9}
}

func (n *network) send(from, to netip.AddrPort, body []byte) error {
	n.mu.Lock()
	n.sent++
	muted := n.muted[from]
	n.mu.Unlock()
	if !muted {
		n.pools[to].Receive(from, body)
	}
	return nil
}

func (n *network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// Guards against a failed agent that is not reported as suspect, and against one that stays suspect after its
// heartbeats resume.
func TestSilentAgentIsSuspectUntilHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, sources := startPools(t, 7)
		time.Sleep(3 * time.Second)
		require.False(t, sources[0].suspected("bench-3"))
		net.update(func() { net.muted[address(3)] = true })
		time.Sleep(900 * time.Millisecond)
		require.False(t, sources[0].suspected("bench-3"))
		time.Sleep(400 * time.Millisecond)
		for i, src := range sources {
			require.Equal(t, i != 2, src.suspected("bench-3"), i)
		}
		net.update(func() { net.muted[address(3)] = false })
		time.Sleep(2*Period + Period/2)
		require.False(t, sources[0].suspected("bench-3"))
	})
}

// Guards against an agent that, after a pause of its own process, reports all others as suspect for the heartbeats that
// it could not receive.
func TestOwnPauseRaisesNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{Static: fleet.NewStatic(newView(2, false)), suspects: make(map[string]bool)}
		p := New(Config{
			Self: "bench-1", Source: src, Log: slog.New(slog.DiscardHandler),
			Load: func() Heartbeat { return Heartbeat{} },
			Send: func(netip.AddrPort, []byte) error { return nil },
		})
		p.sendHeartbeats(time.Now())
		time.Sleep(5 * time.Second)
		p.sendHeartbeats(time.Now())
		require.False(t, src.suspected("bench-2"))
	})
}

// Guards against a hand-off to an agent that has no free slot, has more load, is unresponsive or unreachable, or is in a domain that is
// out.
func TestPick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, sources := startPools(t, 4)
		net.update(func() { net.loads = map[int]int{1: 8, 2: 3, 3: 9, 4: 2} })
		time.Sleep(time.Second)
		p := net.pools[address(1)]
		mean, count := p.MeanLoad(8)
		require.Equal(t, 4, count)
		require.InDelta(t, 5.5, mean, 0.01)
		seen := map[string]int{}
		for range 6 {
			peer, ok := p.Pick(8)
			require.True(t, ok)
			seen[peer.Name]++
		}
		require.Zero(t, seen["bench-3"])
		require.NotZero(t, seen["bench-2"]+seen["bench-4"])
		time.Sleep(150 * time.Millisecond)
		p.MarkUnreachable("bench-4")
		sources[0].Set(newView(4, true))
		_, ok := p.Pick(8)
		require.False(t, ok, "bench-2 and bench-4 are in a domain that is out")
	})
}

// Guards against a number of heartbeats per agent that grows with the pool, against agents that no other agent
// monitors, and against heartbeats into a domain that is out.
func TestHeartbeatFanOutIsBounded(t *testing.T) {
	for _, n := range []int{2, 9, 10, 100} {
		view := newView(n, false)
		monitors := make(map[string]int)
		for i := 1; i <= n; i++ {
			receivers, senders := neighboursOf(view.Targets(1), fmt.Sprintf("bench-%d", i))
			require.Len(t, receivers, min(n-1, 8))
			require.Len(t, senders, min(n-1, 8))
			for _, target := range receivers {
				monitors[target.VM.Name]++
			}
		}
		for name, count := range monitors {
			require.Equal(t, min(n-1, 8), count, name)
		}
	}
	src := fleet.NewStatic(newView(4, true))
	p := New(Config{Self: "bench-1", Source: src})
	to, _ := p.step(src.View(), time.Now())
	require.Equal(t, []netip.AddrPort{address(3)}, to)
}

// Guards against a heartbeat into a domain that was taken out after the receivers were selected, as happens if the
// process is paused in between.
func TestNoHeartbeatToDomainTakenOutMeanwhile(t *testing.T) {
	src := fleet.NewStatic(newView(4, false))
	var sent []netip.AddrPort
	p := New(Config{
		Self: "bench-1", Source: src, Load: func() Heartbeat { return Heartbeat{} },
		Send: func(to netip.AddrPort, _ []byte) error {
			src.Set(newView(4, true))
			sent = append(sent, to)
			return nil
		},
	})
	p.sendHeartbeats(time.Now())
	for _, to := range sent[1:] {
		require.Equal(t, address(3), to)
	}
}

// Guards against fields that encoding or decoding alters, and against a panic on malformed input.
func TestHeartbeatCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Heartbeat{
			State:       fleet.State(rapid.IntRange(0, int(fleet.StateDown)).Draw(t, "state")),
			Incarnation: rapid.Uint16().Draw(t, "incarnation"),
			InProgress:  rapid.Uint16().Draw(t, "progress"),
			Queued:      rapid.Uint16().Draw(t, "queued"),
			Limit:       rapid.Uint16().Draw(t, "limit"),
			Connections: rapid.Uint32().Draw(t, "connections"),
		}
		parsed, ok := ParseHeartbeat(h.Append(nil))
		require.True(t, ok)
		require.Equal(t, h, parsed)
		ParseHeartbeat(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
}
