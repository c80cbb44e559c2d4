package tunnel

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7400)
}

// Guards against decisions that expire while first packets are still retransmitted, and against a table that
// grows without bound in a flood of new flows.
func TestFlowDecisionsExpireAndAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := newFlowDecisions()
		f.store(1, address(1), time.Since(start))
		time.Sleep(decisionLifetime)
		to, known := f.lookup(1, time.Since(start))
		require.True(t, known)
		require.Equal(t, address(1), to)
		time.Sleep(2 * decisionLifetime)
		_, known = f.lookup(1, time.Since(start))
		require.False(t, known)
		for key := range uint64(10 * maxDecisions) {
			f.store(key, address(2), time.Since(start))
		}
		require.LessOrEqual(t, len(f.current)+len(f.older), 2*maxDecisions)
	})
}

// Guards against a flow that is passed back to an earlier target, or that stops at a target that cannot accept
// it while others can.
func TestSuccessorSkipsRefusingTargets(t *testing.T) {
	var order []*fleet.Target
	for i := range 3 {
		order = append(order, &fleet.Target{VM: fleet.VM{Data: address(i)}})
	}
	require.Equal(t, address(1), successor(order, address(0), 0))
	require.Equal(t, address(2), successor(order, address(1), 1))
	require.Equal(t, address(0), successor(order, address(9), 0), "a draining agent is not in the order")
	require.False(t, successor(order, address(2), 1).IsValid(), "no target is left")
	require.False(t, successor(nil, address(0), 0).IsValid())
}

func openConn(t testing.TB, direct bool) (*Conn, rules.Service) {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, nil, nil))
	store, err := keys.Open(dir)
	require.NoError(t, err)
	service := rules.Service{ID: 1, Pool: []string{"*"}, Address: netip.MustParseAddrPort("127.0.0.1:47001")}
	set := rules.NewSet(1, []rules.Service{service}, []rules.Domain{{ID: 1, Name: "a"}}, nil)
	c, err := Open(Config{
		VM: "bench-1", Domain: "a", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: store, ReplyDirect: direct,
		Source: fleet.NewStatic(fleet.NewView(set, fleet.Observation{})),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, service
}

// Guards against two connections with the same ID, and against a caller table that grows without bound when
// callers are forged.
func TestConnectionIDsUniqueAndCallersBounded(t *testing.T) {
	c, _ := openConn(t, false)
	seen := map[string]bool{}
	for i := range 3 * maxCallers {
		id, err := c.ConnectionIDGenerator().GenerateConnectionID()
		require.NoError(t, err)
		require.False(t, seen[string(id.Bytes())])
		seen[string(id.Bytes())] = true
		c.returnPaths.recordDelivery(address(i), address(i%200), c.link.Now())
	}
	require.LessOrEqual(t, len(c.returnPaths.current)+len(c.returnPaths.older), 2*maxCallers)
	require.Len(t, c.returnPaths.recentBalancers, maxRecentBalancers)
}

// Guards against direct replies that are not sent from the service's address.
func TestReplyDirect(t *testing.T) {
	c, service := openConn(t, true)
	caller, err := udpbatch.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	defer caller.Close()
	_, err = c.WriteTo([]byte("answer"), caller.LocalAddr())
	require.NoError(t, err)
	batch := udpbatch.GetBatch()
	_, err = caller.Read(batch)
	require.NoError(t, err)
	require.Equal(t, service.Address, batch.From(0))
}

// BenchmarkWriteTo measures sending a reply of the QUIC server to a balancer.
func BenchmarkWriteTo(b *testing.B) {
	c, _ := openConn(b, false)
	caller := c.returnPaths.recordDelivery(address(1), c.link.Advertise, c.link.Now())
	p := make([]byte, 1200)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.WriteTo(p, caller)
	}
}
