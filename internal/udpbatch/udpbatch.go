// Package udpbatch reads and writes UDP packets in batches without an allocation per packet.
package udpbatch

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// Size is the number of packets in a batch.
const Size = 64

// PacketBytes is the size of the receive buffer of a packet. Longer packets are truncated; see Batch.Packet.
const PacketBytes = 1536

// bufferBytes is the kernel buffer size requested for each socket, per direction. A burst of a few hundred
// packets overflows the default of about 200 KB.
const bufferBytes = 4 << 20

// Conn is an IPv4 UDP socket. Reads and writes are safe for concurrent use.
type Conn struct {
	*net.UDPConn
	raw   syscall.RawConn
	batch *ipv4.PacketConn
}

// Listen binds the address. Errors contain the address.
func Listen(address netip.AddrPort) (*Conn, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("bind UDP %s: the address is in use by another process: %w", address, err)
	}
	if err != nil {
		return nil, fmt.Errorf("bind UDP %s: %w", address, err)
	}
	raw, err := udp.SyscallConn()
	if err != nil {
		_ = udp.Close()
		return nil, fmt.Errorf("bind UDP %s: %w", address, err)
	}
	setBuffers(raw)
	return &Conn{UDPConn: udp, raw: raw, batch: ipv4.NewPacketConn(udp)}, nil
}

// Address returns the bound address.
func (c *Conn) Address() netip.AddrPort {
	address := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// setBuffers requests large socket buffers. Without CAP_NET_ADMIN, the kernel limits them to
// net.core.rmem_max and net.core.wmem_max. Errors are ignored, since the socket also works with smaller
// buffers.
func setBuffers(raw syscall.RawConn) {
	_ = raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF, unix.SO_RCVBUFFORCE, unix.SO_SNDBUFFORCE} {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bufferBytes)
		}
	})
}

// ShortBuffer returns the actual and the requested size of the receive buffer in bytes, and whether it is
// smaller than requested.
func (c *Conn) ShortBuffer() (got, want int, short bool) {
	_ = c.raw.Control(func(fd uintptr) {
		got, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	})
	got /= 2 // the kernel doubles the size to account for its own overhead
	return got, bufferBytes, got < bufferBytes
}
