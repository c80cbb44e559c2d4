package balancer_test

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/balancer"
	"github.com/cowslipward/cowslipward/connid"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/wire"
)

// establishedPacket returns a packet of an established flow with the connection ID and the size in bytes.
func establishedPacket(t *testing.T, store *keys.Store, id connid.ID, size int) []byte {
	t.Helper()
	codec, err := connid.NewCodec(store.Current().ConnID)
	require.NoError(t, err)
	packet := make([]byte, size)
	packet[0] = 0x40
	codec.Encode(packet[1:], id)
	return packet
}

// sendRaw sends a raw packet and waits until the count has risen by one.
func sendRaw(t *testing.T, to netip.AddrPort, packet []byte, count func() uint64) {
	t.Helper()
	before := count()
	conn, err := net.Dial("udp4", to.String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(packet)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return count() == before+1 }, time.Second, time.Millisecond)
}

// Guards against callers' packets that reach an agent although they are malformed or for another service or
// agent, and against crashes on malformed packets.
func TestInvalidCallerPacketsDropped(t *testing.T) {
	b := newTestbed(t)
	agent := b.startAgents(1)[0]
	lb := b.startBalancer("a", b.source)
	id := connid.ID{Agent: agent.record.VM.Data, Service: 1, Domain: 1, Incarnation: 1}
	wrongService, wrongAddress, wrongKey := id, id, id
	wrongService.Service = 2
	wrongAddress.Agent = netip.MustParseAddrPort("255.255.255.255:7400")
	foreignRing, err := keys.NewRing(keys.Key{ID: 1, Secret: [keys.SecretBytes]byte{1}})
	require.NoError(t, err)
	foreignKeys := keys.NewStore(&keys.Set{ConnID: foreignRing})
	cases := map[string]struct {
		packet []byte
		reason link.Reason
	}{
		"one byte":              {[]byte{0x40}, link.DropMalformed},
		"no fixed bit":          {make([]byte, 100), link.DropMalformed},
		"HTTP/1.1 text":         {[]byte(strings.Repeat("GET / HTTP/1.1\r\n", 4)), link.DropUnroutable},
		"truncated long header": {append([]byte{0xc0, 0, 0, 0, 1, 200}, make([]byte, 20)...), link.DropMalformed},
		"small Initial":         {append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 100)...), link.DropUnroutable},
		"oversized":             {make([]byte, wire.MaxDatagramIPv4+1), link.DropOversized},
		"jumbo datagram":        {make([]byte, 9000), link.DropOversized},
		"wrong service":         {establishedPacket(t, b.keys, wrongService, 100), link.DropWrongService},
		"wrong address":         {establishedPacket(t, b.keys, wrongAddress, 100), link.DropImplausible},
		"wrong key":             {establishedPacket(t, foreignKeys, wrongKey, 100), link.DropUnroutable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sendRaw(t, lb.serviceAddress, c.packet, func() uint64 { return lb.Counts().Dropped(c.reason) })
		})
	}
	require.Zero(t, lb.Counts().Counted(link.EventForwarded))
	sendRaw(t, lb.serviceAddress, establishedPacket(t, b.keys, id, 100),
		func() uint64 { return agent.conn.Counts().Counted(link.EventDelivered) })
}

// Guards against tunnel packets that are accepted although they are forged, replayed or for another agent or
// service.
func TestInvalidTunnelPacketsDropped(t *testing.T) {
	b := newTestbed(t)
	agent := b.startAgents(1)[0]
	lb := b.startBalancer("a", b.source)
	codec := wire.NewCodec(b.keys.Current().Tunnel)
	sequence := uint64(time.Now().UnixNano())
	id := connid.ID{Agent: agent.record.VM.Data, Service: 1, Domain: 1, Incarnation: 1}
	tunnelPacket := func(kind wire.Kind, service rules.ServiceID, body []byte) []byte {
		sequence++
		h := wire.Header{
			Kind: kind, Service: service, Revision: b.source.View().Rules().Revision, Sender: freeAddress(t),
			Caller: netip.MustParseAddrPort("127.0.0.1:9"), Sequence: sequence,
		}
		return append(codec.Append(nil, &h, body), body...)
	}
	body := establishedPacket(t, b.keys, id, 100)
	otherAgent, otherService := id, id
	otherAgent.Agent = netip.MustParseAddrPort("10.9.9.9:7400")
	otherService.Service = 2
	forged := tunnelPacket(wire.Forward, 1, body)
	forged[15] ^= 1
	ring, err := keys.NewRing(keys.Key{ID: 200})
	require.NoError(t, err)
	foreign := wire.NewCodec(ring).Append(nil, &wire.Header{Kind: wire.Probe, Sender: lb.serviceAddress}, nil)
	cases := map[string]struct {
		packet []byte
		reason link.Reason
	}{
		"empty":         {nil, link.DropMalformed},
		"truncated":     {tunnelPacket(wire.Forward, 1, body)[:20], link.DropMalformed},
		"forged":        {forged, link.DropForged},
		"unknown key":   {foreign, link.DropUnknownKey},
		"oversized":     {append(tunnelPacket(wire.Forward, 1, body), chunk[:wire.MaxPacket]...), link.DropOversized},
		"wrong service": {tunnelPacket(wire.Forward, 2, body), link.DropWrongService},
		"ID of another service": {
			tunnelPacket(wire.Forward, 1, establishedPacket(t, b.keys, otherService, 100)), link.DropWrongService,
		},
		"ID of another agent": {tunnelPacket(wire.Forward, 1, establishedPacket(t, b.keys, otherAgent, 100)), link.DropOtherAgent},
		"reply to an agent":   {tunnelPacket(wire.Reply, 1, body), link.DropUnexpectedKind},
		"not a QUIC packet":   {tunnelPacket(wire.Forward, 1, []byte("hello")), link.DropUnroutable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sendRaw(t, agent.record.VM.Data, c.packet, func() uint64 { return agent.conn.Counts().Dropped(c.reason) })
		})
	}
	require.Zero(t, agent.conn.Counts().Counted(link.EventDelivered))
	forward := tunnelPacket(wire.Forward, 1, body)
	sendRaw(t, agent.record.VM.Data, forward, func() uint64 { return agent.conn.Counts().Counted(link.EventDelivered) })
	var received atomic.Uint64
	agent.conn.Handle(wire.PoolHeartbeat, func(*wire.Header, []byte) { received.Add(1) })
	heartbeat := tunnelPacket(wire.PoolHeartbeat, 0, []byte("load"))
	sendRaw(t, agent.record.VM.Data, heartbeat, received.Load)
	sendRaw(t, agent.record.VM.Data, heartbeat, func() uint64 { return agent.conn.Counts().Dropped(link.DropReplayed) })
	sendRaw(t, agent.record.VM.Data, forward, func() uint64 { return agent.conn.Counts().Dropped(link.DropReplayed) })
	sendRaw(t, lb.vm.Data, tunnelPacket(wire.Reply, 9, body),
		func() uint64 { return lb.Counts().Dropped(link.DropNoListener) })
	sendRaw(t, lb.vm.Data, tunnelPacket(wire.Forward, 1, body),
		func() uint64 { return lb.Counts().Dropped(link.DropUnexpectedKind) })
}

// isStatelessReset reports whether a flow was ended by a stateless reset.
func isStatelessReset(err error) bool {
	var reset *quic.StatelessResetError
	return errors.As(err, &reset)
}

// Guards against a failure domain that still receives packets after it goes out, and against callers that
// notice only by a timeout.
func TestDomainOut(t *testing.T) {
	b := newTestbed(t)
	agents := b.startAgents(1)
	balancers := b.startBalancers(3)
	client, _ := b.newClient()
	result := make(chan error, 1)
	go func() {
		_, err := get(client, "/slow?chunks=200")
		result <- err
	}()
	time.Sleep(300 * time.Millisecond)
	b.domains[0].Out = true
	b.publish()
	start := time.Now()
	err := <-result
	require.True(t, isStatelessReset(err), "%v", err)
	require.Less(t, time.Since(start), time.Second)
	time.Sleep(settleTime)
	delivered := agents[0].conn.Counts().Counted(link.EventDelivered)
	for _, through := range [][]*testBalancer{balancers[:1], balancers[1:]} {
		b.sprayOver(through...)
		fresh, _ := b.newClient()
		fresh.Timeout = 500 * time.Millisecond
		_, err = get(fresh, "/hello")
		require.Error(t, err)
		require.Equal(t, delivered, agents[0].conn.Counts().Counted(link.EventDelivered))
		require.NotZero(t, noTargetDrops(through))
	}
	b.sprayOver(balancers...)
	b.domains[0].Out = false
	b.publish()
	fresh, _ := b.newClient()
	_, err = get(fresh, "/hello")
	require.NoError(t, err, "the domain is no longer out")
}

// noTargetDrops returns the number of packets for which the balancers found no target.
func noTargetDrops(balancers []*testBalancer) uint64 {
	var drops uint64
	for _, lb := range balancers {
		drops += lb.Counts().Dropped(link.DropNoTarget)
	}
	return drops
}

// Guards against resets as large as the packet that triggers them, which two endpoints could send each other
// forever.
func TestResetSmallerThanPacket(t *testing.T) {
	b := newTestbed(t)
	b.domains[0].Out = true
	b.publish()
	lb := b.startBalancer("a", b.source)
	conn, err := net.Dial("udp4", lb.serviceAddress.String())
	require.NoError(t, err)
	defer conn.Close()
	buf := make([]byte, wire.MaxPacket)
	for _, size := range []int{18, 21, 22, 42, 43, 44, 1200} {
		id := connid.ID{Agent: lb.vm.Data, Service: 1, Domain: 1}
		_, err := conn.Write(establishedPacket(t, b.keys, id, size))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		n, err := conn.Read(buf)
		require.Equal(t, size > 21, err == nil, "packet of %d bytes", size)
		require.Less(t, n, size)
	}
}

// Guards against flows to a failed process that end only by a timeout. Once the agent is declared down, the
// balancer resets its flows; a process that replaced it at the same address resets them itself.
func TestFlowOfFailedAgentReset(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("replaced=%t", replaced), func(t *testing.T) {
			b := newTestbed(t)
			agent := b.startAgents(1)[0]
			b.startBalancers(2)
			client, _ := b.newClient()
			_, err := get(client, "/hello")
			require.NoError(t, err)
			require.NoError(t, agent.conn.Close())
			result := make(chan error, 1)
			go func() {
				_, err := client.Post("https://bench/hello", "text/plain", strings.NewReader("x"))
				result <- err
			}()
			if replaced {
				b.startAgent("bench-1", "a", agent.record.VM.Data, 2)
			} else {
				b.down["bench-1"] = true
				b.publish()
			}
			start := time.Now()
			err = <-result
			require.True(t, isStatelessReset(err), "%v", err)
			require.Less(t, time.Since(start), 2*time.Second)
		})
	}
}

// Guards against an unclear error when another process holds an address, and against listeners that are
// disturbed by it.
func TestAddressInUse(t *testing.T) {
	b := newTestbed(t)
	b.startAgents(1)
	occupied, err := udpbatch.Listen(netip.MustParseAddrPort(anyPort))
	require.NoError(t, err)
	defer occupied.Close()
	_, err = balancer.Open(balancer.Config{Listen: occupied.Address(), Keys: b.keys, Source: b.source})
	require.ErrorContains(t, err, occupied.Address().String()+": the address is in use")
	lb := b.startBalancer("a", b.source)
	conflicting, err := udpbatch.Listen(netip.AddrPortFrom(lb.serviceAddress.Addr(), occupied.Address().Port()))
	require.NoError(t, err)
	b.services[1].Address = conflicting.Address()
	b.publish()
	require.Eventually(t, func() bool { ready, _ := lb.Ready(); return !ready }, time.Second, time.Millisecond)
	b.sprayOver(lb)
	client, _ := b.newClient()
	_, err = get(client, "/hello")
	require.NoError(t, err, "the other service must keep working")
	require.NoError(t, conflicting.Close())
	require.Eventually(t, func() bool { ready, _ := lb.Ready(); return ready }, 3*time.Second, 10*time.Millisecond)
}

// Guards against new flows that go to an unresponsive target until it is declared down.
func TestUnresponsiveTargetAvoided(t *testing.T) {
	b := newTestbed(t)
	agents := b.startAgents(2)
	balancers := b.startBalancers(1)
	require.NoError(t, agents[0].conn.Close())
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) && balancers[0].Counts().Counted(link.EventTargetAvoided) == 0 {
		client, _ := b.newClient()
		_, err := get(client, "/hello")
		require.NoError(t, err)
	}
	for range 10 {
		client, _ := b.newClient()
		start := time.Now()
		_, err := get(client, "/hello")
		require.NoError(t, err)
		require.Less(t, time.Since(start), 200*time.Millisecond)
	}
	require.Equal(t, fleet.StateServing, b.source.View().Targets(1)[0].State)
}
