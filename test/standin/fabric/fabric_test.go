package fabric_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/test/standin/fabric"
)

func freeUDP(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenPacket("udp4", ip+":0")
	require.NoError(t, err)
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// echo answers each packet with its own name.
func echo(t *testing.T, address string, name string) {
	t.Helper()
	conn, err := net.ListenPacket("udp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		buffer := make([]byte, 2048)
		for {
			_, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo([]byte(name), from)
		}
	}()
}

// Guards against a fabric that keeps a caller at one balancer, sprays to balancers that are not ready, or delivers
// across a cut.
func TestSprayAndCut(t *testing.T) {
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer ready.Close()
	unready := httptest.NewServer(http.NotFoundHandler())
	defer unready.Close()
	service := freeUDP(t, "127.0.15.1")
	config := fabric.Config{Edge: netip.MustParseAddr("127.0.15.2"), Services: []netip.AddrPort{service}}
	for i, server := range []*httptest.Server{ready, ready, unready} {
		ip := netip.AddrFrom4([4]byte{127, 0, 15, byte(10 + i)})
		name := []string{"a", "b", "c"}[i]
		echo(t, netip.AddrPortFrom(ip, service.Port()).String(), name)
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		config.VMs = append(config.VMs, fabric.VM{Name: name, Domain: "d" + name, IP: ip, Ready: address})
	}
	network, err := fabric.New(config)
	require.NoError(t, err)
	go network.Poll(t.Context())
	require.Eventually(t, func() bool { return len(network.Counters().Ready) == 2 }, 5*time.Second, time.Millisecond)
	require.Equal(t, map[string]bool{"a": true, "b": true}, answers(t, service, 40))
	network.SetCut(fabric.Cut{A: "callers", B: "db"})
	require.Equal(t, map[string]bool{"a": true}, answers(t, service, 40))
}

// answers sends packets one by one and returns who answered.
func answers(t *testing.T, service netip.AddrPort, packets int) map[string]bool {
	t.Helper()
	conn, err := net.Dial("udp4", service.String())
	require.NoError(t, err)
	defer conn.Close()
	from := make(map[string]bool)
	buffer := make([]byte, 16)
	for range packets {
		_, err := conn.Write([]byte("?"))
		require.NoError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, err := conn.Read(buffer); err == nil {
			from[string(buffer[:n])] = true
		}
	}
	return from
}
