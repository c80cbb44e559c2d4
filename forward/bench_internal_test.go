package forward

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/logsink"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/test/relaybench"
)

var (
	benchAny     = netip.MustParseAddrPort("127.0.0.1:0")
	benchTunnel  = netip.MustParseAddrPort("127.6.0.1:17701")
	benchTarget  = netip.MustParseAddrPort("127.6.0.2:17701")
	benchService = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

// benchFlows is the number of flows whose packets are sent in turn.
const benchFlows = 4096

// dataPacket returns a packet of an open flow with the given length of data.
func dataPacket(n, length int) []byte {
	caller := flow.Endpoint{IP: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 4000}
	b := platform.AppendReset(nil, flow.Key{Caller: benchService, Service: caller}, 1)
	binary.LittleEndian.PutUint32(b[4:], 1)
	binary.LittleEndian.PutUint16(b[8:], uint16(length))
	b[10] = 2 // ACK
	return append(b, make([]byte, length)...)
}

// benchBalancer returns a balancer that knows the target of each flow.
func benchBalancer(b *testing.B) *Balancer {
	balancer, err := OpenBalancer(BalancerConfig{
		Domain: "a", Packets: benchAny, Tunnel: benchTunnel, Log: slog.New(slog.DiscardHandler), Sampler: logsink.NewSampler(1),
		Outcomes: burn.NewRecorder[string](nil), ConfirmView: func() {},
	})
	require.NoError(b, err)
	b.Cleanup(balancer.Close)
	dir := directory.New()
	dir.Apply(&directory.Record{Kind: directory.KindConfig, Revision: 1, Config: &directory.Config{Version: 1, Routes: []directory.Route{
		{Name: "r", Address: benchService, Choices: []directory.Choice{{Service: "bench", Weight: 1}}},
	}}}, 0)
	dir.Apply(&directory.Record{Kind: directory.KindTarget, Name: "i", Revision: 2, Target: &directory.Target{
		ID: "i", Service: "bench", Address: flow.EndpointOf(benchTarget), Domain: "a", Slots: 9, State: directory.TargetReady,
	}}, 0)
	balancer.SetView(dir.View(), balancer.Now())
	for n := range benchFlows {
		p, err := platform.DecodePacket(dataPacket(n, 10))
		require.NoError(b, err)
		balancer.dispatcher.HandleCallerPacket(&p, balancer.Now())
		balancer.dispatcher.HandleFound(benchTarget.Addr().As4(), &encap.Header{Kind: encap.KindFound}, &p, balancer.Now())
	}
	return balancer
}

// pass reads one batch and hands its datagrams on.
func pass(b *testing.B, conn *udpbatch.Conn, batch *udpbatch.Batch, each func([]byte), flush func()) int {
	n, err := conn.Read(batch)
	require.NoError(b, err)
	for i := range n {
		datagram, _ := batch.Packet(i)
		each(datagram)
	}
	flush()
	return n
}

// BenchmarkRelayOfOpenFlows compares a balancer's hop with a plain relay to a fixed address, in turns within one run.
func BenchmarkRelayOfOpenFlows(b *testing.B) {
	for _, length := range []int{60, 1200} {
		b.Run(fmt.Sprintf("bytes=%d", length), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			balancer := benchBalancer(b)
			sink, plain, source := relaybench.Listen(b, benchTarget), relaybench.Listen(b, benchAny), relaybench.Listen(b, benchAny)
			go relaybench.Drain(sink)
			out, relayOut := balancer.newOutboxes(), newOutbox(relaybench.Listen(b, benchAny))
			batch, feeder := udpbatch.GetBatch(), udpbatch.NewWriter()
			next := 0
			feed := func(to *udpbatch.Conn) {
				for range udpbatch.Size {
					next = (next + 1) % benchFlows
					feeder.Add(to.Address(), nil, dataPacket(next, length))
				}
				feeder.Flush(source)
			}
			var forwarded, relayed relaybench.Meter
			b.ReportAllocs()
			for forwarded.Packets < b.N {
				feed(balancer.packets)
				forwarded.Run(func() int {
					return pass(b, balancer.packets, batch, func(d []byte) { balancer.fromCaller(out, d) }, out.flush)
				})
				feed(plain)
				relayed.Run(func() int {
					return pass(b, plain, batch, func(d []byte) { relayOut.send(flow.EndpointOf(benchTarget), d) }, relayOut.flush)
				})
			}
			relaybench.Report(b, &forwarded, &relayed)
		})
	}
}
