package forward

import (
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
)

// outbox collects datagrams for one socket. Datagrams that are added must stay unchanged until Flush.
type outbox struct {
	conn   *udpbatch.Conn
	writer *udpbatch.Writer
}

func newOutbox(conn *udpbatch.Conn) *outbox {
	return &outbox{conn: conn, writer: udpbatch.NewWriter()}
}

// send adds a packet as it is.
func (o *outbox) send(to flow.Endpoint, packet []byte) {
	o.room()
	o.writer.Add(to.AddrPort(), nil, packet)
}

// sendOwned adds a short packet that the caller may change at once.
func (o *outbox) sendOwned(to flow.Endpoint, packet []byte) {
	o.room()
	o.writer.Add(to.AddrPort(), append(o.writer.Header(), packet...), nil)
}

// wrap adds a packet under a header.
func (o *outbox) wrap(to flow.Endpoint, h *encap.Header, packet []byte) {
	o.room()
	o.writer.Add(to.AddrPort(), h.Append(o.writer.Header()), packet)
}

// wrapOwned adds a short packet under a header. The caller may change the packet at once.
func (o *outbox) wrapOwned(to flow.Endpoint, h *encap.Header, packet []byte) {
	o.room()
	o.writer.Add(to.AddrPort(), append(h.Append(o.writer.Header()), packet...), nil)
}

func (o *outbox) room() {
	if o.writer.Full() {
		o.flush()
	}
}

func (o *outbox) flush() {
	if o.writer.Len() > 0 {
		o.writer.Flush(o.conn)
	}
}
