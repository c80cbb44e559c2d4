package tunnel

import (
	"net/netip"
	"sync"

	"github.com/cowslipward/cowslipward/internal/udpbatch"
)

// directSocket is the socket on the service's address, used by agents whose VM owns that address.
type directSocket struct {
	mu            sync.Mutex
	address       netip.AddrPort
	socket        *udpbatch.Conn
	failedAddress netip.AddrPort // address that could not be bound, kept so that the failure is logged once
}

// write sends a datagram to the caller from the service's address. It returns false if that is not possible;
// the reply then goes through a balancer.
func (d *directSocket) write(c *Conn, service, caller netip.AddrPort, p []byte) bool {
	if !service.IsValid() {
		return false
	}
	socket := d.socketFor(c, service)
	if socket == nil {
		return false
	}
	_, err := socket.WriteToUDPAddrPort(p, caller)
	return err == nil
}

// socketFor returns the socket bound to the address, or nil if the address cannot be bound. A socket bound to
// another address is closed first.
func (d *directSocket) socketFor(c *Conn, address netip.AddrPort) *udpbatch.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.socket != nil && d.address == address {
		return d.socket
	}
	if d.failedAddress == address {
		return nil
	}
	if d.socket != nil {
		_ = d.socket.Close()
		d.socket = nil
	}
	socket, err := udpbatch.Listen(address)
	if err != nil {
		d.failedAddress = address
		c.cfg.Log.Error("reply_direct_failed", "address", address, "error", err)
		return nil
	}
	d.socket, d.address = socket, address
	return socket
}

func (d *directSocket) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.socket != nil {
		_ = d.socket.Close()
		d.socket = nil
	}
}
