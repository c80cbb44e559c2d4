package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
)

// headerBytes is the length of the header that precedes the data of each packet, and maxData the most data of a packet.
const (
	headerBytes = 32
	maxData     = 1200
)

// Bits of the flags of a packet.
const (
	flagFIN     = 1
	flagACK     = 2
	flagSYN     = 4
	flagBounced = 8
	flagRST     = 128
)

// sumKey is the key that clients and hosts share. The system does not know it.
const sumKey = 0x51a7c0de

// endpoint is an address and a port inside the header of a packet.
type endpoint struct {
	ip   [4]byte
	port uint16
}

func (e endpoint) String() string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", e.ip[0], e.ip[1], e.ip[2], e.ip[3], e.port)
}

// flowKey names a flow by the endpoint of the client and the address of the route.
type flowKey struct {
	client, route endpoint
}

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }

// packet is a decoded packet.
type packet struct {
	src, dst endpoint
	seq, ack uint32
	flags    byte
	data     []byte
	sum      uint32
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// isSystemReset reports whether the packet is a reset that the system made, not a host.
func (p *packet) isSystemReset() bool { return p.has(flagRST) && p.sum == 0 && len(p.data) == 0 }

func putEndpoint(b []byte, e endpoint) {
	for i := range e.ip {
		b[i] = e.ip[3-i]
	}
	binary.LittleEndian.PutUint16(b[4:], e.port)
}

func readEndpoint(b []byte) endpoint {
	return endpoint{ip: [4]byte{b[3], b[2], b[1], b[0]}, port: binary.LittleEndian.Uint16(b[4:])}
}

// encode returns the datagram of a packet with its sum.
func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.LittleEndian.PutUint32(b[0:], p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	binary.LittleEndian.PutUint16(b[8:], uint16(len(p.data)))
	b[10] = p.flags
	putEndpoint(b[16:], p.src)
	putEndpoint(b[22:], p.dst)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[28:], keyedSum(b))
	return b
}

// keyedSum returns the sum over all fields of a datagram but echo, pad, BOUNCED and the sum itself.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	_ = binary.Write(h, binary.LittleEndian, uint32(sumKey))
	_, _ = h.Write(b[:10])
	_, _ = h.Write([]byte{b[10] &^ flagBounced})
	_, _ = h.Write(b[16:28])
	_, _ = h.Write(b[headerBytes:])
	return h.Sum32()
}

var errPacket = errors.New("datagram is no packet")

// decode decodes a datagram. It returns an error if the datagram is not as its sender wrote it. Resets of the system
// have no sum.
func decode(b []byte) (*packet, error) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.LittleEndian.Uint16(b[8:])) {
		return nil, errPacket
	}
	p := &packet{
		src: readEndpoint(b[16:]), dst: readEndpoint(b[22:]),
		seq: binary.LittleEndian.Uint32(b[0:]), ack: binary.LittleEndian.Uint32(b[4:]),
		flags: b[10], data: append([]byte(nil), b[headerBytes:]...), sum: binary.LittleEndian.Uint32(b[28:]),
	}
	if !p.isSystemReset() && p.sum != keyedSum(b) {
		return nil, errPacket
	}
	return p, nil
}
