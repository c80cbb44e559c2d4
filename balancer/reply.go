package balancer

import (
	"net/netip"

	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/wire"
)

// reply is a datagram to be sent to a caller.
type reply struct {
	listener *listener
	caller   netip.AddrPort
	body     []byte
}

// replyForwarder forwards the replies of one batch to callers.
type replyForwarder struct {
	balancer *Balancer
	header   wire.Header
	replies  [udpbatch.Size]reply
	count    int
	writer   *udpbatch.Writer
}

// forwardReplies forwards replies from the tunnel to callers, until the tunnel socket is closed.
func (b *Balancer) forwardReplies() {
	defer b.readers.Done()
	r := &replyForwarder{balancer: b, writer: udpbatch.NewWriter()}
	batch := udpbatch.GetBatch()
	defer batch.Release()
	for {
		n, err := b.link.Conn.Read(batch)
		if err != nil {
			return
		}
		if !b.link.WaitConfirmed() {
			return
		}
		r.collect(batch, n)
		r.send()
	}
}

func (r *replyForwarder) collect(batch *udpbatch.Batch, n int) {
	b := r.balancer
	listeners := *b.listeners.Load()
	now := b.link.Now()
	r.count = 0
	for i := range n {
		packet, complete := batch.Packet(i)
		body, ok := b.link.Accept(packet, complete, &r.header, now)
		if !ok {
			continue
		}
		if r.header.Kind != wire.Reply || !r.header.Caller.Addr().Is4() || len(body) == 0 {
			b.link.Counts.Drop(link.DropUnexpectedKind)
			continue
		}
		l := listeners[r.header.Service]
		if l == nil {
			b.link.Counts.Drop(link.DropNoListener)
			continue
		}
		r.replies[r.count] = reply{listener: l, caller: r.header.Caller, body: body}
		r.count++
	}
}

// send writes the replies, grouped by listener.
func (r *replyForwarder) send() {
	for i := range r.count {
		if l := r.replies[i].listener; l != nil {
			r.sendFrom(l, i)
		}
	}
}

func (r *replyForwarder) sendFrom(l *listener, first int) {
	for i := first; i < r.count; i++ {
		if r.replies[i].listener != l {
			continue
		}
		r.writer.Add(r.replies[i].caller, nil, r.replies[i].body)
		r.replies[i].listener = nil
	}
	counts := r.balancer.link.Counts
	queued := r.writer.Len()
	if !r.balancer.link.Gate.Allow() {
		r.writer.Discard()
		counts.DropN(link.DropHeld, queued)
		return
	}
	sent := r.writer.Flush(l.conn)
	counts.Add(link.EventReplied, sent)
	counts.DropN(link.DropSendFailed, queued-sent)
}
