// Package quicpacket reads the parts of a QUIC packet that do not depend on its version or are needed to route it.
package quicpacket

import (
	"encoding/binary"

	"github.com/cowslipward/cowslipward/connid"
)

// MinInitial is the least size of a datagram that opens a connection, RFC 9000 section 14.1.
const MinInitial = 1200

// maxConnectionID is the longest connection ID of versions 1 and 2.
const maxConnectionID = 20

// Versions of QUIC, RFC 9000 and RFC 9369.
const (
	version1 = 0x00000001
	version2 = 0x6b3343cf
)

// Packet is the routable part of the first packet of a datagram.
type Packet struct {
	Destination       []byte // connection ID; for a short header the bytes where a routable one stands
	Long              bool   // long header
	MayOpenConnection bool   // an Initial packet, or an unsupported version that the agent must negotiate
}

// RoutableID returns the bytes that may hold a routable connection ID, or nil.
func (p *Packet) RoutableID() []byte {
	if len(p.Destination) != connid.Len {
		return nil
	}
	return p.Destination
}

// Parse reads a datagram. It reports false when that is no QUIC packet.
func Parse(datagram []byte) (Packet, bool) {
	if len(datagram) < 1+connid.Len {
		return Packet{}, false
	}
	if datagram[0]&0x80 == 0 {
		if datagram[0]&0x40 == 0 {
			return Packet{}, false
		}
		return Packet{Destination: datagram[1 : 1+connid.Len]}, true
	}
	return parseLong(datagram)
}

func parseLong(datagram []byte) (Packet, bool) {
	version := binary.BigEndian.Uint32(datagram[1:5])
	length := int(datagram[5])
	if version == 0 || 6+length > len(datagram) {
		return Packet{}, false
	}
	p := Packet{Destination: datagram[6 : 6+length], Long: true}
	kind := datagram[0] >> 4 & 0x03
	switch version {
	case version1:
		p.MayOpenConnection = kind == 0
	case version2:
		p.MayOpenConnection = kind == 1
	default:
		p.MayOpenConnection = true
		return p, len(datagram) >= MinInitial
	}
	if datagram[0]&0x40 == 0 || length > maxConnectionID {
		return Packet{}, false
	}
	p.MayOpenConnection = p.MayOpenConnection && len(datagram) >= MinInitial
	return p, true
}
