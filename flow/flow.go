// Package flow defines types for flows between callers and services: endpoints, keys, packet headers and a bounded
// table with one value per flow.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an IPv4 address and a port. It contains no pointers, so that the garbage collector does not scan large
// tables of endpoints.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf converts an address. It returns the zero Endpoint for IPv6 addresses other than IPv4-mapped ones.
func EndpointOf(address netip.AddrPort) Endpoint {
	ip := address.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}
	}
	return Endpoint{IP: ip.As4(), Port: address.Port()}
}

// AddrPort converts the endpoint for use with package net.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// IsValid reports whether the endpoint has a port.
func (e Endpoint) IsValid() bool { return e.Port != 0 }

// String returns the endpoint as IP:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow by its two endpoints.
type Key struct {
	Caller  Endpoint
	Service Endpoint // address of the service that the caller connects to
}

// Hash returns a hash that is the same in every process.
func (k Key) Hash() uint64 {
	var b [12]byte
	copy(b[0:4], k.Caller.IP[:])
	copy(b[4:8], k.Service.IP[:])
	binary.BigEndian.PutUint16(b[8:10], k.Caller.Port)
	binary.BigEndian.PutUint16(b[10:12], k.Service.Port)
	return xxhash.Sum64(b[:])
}

// Reversed returns the key with its endpoints exchanged.
func (k Key) Reversed() Key { return Key{Caller: k.Service, Service: k.Caller} }

// String returns both endpoints, caller first.
func (k Key) String() string { return fmt.Sprintf("%s-%s", k.Caller, k.Service) }

// Packet is the decoded header of one packet, independent of the packet format.
type Packet struct {
	From, To       Endpoint
	Seq, Ack       uint32
	DataLen        int
	Syn            bool
	AckFlag        bool
	Fin            bool
	Reset          bool
	Returned       bool // a target sent the packet back because it does not accept or own the flow
	Retransmission int  // for a SYN: 0 for the original, then the number of the retransmission

	HoldTime time.Duration // how long the balancer held the packet until it could decide about it

	// Budget is how long the caller still waits for the response to the request that starts in the data; 0 if
	// unknown.
	Budget time.Duration
	// ResponseStatus is the HTTP status of the response that starts in the data; 0 if none does.
	ResponseStatus int
}

// MinServerErrorStatus is the lowest HTTP status that reports a failure of the target.
const MinServerErrorStatus = 500

// OpensFlow reports whether a packet from a caller is a SYN, which requests a new flow.
func (p *Packet) OpensFlow() bool { return p.Syn && !p.AckFlag && !p.Reset }

// KeyFromCaller returns the key of the flow of a packet that a caller sent.
func (p *Packet) KeyFromCaller() Key { return Key{Caller: p.From, Service: p.To} }

// KeyFromTarget returns the key of the flow of a packet that a target sent.
func (p *Packet) KeyFromTarget() Key { return Key{Caller: p.To, Service: p.From} }
