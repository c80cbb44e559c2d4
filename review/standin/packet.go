package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagFin     = 1
	flagAck     = 2
	flagSyn     = 4
	flagBounced = 8
	flagReset   = 128
)

const (
	headerBytes = 32
	maxData     = 1200
)

// sumKey stands for the key that only the two ends of a flow know.
const sumKey = 0x3c5a_91e7

// flowRoute is the address and port of a route.
type flowRoute = netip.AddrPort

// flowKey names a flow by the client's end and the address of the route.
type flowKey struct {
	client, route netip.AddrPort
}

func (k flowKey) String() string { return fmt.Sprintf("%s>%s", k.client, k.route) }

// packet is a decoded packet.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	echo     uint32
	seq, ack uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

var errMalformed = errors.New("malformed packet")

// encode returns the packet with a valid sum.
func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.LittleEndian.PutUint32(b[0:], p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	binary.LittleEndian.PutUint16(b[8:], uint16(len(p.data)))
	b[10] = p.flags
	binary.LittleEndian.PutUint32(b[12:], p.echo)
	putAddress(b[16:], p.src)
	putAddress(b[22:], p.dst)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[28:], sum(b))
	return b
}

// decode decodes a packet. It returns errMalformed for a packet that its sender did not write so. A reset of the system
// has no sum.
func decode(b []byte) (packet, error) {
	var p packet
	if len(b) < headerBytes || len(b) > headerBytes+maxData || len(b) != headerBytes+int(binary.LittleEndian.Uint16(b[8:])) {
		return p, errMalformed
	}
	p = packet{
		seq: binary.LittleEndian.Uint32(b[0:]), ack: binary.LittleEndian.Uint32(b[4:]), flags: b[10],
		echo: binary.LittleEndian.Uint32(b[12:]), src: address(b[16:]), dst: address(b[22:]), data: b[headerBytes:],
	}
	got := binary.LittleEndian.Uint32(b[28:])
	if got != sum(b) && (got != 0 || !p.has(flagReset)) {
		return p, errMalformed
	}
	return p, nil
}

// sum covers all fields except echo, pad and the bounced flag.
func sum(b []byte) uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, sumKey))
	_, _ = h.Write(b[:10])
	_, _ = h.Write([]byte{b[10] &^ flagBounced})
	_, _ = h.Write(b[16:28])
	_, _ = h.Write(b[headerBytes:])
	return h.Sum32() | 1 // never 0, which marks a reset of the system
}

// putAddress writes an address and a port, both little-endian.
func putAddress(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
	binary.LittleEndian.PutUint16(b[4:], a.Port())
}

func address(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}), binary.LittleEndian.Uint16(b[4:]))
}
