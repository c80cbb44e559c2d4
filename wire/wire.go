// Package wire encodes and decodes the header of tunnel packets between balancers and agents.
package wire

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/dchest/siphash"
	"golang.org/x/crypto/cryptobyte"

	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
)

// Version is the version of the tunnel protocol.
const Version = 1

// MaxPacket is the maximum length of a tunnel packet in bytes, including the tunnel header. With UDP and IPv4 headers
// the packet fits an Ethernet MTU of 1,500 bytes.
const MaxPacket = 1452

// Lengths in bytes. MaxHeaderLen, HeaderLenIPv4 and HeaderLenNoIP are those of the header with an IPv6 address, an IPv4
// address and no address of the caller.
const (
	macLen          = 8
	fixedLen        = 4 + 2 + 8 + 6 + 1 + 2 + 2 + 8 + macLen // without the IP address of the caller
	MaxHeaderLen    = fixedLen + 16
	HeaderLenIPv4   = fixedLen + 4
	HeaderLenNoIP   = fixedLen
	MaxDatagramIPv4 = MaxPacket - HeaderLenIPv4 // largest datagram of an IPv4 caller that fits a tunnel packet
)

// Kind is the type of a tunnel packet.
type Kind uint8

// Kinds of tunnel packets.
const (
	Forward        Kind = iota + 1 // datagram from a caller, balancer to agent or agent to agent
	Reply                          // datagram to a caller, agent to balancer
	RevisionNotice                 // the sender has a newer revision; the body is the control address to fetch it from
	Probe                          // requests a ProbeAck
	ProbeAck                       // response to a Probe
	PoolHeartbeat                  // load and state of an agent, to other agents of its service

	// NumKinds is the length of a table indexed by kind, one more than the largest kind.
	NumKinds
)

// IsData reports whether the body is a datagram from or to a caller. The MAC does not cover such a body because QUIC
// protects it.
func (k Kind) IsData() bool { return k == Forward || k == Reply }

// Header is the header of a tunnel packet.
type Header struct {
	Kind        Kind
	Hops        uint8 // number of times an agent has forwarded the packet
	Service     rules.ServiceID
	Revision    rules.Revision // rules in force at the sender
	Sender      netip.AddrPort // advertised tunnel address, IPv4
	Caller      netip.AddrPort // the zero AddrPort for kinds without a caller
	Incarnation uint16         // of the sender
	Sequence    uint64         // increases with each packet of the sender
}

// Errors of Codec.Parse.
var (
	ErrMalformed  = errors.New("tunnel packet is truncated or malformed")
	ErrVersion    = errors.New("tunnel packet has an unknown version or kind")
	ErrUnknownKey = errors.New("tunnel packet has an unknown key ID")
	ErrMAC        = errors.New("tunnel packet fails authentication")
)

// sipKey is a SipHash key as the two words that package siphash expects.
type sipKey struct {
	k0, k1 uint64
	live   bool
}

// Codec encodes, decodes and authenticates headers with the keys of a ring. It is immutable and safe for
// concurrent use.
type Codec struct {
	keys   [256]sipKey
	active uint8
}

// NewCodec returns a codec for the ring. It computes MACs with the active key and verifies them with any key of the
// ring.
func NewCodec(ring keys.Ring) *Codec {
	c := &Codec{active: ring.Active().ID}
	for _, key := range ring.Live() {
		c.keys[key.ID] = sipKey{
			k0:   binary.LittleEndian.Uint64(key.Secret[0:8]),
			k1:   binary.LittleEndian.Uint64(key.Secret[8:16]),
			live: true,
		}
	}
	return c
}

// Append appends the header and its MAC to dst, which needs MaxHeaderLen bytes of free capacity to avoid an
// allocation. It does not append the body, which follows the header in the packet. The MAC covers the body for kinds
// other than Forward and Reply.
func (c *Codec) Append(dst []byte, h *Header, body []byte) []byte {
	start := len(dst)
	b := cryptobyte.NewBuilder(dst)
	b.AddUint8(Version)
	b.AddUint8(uint8(h.Kind))
	b.AddUint8(c.active)
	b.AddUint8(h.Hops)
	b.AddUint16(uint16(h.Service))
	b.AddUint64(uint64(h.Revision))
	addIPv4AddrPort(b, h.Sender)
	addCaller(b, h.Caller)
	b.AddUint16(h.Incarnation)
	b.AddUint64(h.Sequence)
	out := b.BytesOrPanic()
	mac := c.mac(&c.keys[c.active], h.Kind, out[start:], body)
	return binary.LittleEndian.AppendUint64(out, mac)
}

func addIPv4AddrPort(b *cryptobyte.Builder, a netip.AddrPort) {
	var ip [4]byte
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	b.AddBytes(ip[:])
	b.AddUint16(a.Port())
}

// addCaller writes the length prefix itself because Builder.AddUint8LengthPrefixed allocates.
func addCaller(b *cryptobyte.Builder, a netip.AddrPort) {
	switch addr := a.Addr(); {
	case addr.Is4():
		ip := addr.As4()
		b.AddUint8(uint8(len(ip)))
		b.AddBytes(ip[:])
	case addr.Is6():
		ip := addr.As16()
		b.AddUint8(uint8(len(ip)))
		b.AddBytes(ip[:])
	default:
		b.AddUint8(0)
	}
	b.AddUint16(a.Port())
}

// mac returns the SipHash of the header. For control kinds with a body, it returns the SipHash of the body under a key
// derived from the hash of the header.
func (c *Codec) mac(key *sipKey, kind Kind, header, body []byte) uint64 {
	sum := siphash.Hash(key.k0, key.k1, header)
	if kind.IsData() || len(body) == 0 {
		return sum
	}
	return siphash.Hash(key.k0^sum, key.k1, body)
}

// Parse decodes the header of a packet into h, verifies its MAC and returns the body, which aliases the packet.
func (c *Codec) Parse(packet []byte, h *Header) ([]byte, error) {
	s := cryptobyte.String(packet)
	var version, kind, keyID uint8
	if !s.ReadUint8(&version) || !s.ReadUint8(&kind) || !s.ReadUint8(&keyID) {
		return nil, ErrMalformed
	}
	if version != Version || kind == 0 || Kind(kind) >= NumKinds {
		return nil, ErrVersion
	}
	h.Kind = Kind(kind)
	if !readFields(&s, h) {
		return nil, ErrMalformed
	}
	header := packet[:len(packet)-len(s)]
	var mac []byte
	if !s.ReadBytes(&mac, macLen) {
		return nil, ErrMalformed
	}
	key := &c.keys[keyID]
	if !key.live {
		return nil, ErrUnknownKey
	}
	if binary.LittleEndian.Uint64(mac) != c.mac(key, h.Kind, header, s) {
		return nil, ErrMAC
	}
	return s, nil
}

func readFields(s *cryptobyte.String, h *Header) bool {
	var service uint16
	var revision uint64
	ok := s.ReadUint8(&h.Hops) && s.ReadUint16(&service) && s.ReadUint64(&revision)
	h.Service = rules.ServiceID(service)
	h.Revision = rules.Revision(revision)
	return ok && readIPv4AddrPort(s, &h.Sender) && readCaller(s, &h.Caller) &&
		s.ReadUint16(&h.Incarnation) && s.ReadUint64(&h.Sequence)
}

func readIPv4AddrPort(s *cryptobyte.String, a *netip.AddrPort) bool {
	var ip []byte
	var port uint16
	if !s.ReadBytes(&ip, 4) || !s.ReadUint16(&port) {
		return false
	}
	*a = netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), port)
	return true
}

func readCaller(s *cryptobyte.String, a *netip.AddrPort) bool {
	var ip cryptobyte.String
	var port uint16
	if !s.ReadUint8LengthPrefixed(&ip) || !s.ReadUint16(&port) {
		return false
	}
	switch len(ip) {
	case 0:
		*a = netip.AddrPort{}
		return port == 0
	case 4, 16:
		addr, _ := netip.AddrFromSlice(ip)
		*a = netip.AddrPortFrom(addr, port)
		return port != 0 && !addr.Is4In6()
	default:
		return false
	}
}
