package balancer

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/connid"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/test/relaybench"
	"github.com/cowslipward/cowslipward/wire"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// harness runs a balancer whose batches are processed by the benchmark itself, so that the CPU time of the
// benchmark's thread is that of the data path alone.
type harness struct {
	tb       testing.TB
	balancer *Balancer
	listener *listener
	sink     *udpbatch.Conn // stands in for an agent or a caller
	source   *udpbatch.Conn
	writer   *udpbatch.Writer
	batch    *udpbatch.Batch
	ids      *connid.Codec
	packets  [udpbatch.Size][]byte
}

func newHarness(tb testing.TB, size int) *harness {
	dir := tb.TempDir()
	require.NoError(tb, keys.Generate(dir, nil, nil))
	store, err := keys.Open(dir)
	require.NoError(tb, err)
	r := &harness{tb: tb, sink: relaybench.Listen(tb, anyPort), source: relaybench.Listen(tb, anyPort), writer: udpbatch.NewWriter(), batch: udpbatch.GetBatch()}
	go relaybench.Drain(r.sink)
	set := rules.NewSet(1, []rules.Service{{ID: 1, Name: "bench", Pool: []string{"*"}, Address: anyPort}},
		[]rules.Domain{{ID: 1, Name: "a"}}, nil)
	vm := fleet.VM{Name: "bench-1", FailureDomain: "a", Role: fleet.RoleTarget, Data: r.sink.Address()}
	view := fleet.NewView(set, fleet.Observation{
		Records: []fleet.MemberRecord{{VM: vm, State: fleet.StateServing, Weight: fleet.WeightFull}},
	})
	r.balancer, err = Open(Config{VM: "entry-1", Domain: "a", Listen: anyPort, Keys: store, Source: fleet.NewStatic(view)})
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = r.balancer.Close() })
	r.listener = &listener{service: 1, conn: relaybench.Listen(tb, anyPort)}
	r.ids = r.balancer.link.Codecs().ID
	for i := range r.packets {
		r.packets[i] = make([]byte, size)
		r.setEstablished(i, uint32(i))
	}
	return r
}

// setEstablished makes packet i a packet of an established flow.
func (h *harness) setEstablished(i int, counter uint32) {
	h.packets[i][0] = 0x40
	h.ids.Encode(h.packets[i][1:], connid.ID{Agent: h.sink.Address(), Service: 1, Domain: 1, Counter: counter})
}

// setOpening makes packet i a packet that opens a flow.
func (h *harness) setOpening(i int, flow uint64) {
	p := h.packets[i]
	clear(p[:20])
	p[0], p[4], p[5] = 0xc0, 1, 8
	binary.BigEndian.PutUint64(p[6:], flow)
}

// sendBatch sends the packets to the socket.
func (h *harness) sendBatch(from *udpbatch.Conn, to *udpbatch.Conn) {
	for _, p := range h.packets {
		h.writer.Add(to.Address(), nil, p)
	}
	require.Equal(h.tb, udpbatch.Size, h.writer.Flush(from))
}

// relay is the baseline: a plain relay with a fixed destination and the same batching.
func (h *harness) relay(in, out *udpbatch.Conn, w *udpbatch.Writer) int {
	n, err := in.Read(h.batch)
	require.NoError(h.tb, err)
	for i := range n {
		packet, _ := h.batch.Packet(i)
		w.Add(h.sink.Address(), nil, packet)
	}
	return w.Flush(out)
}

func (h *harness) forward() int {
	n, err := h.listener.conn.Read(h.batch)
	require.NoError(h.tb, err)
	h.balancer.forwardBatch(h.listener, h.batch, n)
	return n
}

// BenchmarkForward compares the balancer with a plain relay. The two alternate within one run.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{100, 1200} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			r := newHarness(b, size)
			in, out, w := relaybench.Listen(b, anyPort), relaybench.Listen(b, anyPort), udpbatch.NewWriter()
			var forwarded, relayed relaybench.Meter
			b.ReportAllocs()
			for forwarded.Packets < b.N {
				r.sendBatch(r.source, r.listener.conn)
				forwarded.Run(r.forward)
				r.sendBatch(r.source, in)
				relayed.Run(func() int { return r.relay(in, out, w) })
			}
			relaybench.Report(b, &forwarded, &relayed)
		})
	}
}

// BenchmarkReply is the comparison of BenchmarkForward for replies.
func BenchmarkReply(b *testing.B) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	r := newHarness(b, 1200)
	tunnel, in, out, w := relaybench.Listen(b, anyPort), relaybench.Listen(b, anyPort), relaybench.Listen(b, anyPort), udpbatch.NewWriter()
	forwarder := &replyForwarder{balancer: r.balancer, writer: udpbatch.NewWriter()}
	bodies := r.packets
	var replies [udpbatch.Size][]byte
	for i := range replies {
		replies[i] = make([]byte, 0, wire.MaxPacket)
	}
	h := wire.Header{Kind: wire.Reply, Service: 1, Revision: 1, Sender: r.sink.Address(), Caller: r.sink.Address()}
	var replied, relayed relaybench.Meter
	b.ReportAllocs()
	for replied.Packets < b.N {
		h.Sequence = r.balancer.link.Sequence(udpbatch.Size)
		for i := range r.packets {
			packet := r.balancer.link.Codecs().Wire.Append(replies[i], &h, nil)
			r.packets[i] = append(packet, bodies[i]...)
			h.Sequence++
		}
		r.sendBatch(r.source, tunnel)
		r.packets = bodies
		replied.Run(func() int {
			n, err := tunnel.Read(r.batch)
			require.NoError(b, err)
			forwarder.collect(r.batch, n)
			forwarder.send()
			return n
		})
		r.sendBatch(r.source, in)
		relayed.Run(func() int { return r.relay(in, out, w) })
	}
	require.Zero(b, r.balancer.link.Counts.Dropped(link.DropReplayed))
	relaybench.Report(b, &replied, &relayed)
}

// BenchmarkNewFlow measures packets that open flows, with one target.
func BenchmarkNewFlow(b *testing.B) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	r := newHarness(b, 1200)
	var opened relaybench.Meter
	b.ReportAllocs()
	for flow := uint64(0); opened.Packets < b.N; {
		for i := range r.packets {
			flow++
			r.setOpening(i, flow)
		}
		r.sendBatch(r.source, r.listener.conn)
		opened.Run(r.forward)
	}
	b.ReportMetric(opened.Rate(), "pkts/s/core")
}

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// runFlows sends the first packet of each of n flows and one packet of the flow once it is established, from
// many callers.
func (h *harness) runFlows(n int, callers []*udpbatch.Conn) {
	for flow := 0; flow < n; flow += udpbatch.Size {
		from := callers[flow/udpbatch.Size%len(callers)]
		for i := range h.packets {
			h.setOpening(i, uint64(flow+i))
		}
		h.sendBatch(from, h.listener.conn)
		h.forward()
		for i := range h.packets {
			h.setEstablished(i, uint32(flow+i))
		}
		h.sendBatch(from, h.listener.conn)
		h.forward()
	}
}

// BenchmarkFlowMemory measures the bytes that a balancer retains for each flow.
func BenchmarkFlowMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			r := newHarness(b, 1200)
			callers := make([]*udpbatch.Conn, 100)
			for i := range callers {
				callers[i] = relaybench.Listen(b, anyPort)
			}
			r.runFlows(1000, callers)
			var retained int64
			for b.Loop() {
				before := heapInUse()
				r.runFlows(n, callers)
				retained = heapInUse() - before
			}
			b.ReportMetric(float64(retained)/float64(n), "B/flow")
		})
	}
}
