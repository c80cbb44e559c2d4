// Package quicpacket parses the fields of a QUIC packet that are independent of the version or needed for
// routing.
package quicpacket

import (
	"encoding/binary"

	"github.com/cowslipward/cowslipward/connid"
)

// MinInitial is the minimum size in bytes of a datagram with an Initial packet, RFC 9000 section 14.1.
const MinInitial = 1200

// maxConnectionID is the maximum length in bytes of a connection ID in QUIC versions 1 and 2.
const maxConnectionID = 20

// QUIC versions 1 (RFC 9000) and 2 (RFC 9369).
const (
	version1 = 0x00000001
	version2 = 0x6b3343cf
)

// Packet holds the fields of the first QUIC packet of a datagram that are used for routing.
type Packet struct {
	Destination       []byte // destination connection ID; in a short header, connid.Len bytes from its start
	Long              bool   // the packet has a long header
	MayOpenConnection bool   // an Initial packet, or an unsupported version that the agent must negotiate
}

// RoutableID returns the destination connection ID if it has the length of a routable one, and nil otherwise.
func (p *Packet) RoutableID() []byte {
	if len(p.Destination) != connid.Len {
		return nil
	}
	return p.Destination
}

// Parse parses the first packet of a datagram. It reports false for a datagram that is not QUIC, is too short
// or contains a version negotiation packet.
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
	packetType := datagram[0] >> 4 & 0x03
	switch version {
	case version1:
		p.MayOpenConnection = packetType == 0
	case version2:
		p.MayOpenConnection = packetType == 1
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
