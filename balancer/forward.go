package balancer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/internal/quicpacket"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/routing"
	"github.com/cowslipward/cowslipward/wire"
)

// worker holds what the processing of one batch needs. Workers are pooled, so that an idle listener holds none.
type worker struct {
	balancer *Balancer
	listener *listener
	codecs   *link.Codecs
	table    *routing.Table
	now      time.Duration
	header   wire.Header
	tunnel   *udpbatch.Writer // towards agents
	callers  *udpbatch.Writer // towards callers: stateless resets
	order    [routing.MaxRank]*fleet.Target
	reset    resetMaker
}

var workers = sync.Pool{New: func() any {
	return &worker{tunnel: udpbatch.NewWriter(), callers: udpbatch.NewWriter()}
}}

// forward sends the datagrams that arrive at a listener to agents, until the listener is closed.
func (b *Balancer) forward(l *listener) {
	defer b.readers.Done()
	for {
		if err := l.conn.WaitReadable(); err != nil {
			return
		}
		batch := udpbatch.GetBatch()
		n, err := l.conn.Read(batch)
		if err != nil {
			batch.Release()
			return
		}
		b.forwardBatch(l, batch, n)
		batch.Release()
	}
}

// forwardBatch routes the packets of a batch. The gate is asked before the routing and again before the write, since
// the process may have been paused in between.
func (b *Balancer) forwardBatch(l *listener, batch *udpbatch.Batch, n int) {
	if !b.link.WaitConfirmed() {
		return
	}
	w := workers.Get().(*worker)
	w.prepare(b, l, uint64(n))
	for i := range n {
		packet, whole := batch.Packet(i)
		if !whole || len(packet) > wire.MaxDatagram4 {
			b.link.Counts.Drop(link.DropOversized)
			continue
		}
		w.route(packet, batch.From(i))
	}
	w.send()
	w.release()
}

func (w *worker) prepare(b *Balancer, l *listener, n uint64) {
	w.balancer, w.listener = b, l
	w.codecs = b.link.Codecs()
	w.table = b.routes()
	w.now = b.link.Now()
	w.header = b.link.Header(wire.Forward)
	w.header.Service = l.service
	w.header.Sequence = b.link.Sequence(n)
}

func (w *worker) release() {
	w.balancer, w.listener, w.codecs, w.table = nil, nil, nil, nil
	clear(w.order[:])
	workers.Put(w)
}

func (w *worker) send() {
	b := w.balancer
	if !b.link.Gate.Allow() {
		b.link.Counts.DropN(link.DropHeld, w.tunnel.Len())
		w.tunnel.Discard()
		w.callers.Discard()
		return
	}
	if w.callers.Len() > 0 {
		b.link.Counts.Add(link.EventReset, w.callers.Flush(w.listener.conn))
	}
	if asked := w.tunnel.Len(); asked > 0 {
		sent := w.tunnel.Flush(b.link.Conn)
		b.link.Counts.Add(link.EventForwarded, sent)
		b.link.Counts.DropN(link.DropSendFailed, asked-sent)
	}
}

// route decides where a datagram goes. An established flow is routed from its connection ID alone.
func (w *worker) route(packet []byte, caller netip.AddrPort) {
	counts := w.balancer.link.Counts
	p, ok := quicpacket.Parse(packet)
	if !ok {
		counts.Drop(link.DropMalformed)
		return
	}
	id, routable := w.codecs.ID.Decode(p.RoutableID())
	if !routable {
		w.routeNew(&p, packet, caller)
		return
	}
	view := w.table.View
	switch {
	case !id.Plausible():
		counts.Drop(link.DropImplausible)
	case id.Service != w.listener.service:
		counts.Drop(link.DropWrongService)
	case view.DomainOut(id.Domain):
		counts.Drop(link.DropDomainOut)
		w.answerReset(&p, packet, caller)
	case w.gone(view.TargetAt(id.Agent), id.Incarnation):
		counts.Drop(link.DropTargetGone)
		w.answerReset(&p, packet, caller)
	default:
		w.forwardTo(id.Agent, packet, caller)
	}
}

// gone reports whether the process that holds the flow has ended. Another incarnation in the view proves nothing: the
// view may be older than the flow; the agent at the address knows, and answers itself. A verdict of its peers is not
// enough either, since a partition may cut them from an agent that this balancer reaches: it must leave a probe unanswered.
func (w *worker) gone(target *fleet.Target, incarnation uint16) bool {
	if target == nil || target.Incarnation != incarnation {
		return false
	}
	switch target.State {
	case fleet.StateStopped:
		return true
	case fleet.StateDown:
		return !w.balancer.usable(target, w.now)
	default:
		return false
	}
}

func (w *worker) forwardTo(agent netip.AddrPort, packet []byte, caller netip.AddrPort) {
	w.header.Caller = caller
	header := w.codecs.Wire.Append(w.tunnel.Header(), &w.header, nil)
	w.header.Sequence++
	w.tunnel.Add(agent, header, packet)
}

// routeNew chooses a target for a packet that opens a flow.
func (w *worker) routeNew(p *quicpacket.Packet, packet []byte, caller netip.AddrPort) {
	counts := w.balancer.link.Counts
	if !p.MayOpenConnection {
		counts.Drop(link.DropUnroutable)
		return
	}
	pool := w.table.Pool(w.listener.service)
	n := pool.Rank(routing.Key(p.Destination, caller), w.order[:])
	target := w.balancer.firstUsable(w.order[:n], w.now)
	if target == nil {
		counts.Drop(link.DropNoTarget)
		return
	}
	counts.Add(link.EventNewFlow, 1)
	w.forwardTo(target.VM.Data, packet, caller)
}
