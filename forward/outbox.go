package forward

import (
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
)

// outbox batches datagrams for one socket. Added packets must not be modified until flush, unless they were
// copied.
type outbox struct {
	conn   *udpbatch.Conn
	writer *udpbatch.Writer
}

func newOutbox(conn *udpbatch.Conn) *outbox {
	return &outbox{conn: conn, writer: udpbatch.NewWriter()}
}

// send adds a packet without a header.
func (o *outbox) send(to flow.Endpoint, packet []byte) {
	o.ensureRoom()
	o.writer.Add(to.AddrPort(), nil, packet)
}

// sendCopy adds a copy of a short packet.
func (o *outbox) sendCopy(to flow.Endpoint, packet []byte) {
	o.ensureRoom()
	o.writer.Add(to.AddrPort(), append(o.writer.Header(), packet...), nil)
}

// sendEncapsulated adds a packet behind an encapsulation header.
func (o *outbox) sendEncapsulated(to flow.Endpoint, h *encap.Header, packet []byte) {
	o.ensureRoom()
	o.writer.Add(to.AddrPort(), h.Append(o.writer.Header()), packet)
}

// sendEncapsulatedCopy adds a copy of a short packet behind an encapsulation header.
func (o *outbox) sendEncapsulatedCopy(to flow.Endpoint, h *encap.Header, packet []byte) {
	o.ensureRoom()
	o.writer.Add(to.AddrPort(), append(h.Append(o.writer.Header()), packet...), nil)
}

func (o *outbox) ensureRoom() {
	if o.writer.Full() {
		o.flush()
	}
}

func (o *outbox) flush() {
	if o.writer.Len() > 0 {
		o.writer.Flush(o.conn)
	}
}
