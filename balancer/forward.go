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

// worker is the state for processing one batch. Workers are pooled, so that an idle listener holds none.
type worker struct {
	balancer     *Balancer
	listener     *listener
	codecs       *link.Codecs
	table        *routing.Table
	now          time.Duration
	header       wire.Header
	tunnelWriter *udpbatch.Writer               // to agents
	callerWriter *udpbatch.Writer               // to callers: stateless resets
	ranked       [routing.MaxRank]*fleet.Target // targets for a new flow, in order of preference
	resetTokens  tokenDeriver
}

var workers = sync.Pool{New: func() any {
	return &worker{tunnelWriter: udpbatch.NewWriter(), callerWriter: udpbatch.NewWriter()}
}}

// forward sends datagrams that arrive at a listener to agents, until the listener is closed.
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

// forwardBatch routes the packets of a batch. The view gate is checked before routing and again before the
// write, because the process may have been paused in between. A batch that was held meanwhile is dropped if its
// address no longer belongs to the listener's service.
func (b *Balancer) forwardBatch(l *listener, batch *udpbatch.Batch, n int) {
	if !b.link.WaitConfirmed() {
		return
	}
	w := workers.Get().(*worker)
	defer w.release()
	w.prepare(b, l, uint64(n))
	if !b.isInForce(l, w.table.View.Rules()) {
		b.link.Counts.DropN(link.DropWrongService, n)
		return
	}
	for i := range n {
		packet, complete := batch.Packet(i)
		if !complete || len(packet) > wire.MaxDatagramIPv4 {
			b.link.Counts.Drop(link.DropOversized)
			continue
		}
		w.route(packet, batch.From(i))
	}
	w.send()
}

func (w *worker) prepare(b *Balancer, l *listener, n uint64) {
	w.balancer, w.listener = b, l
	w.codecs = b.link.Codecs()
	w.table = b.routingTable()
	w.now = b.link.Now()
	w.header = b.link.Header(wire.Forward)
	w.header.Service = l.service
	w.header.Sequence = b.link.Sequence(n)
}

func (w *worker) release() {
	w.balancer, w.listener, w.codecs, w.table = nil, nil, nil, nil
	clear(w.ranked[:])
	workers.Put(w)
}

func (w *worker) send() {
	b := w.balancer
	if !b.link.Gate.Allow() {
		b.link.Counts.DropN(link.DropHeld, w.tunnelWriter.Len())
		w.tunnelWriter.Discard()
		w.callerWriter.Discard()
		return
	}
	if w.callerWriter.Len() > 0 {
		b.link.Counts.Add(link.EventReset, w.callerWriter.Flush(w.listener.conn))
	}
	if queued := w.tunnelWriter.Len(); queued > 0 {
		sent := w.tunnelWriter.Flush(b.link.Conn)
		b.link.Counts.Add(link.EventForwarded, sent)
		b.link.Counts.DropN(link.DropSendFailed, queued-sent)
	}
}

// route chooses the destination of a datagram. Packets of an established flow are routed by their connection
// ID alone.
func (w *worker) route(packet []byte, caller netip.AddrPort) {
	counts := w.balancer.link.Counts
	p, ok := quicpacket.Parse(packet)
	if !ok {
		counts.Drop(link.DropMalformed)
		return
	}
	id, routable := w.codecs.ID.Decode(p.RoutableID())
	if !routable {
		w.routeNewFlow(&p, packet, caller)
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
		w.sendReset(&p, packet, caller)
	case w.processEnded(view.TargetByAddress(id.Agent), id.Incarnation):
		counts.Drop(link.DropTargetGone)
		w.sendReset(&p, packet, caller)
	default:
		w.forwardTo(id.Agent, packet, caller)
	}
}

// processEnded reports whether the agent process that serves the flow has ended. A different incarnation in
// the view proves nothing, because the view may be older than the flow; the agent at that address knows its
// incarnation and sends the reset itself. A target that its peers declared down must also leave a probe of
// this balancer unanswered, because a network partition may separate the peers from an agent that this
// balancer still reaches.
func (w *worker) processEnded(target *fleet.Target, incarnation uint16) bool {
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
	header := w.codecs.Wire.Append(w.tunnelWriter.Header(), &w.header, nil)
	w.header.Sequence++
	w.tunnelWriter.Add(agent, header, packet)
}

// routeNewFlow chooses a target for a packet that opens a flow and sends the packet there.
func (w *worker) routeNewFlow(p *quicpacket.Packet, packet []byte, caller netip.AddrPort) {
	counts := w.balancer.link.Counts
	if !p.MayOpenConnection {
		counts.Drop(link.DropUnroutable)
		return
	}
	pool := w.table.Pool(w.listener.service)
	n := pool.Rank(routing.Key(p.Destination, caller), w.ranked[:])
	target := w.balancer.firstUsable(w.ranked[:n], w.now)
	if target == nil {
		counts.Drop(link.DropNoTarget)
		return
	}
	counts.Add(link.EventNewFlow, 1)
	w.forwardTo(target.VM.Data, packet, caller)
}
