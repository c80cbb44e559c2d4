package udpbatch

import (
	"encoding/binary"
	"net/netip"
	"os"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// mmsghdr is struct mmsghdr of recvmmsg(2).
type mmsghdr struct {
	hdr unix.Msghdr
	len uint32
	_   [4]byte
}

// Batch holds the buffers of one read. Reads call recvmmsg(2) directly with preallocated source addresses,
// because the ReadBatch method of golang.org/x/net/ipv4 allocates two objects per packet for the source
// address.
type Batch struct {
	headers [Size]mmsghdr
	iovecs  [Size]unix.Iovec
	sources [Size]unix.RawSockaddrInet4
	data    [Size][PacketBytes]byte

	read  func(fd uintptr) bool // method value b.recvmmsg, stored because creating it for each call would allocate
	count int
	errno unix.Errno
}

// batches pools the buffers, so that an idle socket has none allocated.
var batches = sync.Pool{New: func() any { return newBatch() }}

// GetBatch returns a batch from the pool. Release it once its packets are processed.
func GetBatch() *Batch { return batches.Get().(*Batch) }

// Release returns the batch to the pool. Its packets must not be used afterwards.
func (b *Batch) Release() { batches.Put(b) }

func newBatch() *Batch {
	b := &Batch{}
	for i := range b.headers {
		b.iovecs[i].Base = &b.data[i][0]
		b.iovecs[i].SetLen(PacketBytes)
		hdr := &b.headers[i].hdr
		hdr.Name = (*byte)(unsafe.Pointer(&b.sources[i]))
		hdr.Iov = &b.iovecs[i]
		hdr.SetIovlen(1)
	}
	b.read = b.recvmmsg
	return b
}

// recvmmsg fills the batch. It returns false if the socket has no packet, which makes RawConn.Read wait for one.
func (b *Batch) recvmmsg(fd uintptr) bool {
	for i := range b.headers {
		b.headers[i].hdr.Namelen = unix.SizeofSockaddrInet4
	}
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&b.headers[0])), Size,
		unix.MSG_DONTWAIT, 0, 0)
	b.count, b.errno = int(n), errno
	return errno != unix.EAGAIN
}

// retryDelay is the delay before a read is retried after the kernel was out of memory.
const retryDelay = 10 * time.Millisecond

// Read waits for packets, fills the batch with those available and returns their number. It retries if the
// kernel is out of memory; otherwise a temporary shortage would end the read loop of the socket for good.
func (c *Conn) Read(b *Batch) (int, error) {
	for {
		if err := c.raw.Read(b.read); err != nil {
			return 0, err
		}
		switch b.errno {
		case 0:
			return b.count, nil
		case unix.EINTR:
		case unix.ENOMEM, unix.ENOBUFS:
			time.Sleep(retryDelay)
		default:
			return 0, os.NewSyscallError("recvmmsg", b.errno)
		}
	}
}

// Packet returns packet i of the batch. It reports false if the packet was truncated to PacketBytes.
func (b *Batch) Packet(i int) ([]byte, bool) {
	h := &b.headers[i]
	return b.data[i][:h.len], h.hdr.Flags&unix.MSG_TRUNC == 0
}

// From returns the source address of packet i.
func (b *Batch) From(i int) netip.AddrPort {
	source := &b.sources[i]
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&source.Port))[:])
	return netip.AddrPortFrom(netip.AddrFrom4(source.Addr), port)
}

// WaitReadable waits until the socket has a packet. A reader that calls GetBatch only afterwards uses no
// buffers while the socket is idle, which saves memory with thousands of service addresses.
func (c *Conn) WaitReadable() error {
	return c.raw.Read(hasPacket)
}

// hasPacket reports whether the socket has a packet, without removing it. It also returns true on an error
// other than EAGAIN, which the next read returns.
func hasPacket(fd uintptr) bool {
	_, _, err := unix.Recvfrom(int(fd), nil, unix.MSG_PEEK|unix.MSG_TRUNC|unix.MSG_DONTWAIT)
	return err != unix.EAGAIN
}
