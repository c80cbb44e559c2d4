package soak

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// meshEnd is a process at the mesh.
type meshEnd struct {
	conn  *net.UDPConn
	shown netip.AddrPort
}

func newMeshEnd(t *testing.T, m *mesh, last byte) *meshEnd {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 9, 0, last)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	process := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	process = netip.AddrPortFrom(process.Addr().Unmap(), process.Port())
	shown := netip.AddrFrom4([4]byte{127, 9, 1, last})
	require.NoError(t, m.add(shown, process))
	return &meshEnd{conn: conn, shown: netip.AddrPortFrom(shown, process.Port())}
}

func (e *meshEnd) address() netip.Addr {
	return e.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
}

// passes reports whether a datagram from one end reaches the other, under the address by which that one knows the sender.
func passes(t *testing.T, from, to *meshEnd) bool {
	_, err := from.conn.WriteToUDPAddrPort([]byte("x"), to.shown)
	require.NoError(t, err)
	require.NoError(t, to.conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	buffer := make([]byte, 10)
	n, sender, err := to.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return false
	}
	require.Equal(t, "x", string(buffer[:n]))
	require.Equal(t, from.shown, sender)
	return true
}

func TestMeshHarmsOneWayOrBoth(t *testing.T) {
	m := newMesh()
	t.Cleanup(m.close)
	agent, balancer, other := newMeshEnd(t, m, 1), newMeshEnd(t, m, 2), newMeshEnd(t, m, 3)
	check := func(toAgent, fromAgent bool) {
		t.Helper()
		require.Equal(t, toAgent, passes(t, balancer, agent))
		require.Equal(t, fromAgent, passes(t, agent, balancer))
		require.True(t, passes(t, other, agent), "ways to others stay whole")
	}
	check(true, true)
	for _, h := range harms {
		if h.loss < 1 {
			continue
		}
		m.set(agent.address(), []netip.Addr{balancer.address()}, h)
		check(!h.to, !h.from)
	}
	m.set(agent.address(), []netip.Addr{balancer.address()}, noHarm)
	check(true, true)
}
