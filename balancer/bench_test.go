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

// rig is a balancer whose batches are processed by the benchmark itself, so that the CPU time of its thread is that of
// the data path alone.
type rig struct {
	tb       testing.TB
	balancer *Balancer
	listener *listener
	sink     *udpbatch.Conn // in place of an agent or a caller
	source   *udpbatch.Conn
	writer   *udpbatch.Writer
	batch    *udpbatch.Batch
	ids      *connid.Codec
	packets  [udpbatch.Size][]byte
}

func newRig(tb testing.TB, size int) *rig {
	dir := tb.TempDir()
	require.NoError(tb, keys.Generate(dir, nil, nil))
	store, err := keys.Open(dir)
	require.NoError(tb, err)
	r := &rig{tb: tb, sink: relaybench.Listen(tb, anyPort), source: relaybench.Listen(tb, anyPort), writer: udpbatch.NewWriter(), batch: udpbatch.GetBatch()}
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
		r.establish(i, uint32(i))
	}
	return r
}

// establish makes packet i one of an established flow.
func (r *rig) establish(i int, counter uint32) {
	r.packets[i][0] = 0x40
	r.ids.Encode(r.packets[i][1:], connid.ID{Agent: r.sink.Address(), Service: 1, Domain: 1, Counter: counter})
}

// open makes packet i one that opens a flow.
func (r *rig) open(i int, flow uint64) {
	p := r.packets[i]
	clear(p[:20])
	p[0], p[4], p[5] = 0xc0, 1, 8
	binary.BigEndian.PutUint64(p[6:], flow)
}

// feed sends the packets to the socket.
func (r *rig) feed(from *udpbatch.Conn, to *udpbatch.Conn) {
	for _, p := range r.packets {
		r.writer.Add(to.Address(), nil, p)
	}
	require.Equal(r.tb, udpbatch.Size, r.writer.Flush(from))
}

// relay is the baseline: a plain relay with a fixed destination and the same batching.
func (r *rig) relay(in, out *udpbatch.Conn, w *udpbatch.Writer) int {
	n, err := in.Read(r.batch)
	require.NoError(r.tb, err)
	for i := range n {
		packet, _ := r.batch.Packet(i)
		w.Add(r.sink.Address(), nil, packet)
	}
	return w.Flush(out)
}

func (r *rig) forward() int {
	n, err := r.listener.conn.Read(r.batch)
	require.NoError(r.tb, err)
	r.balancer.forwardBatch(r.listener, r.batch, n)
	return n
}

// BenchmarkForward compares the balancer with a plain relay, in turns within one run.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{100, 1200} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			r := newRig(b, size)
			in, out, w := relaybench.Listen(b, anyPort), relaybench.Listen(b, anyPort), udpbatch.NewWriter()
			var forwarded, relayed relaybench.Meter
			b.ReportAllocs()
			for forwarded.Packets < b.N {
				r.feed(r.source, r.listener.conn)
				forwarded.Run(r.forward)
				r.feed(r.source, in)
				relayed.Run(func() int { return r.relay(in, out, w) })
			}
			relaybench.Report(b, &forwarded, &relayed)
		})
	}
}

// BenchmarkReply is BenchmarkForward for the way back.
func BenchmarkReply(b *testing.B) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	r := newRig(b, 1200)
	tunnel, in, out, w := relaybench.Listen(b, anyPort), relaybench.Listen(b, anyPort), relaybench.Listen(b, anyPort), udpbatch.NewWriter()
	back := &replier{balancer: r.balancer, writer: udpbatch.NewWriter()}
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
		r.feed(r.source, tunnel)
		r.packets = bodies
		replied.Run(func() int {
			n, err := tunnel.Read(r.batch)
			require.NoError(b, err)
			back.collect(r.batch, n)
			back.send()
			return n
		})
		r.feed(r.source, in)
		relayed.Run(func() int { return r.relay(in, out, w) })
	}
	require.Zero(b, r.balancer.link.Counts.Dropped(link.DropReplayed))
	relaybench.Report(b, &replied, &relayed)
}

// BenchmarkNewFlow measures packets that open flows, with one target.
func BenchmarkNewFlow(b *testing.B) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	r := newRig(b, 1200)
	var opened relaybench.Meter
	b.ReportAllocs()
	for flow := uint64(0); opened.Packets < b.N; {
		for i := range r.packets {
			flow++
			r.open(i, flow)
		}
		r.feed(r.source, r.listener.conn)
		opened.Run(r.forward)
	}
	b.ReportMetric(opened.Rate(), "pkts/s/core")
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// flows sends the first packet of flows and one of each once it is established, from many callers.
func (r *rig) flows(n int, callers []*udpbatch.Conn) {
	for flow := 0; flow < n; flow += udpbatch.Size {
		from := callers[flow/udpbatch.Size%len(callers)]
		for i := range r.packets {
			r.open(i, uint64(flow+i))
		}
		r.feed(from, r.listener.conn)
		r.forward()
		for i := range r.packets {
			r.establish(i, uint32(flow+i))
		}
		r.feed(from, r.listener.conn)
		r.forward()
	}
}

// BenchmarkFlowMemory measures the bytes that a balancer keeps for each flow.
func BenchmarkFlowMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			r := newRig(b, 1200)
			callers := make([]*udpbatch.Conn, 100)
			for i := range callers {
				callers[i] = relaybench.Listen(b, anyPort)
			}
			r.flows(1000, callers)
			var kept int64
			for b.Loop() {
				before := heap()
				r.flows(n, callers)
				kept = heap() - before
			}
			b.ReportMetric(float64(kept)/float64(n), "B/flow")
		})
	}
}
