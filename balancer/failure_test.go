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

// established returns a packet of an established flow with the connection ID.
func established(t *testing.T, store *keys.Store, id connid.ID, size int) []byte {
	t.Helper()
	codec, err := connid.NewCodec(store.Current().ConnID)
	require.NoError(t, err)
	packet := make([]byte, size)
	packet[0] = 0x40
	codec.Encode(packet[1:], id)
	return packet
}

// throw sends a raw packet and waits until the count has risen.
func throw(t *testing.T, to netip.AddrPort, packet []byte, count func() uint64) {
	t.Helper()
	before := count()
	conn, err := net.Dial("udp4", to.String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(packet)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return count() == before+1 }, time.Second, time.Millisecond)
}

// Guards against packets of callers that reach an agent although they belong elsewhere, and against crashes on garbage.
func TestBadCallerPackets(t *testing.T) {
	b := newBed(t)
	agent := b.startAgents(1)[0]
	lb := b.startBalancer("a", b.static)
	id := connid.ID{Agent: agent.record.VM.Data, Service: 1, Domain: 1, Incarnation: 1}
	wrongService, wrongAddress, strange := id, id, id
	wrongService.Service = 2
	wrongAddress.Agent = netip.MustParseAddrPort("255.255.255.255:7400")
	others, err := keys.NewRing(keys.Key{ID: 1, Secret: [keys.SecretBytes]byte{1}})
	require.NoError(t, err)
	stranger := keys.NewStore(&keys.Set{ConnID: others})
	cases := map[string]struct {
		packet []byte
		reason link.Reason
	}{
		"one byte":      {[]byte{0x40}, link.DropMalformed},
		"no fixed bit":  {make([]byte, 100), link.DropMalformed},
		"text":          {[]byte(strings.Repeat("GET / HTTP/1.1\r\n", 4)), link.DropUnroutable},
		"cut long":      {append([]byte{0xc0, 0, 0, 0, 1, 200}, make([]byte, 20)...), link.DropMalformed},
		"small initial": {append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 100)...), link.DropUnroutable},
		"oversized":     {make([]byte, wire.MaxDatagram4+1), link.DropOversized},
		"huge":          {make([]byte, 9000), link.DropOversized},
		"wrong service": {established(t, b.keys, wrongService, 100), link.DropWrongService},
		"wrong address": {established(t, b.keys, wrongAddress, 100), link.DropImplausible},
		"wrong key":     {established(t, stranger, strange, 100), link.DropUnroutable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			throw(t, lb.bench, c.packet, func() uint64 { return lb.Counts().Dropped(c.reason) })
		})
	}
	require.Zero(t, lb.Counts().Counted(link.EventForwarded))
	throw(t, lb.bench, established(t, b.keys, id, 100), func() uint64 { return agent.conn.Counts().Counted(link.EventDelivered) })
}

// Guards against tunnel packets that are taken although they are forged, replayed or for another agent or service.
func TestBadTunnelPackets(t *testing.T) {
	b := newBed(t)
	agent := b.startAgents(1)[0]
	lb := b.startBalancer("a", b.static)
	codec := wire.NewCodec(b.keys.Current().Tunnel)
	sequence := uint64(time.Now().UnixNano())
	id := connid.ID{Agent: agent.record.VM.Data, Service: 1, Domain: 1, Incarnation: 1}
	make := func(kind wire.Kind, service rules.ServiceID, body []byte) []byte {
		sequence++
		h := wire.Header{
			Kind: kind, Service: service, Revision: b.static.View().Rules().Revision, Sender: loopback(t),
			Caller: netip.MustParseAddrPort("127.0.0.1:9"), Sequence: sequence,
		}
		return append(codec.Append(nil, &h, body), body...)
	}
	body := established(t, b.keys, id, 100)
	otherAgent, otherService := id, id
	otherAgent.Agent = netip.MustParseAddrPort("10.9.9.9:7400")
	otherService.Service = 2
	forged := make(wire.Forward, 1, body)
	forged[15] ^= 1
	ring, err := keys.NewRing(keys.Key{ID: 200})
	require.NoError(t, err)
	foreign := wire.NewCodec(ring).Append(nil, &wire.Header{Kind: wire.Probe, Sender: lb.bench}, nil)
	cases := map[string]struct {
		packet []byte
		reason link.Reason
	}{
		"empty":         {nil, link.DropMalformed},
		"truncated":     {make(wire.Forward, 1, body)[:20], link.DropMalformed},
		"forged":        {forged, link.DropForged},
		"unknown key":   {foreign, link.DropUnknownKey},
		"oversized":     {append(make(wire.Forward, 1, body), chunk[:wire.MaxPacket]...), link.DropOversized},
		"wrong service": {make(wire.Forward, 2, body), link.DropWrongService},
		"ID of another service": {
			make(wire.Forward, 1, established(t, b.keys, otherService, 100)), link.DropWrongService,
		},
		"ID of another agent": {make(wire.Forward, 1, established(t, b.keys, otherAgent, 100)), link.DropOtherAgent},
		"reply to an agent":   {make(wire.Reply, 1, body), link.DropUnexpectedKind},
		"garbage datagram":    {make(wire.Forward, 1, []byte("hello")), link.DropUnroutable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			throw(t, agent.record.VM.Data, c.packet, func() uint64 { return agent.conn.Counts().Dropped(c.reason) })
		})
	}
	require.Zero(t, agent.conn.Counts().Counted(link.EventDelivered))
	forward := make(wire.Forward, 1, body)
	throw(t, agent.record.VM.Data, forward, func() uint64 { return agent.conn.Counts().Counted(link.EventDelivered) })
	var heard atomic.Uint64
	agent.conn.Handle(wire.PoolHeartbeat, func(*wire.Header, []byte) { heard.Add(1) })
	heartbeat := make(wire.PoolHeartbeat, 0, []byte("load"))
	throw(t, agent.record.VM.Data, heartbeat, heard.Load)
	throw(t, agent.record.VM.Data, heartbeat, func() uint64 { return agent.conn.Counts().Dropped(link.DropReplayed) })
	throw(t, agent.record.VM.Data, forward, func() uint64 { return agent.conn.Counts().Dropped(link.DropReplayed) })
	throw(t, lb.vm.Data, make(wire.Reply, 9, body), func() uint64 { return lb.Counts().Dropped(link.DropNoListener) })
	throw(t, lb.vm.Data, make(wire.Forward, 1, body), func() uint64 { return lb.Counts().Dropped(link.DropUnexpectedKind) })
}

// resetError reports whether a flow ended by a stateless reset.
func resetError(err error) bool {
	var reset *quic.StatelessResetError
	return errors.As(err, &reset)
}

// Guards against a domain that still gets packets after it went out, and against callers that wait for a timeout.
func TestDomainOut(t *testing.T) {
	b := newBed(t)
	agents := b.startAgents(1)
	entries := b.startBalancers(3)
	client, _ := b.dial()
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
	require.True(t, resetError(err), "%v", err)
	require.Less(t, time.Since(start), time.Second)
	time.Sleep(settle)
	delivered := agents[0].conn.Counts().Counted(link.EventDelivered)
	for _, through := range [][]*entry{entries[:1], entries[1:]} {
		b.spray(through...)
		fresh, _ := b.dial()
		fresh.Timeout = 500 * time.Millisecond
		_, err = get(fresh, "/hello")
		require.Error(t, err)
		require.Equal(t, delivered, agents[0].conn.Counts().Counted(link.EventDelivered))
		require.NotZero(t, refusals(through))
	}
	b.spray(entries...)
	b.domains[0].Out = false
	b.publish()
	fresh, _ := b.dial()
	_, err = get(fresh, "/hello")
	require.NoError(t, err, "the domain came back")
}

// refusals counts the packets for which balancers found no target.
func refusals(entries []*entry) uint64 {
	var refused uint64
	for _, e := range entries {
		refused += e.Counts().Dropped(link.DropNoTarget)
	}
	return refused
}

// Guards against resets as large as the packet that they answer, which two endpoints could send each other for ever.
func TestResetIsSmaller(t *testing.T) {
	b := newBed(t)
	b.domains[0].Out = true
	b.publish()
	lb := b.startBalancer("a", b.static)
	conn, err := net.Dial("udp4", lb.bench.String())
	require.NoError(t, err)
	defer conn.Close()
	buf := make([]byte, wire.MaxPacket)
	for _, size := range []int{18, 21, 22, 42, 43, 44, 1200} {
		id := connid.ID{Agent: lb.vm.Data, Service: 1, Domain: 1}
		_, err := conn.Write(established(t, b.keys, id, size))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		n, err := conn.Read(buf)
		require.Equal(t, size > 21, err == nil, "packet of %d bytes", size)
		require.Less(t, n, size)
	}
}

// Guards against flows into a dead process that only end by a timeout: with the verdict the balancer resets them, and a
// process that replaced it on the same address resets them itself.
func TestFlowOfDeadAgent(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("replaced=%t", replaced), func(t *testing.T) {
			b := newBed(t)
			agent := b.startAgents(1)[0]
			b.startBalancers(2)
			client, _ := b.dial()
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
			require.True(t, resetError(err), "%v", err)
			require.Less(t, time.Since(start), 2*time.Second)
		})
	}
}

// Guards against an unclear failure when another process holds an address, and against listeners that are disturbed.
func TestAddressInUse(t *testing.T) {
	b := newBed(t)
	b.startAgents(1)
	taken, err := udpbatch.Listen(netip.MustParseAddrPort(anyPort))
	require.NoError(t, err)
	defer taken.Close()
	_, err = balancer.Open(balancer.Config{Listen: taken.Address(), Keys: b.keys, Source: b.static})
	require.ErrorContains(t, err, taken.Address().String()+": the address is in use")
	lb := b.startBalancer("a", b.static)
	squatter, err := udpbatch.Listen(netip.AddrPortFrom(lb.bench.Addr(), taken.Address().Port()))
	require.NoError(t, err)
	b.services[1].Address = squatter.Address()
	b.publish()
	require.Eventually(t, func() bool { ready, _ := lb.Ready(); return !ready }, time.Second, time.Millisecond)
	b.spray(lb)
	client, _ := b.dial()
	_, err = get(client, "/hello")
	require.NoError(t, err, "the other service must go on")
	require.NoError(t, squatter.Close())
	require.Eventually(t, func() bool { ready, _ := lb.Ready(); return ready }, 3*time.Second, 10*time.Millisecond)
}

// Guards against new flows that go to a dead target until a verdict.
func TestDeadTargetAvoided(t *testing.T) {
	b := newBed(t)
	agents := b.startAgents(2)
	entries := b.startBalancers(1)
	require.NoError(t, agents[0].conn.Close())
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) && entries[0].Counts().Counted(link.EventTargetAvoided) == 0 {
		client, _ := b.dial()
		_, err := get(client, "/hello")
		require.NoError(t, err)
	}
	for range 10 {
		client, _ := b.dial()
		start := time.Now()
		_, err := get(client, "/hello")
		require.NoError(t, err)
		require.Less(t, time.Since(start), 200*time.Millisecond)
	}
	require.Equal(t, fleet.StateServing, b.static.View().Targets(1)[0].State)
}
