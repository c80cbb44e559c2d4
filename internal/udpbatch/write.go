package udpbatch

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// headerBytes is the capacity of the header buffer of each packet.
const headerBytes = 64

// Writer queues up to Size packets and sends them as a batch. A packet consists of an optional header in a
// buffer of the writer, and a payload, which must not be modified until Flush.
type Writer struct {
	messages [Size]ipv4.Message
	buffers  [Size][2][]byte
	headers  [Size][headerBytes]byte
	addrs    [Size]net.UDPAddr
	ips      [Size][4]byte
	count    int
}

// NewWriter returns an empty writer.
func NewWriter() *Writer {
	w := &Writer{}
	for i := range w.messages {
		w.addrs[i].IP = w.ips[i][:]
		w.messages[i].Addr = &w.addrs[i]
	}
	return w
}

// Len returns the number of queued packets.
func (w *Writer) Len() int { return w.count }

// Full reports whether Flush must be called before the next Add.
func (w *Writer) Full() bool { return w.count == Size }

// Header returns an empty slice to which the header of the next packet can be appended.
func (w *Writer) Header() []byte { return w.headers[w.count][:0] }

// Add queues a packet. header is the result of appending to Header, or empty. The writer must not be full.
func (w *Writer) Add(to netip.AddrPort, header, payload []byte) {
	i := w.count
	w.ips[i] = to.Addr().As4()
	w.addrs[i].Port = int(to.Port())
	parts := w.buffers[i][:0]
	if len(header) > 0 {
		parts = append(parts, header)
	}
	if len(payload) > 0 {
		parts = append(parts, payload)
	}
	w.messages[i].Buffers = parts
	w.count++
}

// Discard drops the queued packets.
func (w *Writer) Discard() { w.count = 0 }

// Flush sends the queued packets and returns how many the kernel accepted. A rejected packet is skipped, so
// that one bad address does not block the others.
func (w *Writer) Flush(c *Conn) int {
	sent := 0
	for next := 0; next < w.count; {
		n, _ := c.batch.WriteBatch(w.messages[next:w.count], 0)
		if n <= 0 {
			next++
			continue
		}
		sent += n
		next += n
	}
	w.count = 0
	return sent
}
