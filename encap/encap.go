// Package encap encodes and decodes the header that precedes a packet in the UDP datagrams between balancers and
// agents.
package encap

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// HeaderBytes is the length of the header without its path, ReportBytes the length of the shortest report, and
// MaxPathLen the maximum number of VMs on a path.
const (
	HeaderBytes = 27
	ReportBytes = 5
	MaxPathLen  = 15
)

// FailedShareHalfLife is the half-life of the share of failed requests, both at the agent that measures it and at
// balancers that receive no newer report. It determines how soon a target whose requests failed is offered new flows
// again.
const FailedShareHalfLife = 2 * time.Second

// magic is the first field of each header. Its low byte is the version of the format.
const magic = 0xc103

// Kind is the type of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	// KindForward carries a packet from a caller to the agent of a target.
	KindForward Kind = iota + 1
	// KindReturn carries a packet back to the balancer because the target does not accept it.
	KindReturn
	// KindReport carries no packet: an agent reports the load of its target to a balancer. Its header is short and
	// contains only Load, Waiting, Silent, a nonzero FailedPercent and, if one of them is nonzero, the fields of
	// Capacity, since reports are most of the traffic of large fleets.
	KindReport
	// KindFound informs a balancer that the target owns the flow that the balancer searches for. It carries a
	// packet of the flow.
	KindFound
	// KindProbe carries no packet: a balancer requests a report from an agent.
	KindProbe
)

// Reason is why an agent returned a packet.
type Reason uint8

// Reasons for a return.
const (
	ReasonNone         Reason = iota
	ReasonRefused             // the target rejected it: it does not own the flow or has no capacity for it
	ReasonBusy                // the target is busy and its agent admits no new flows
	ReasonCold                // the target is in its cold start and has reached its limit of new flows for this second
	ReasonOtherService        // the target serves another service than the packet's
	ReasonSilent              // the target does not answer
	ReasonOverloaded          // for longer than the route's latency objective, the target could answer no more flows in time
)

var reasonNames = [...]string{"none", "refused", "busy", "cold", "other_service", "silent", "overloaded"}

// String returns the reason as written to logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Header precedes a packet that is sent between a balancer and an agent, or between agents.
type Header struct {
	Kind            Kind
	Reason          Reason   // KindReturn: why the agent returned the packet
	MayWait         bool     // for a SYN: the agent may queue it, since no other target accepts it now
	Search          bool     // the packet belongs to a search for the target that owns the flow
	Attempt         uint8    // number of targets that the packet was offered to before
	Priority        uint8    // KindForward: priority of the route, 0 is the highest
	Slots           uint8    // KindForward: concurrency limit of the target in requests; 255 means 255 or more
	Load            uint8    // from an agent: requests in progress at its target, including flows that are about to send one
	Waiting         uint8    // from an agent: new flows that wait for a slot
	Silent          bool     // from an agent: the target does not answer
	FailedPercent   uint8    // from an agent: percentage of its target's recent requests that failed
	ColdRate        uint16   // KindForward: new flows per second that a cold target may accept, in tenths; 0: no limit
	HoldMillis      uint16   // KindForward: how long the balancer held the packet
	ObjectiveMillis uint16   // KindForward: response time objective of the route
	Service         uint32   // hash of the name of the service that the packet is addressed to; KindFound: of the target
	Capacity        Capacity // KindReport: what the target takes well; zero if the agent does not learn it

	// Origin is the balancer that receives the reply if another agent forwarded the packet. Path lists the agents
	// that a search visits next, and Round is the number of the search.
	Origin [4]byte
	Round  uint8
	Path   Path
}

// Path is a list of at most MaxPathLen VMs.
type Path struct {
	Len int
	IPs [MaxPathLen][4]byte
}

// Add appends a VM. The path must not be full.
func (p *Path) Add(ip [4]byte) {
	p.IPs[p.Len] = ip
	p.Len++
}

// Next removes the first VM from the path and returns it. It returns false if the path is empty.
func (p *Path) Next() (ip [4]byte, ok bool) {
	if p.Len == 0 {
		return ip, false
	}
	ip = p.IPs[0]
	copy(p.IPs[:], p.IPs[1:p.Len])
	p.Len--
	return ip, true
}

const (
	flagMayWait = 1
	flagSilent  = 2
	flagSearch  = 4
)

// Errors for datagrams that cannot be decoded.
var (
	ErrShort         = errors.New("datagram is shorter than its header")
	ErrUnknownFormat = errors.New("datagram has an unknown format or version")
	ErrShortPath     = errors.New("datagram is shorter than the path in its header")
)

// reportSilentBit is set in the byte for Waiting of a report if the target does not answer.
const reportSilentBit = 1 << 7

// Append appends the encoded header to b.
func (h *Header) Append(b []byte) []byte {
	if h.Kind == KindReport {
		return h.appendReport(b)
	}
	var flags byte
	if h.MayWait {
		flags |= flagMayWait
	}
	if h.Silent {
		flags |= flagSilent
	}
	if h.Search {
		flags |= flagSearch
	}
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, byte(h.Kind), byte(h.Reason), flags, h.Attempt, h.Slots, h.Load, h.Waiting, h.Priority)
	b = binary.BigEndian.AppendUint16(b, h.ColdRate)
	b = binary.BigEndian.AppendUint16(b, h.ObjectiveMillis)
	b = binary.BigEndian.AppendUint32(b, h.Service)
	b = append(b, h.Origin[:]...)
	b = append(b, h.Round, byte(h.Path.Len))
	b = binary.BigEndian.AppendUint16(b, h.HoldMillis)
	b = append(b, h.FailedPercent)
	for i := range h.Path.Len {
		b = append(b, h.Path.IPs[i][:]...)
	}
	return b
}

func (h *Header) appendReport(b []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, magic)
	waiting := min(h.Waiting, reportSilentBit-1)
	if h.Silent {
		waiting |= reportSilentBit
	}
	b = append(b, byte(h.Kind), h.Load, waiting)
	if h.Capacity != (Capacity{}) {
		return h.Capacity.append(append(b, h.FailedPercent))
	}
	if h.FailedPercent > 0 {
		b = append(b, h.FailedPercent)
	}
	return b
}

func decodeReport(b []byte) (Header, []byte) {
	h := Header{Kind: KindReport, Load: b[3], Waiting: b[4] &^ reportSilentBit, Silent: b[4]&reportSilentBit != 0}
	rest := b[ReportBytes:]
	if len(rest) > 0 {
		h.FailedPercent, rest = rest[0], rest[1:]
	}
	if len(rest) >= capacityBytes {
		h.Capacity, rest = decodeCapacity(rest), rest[capacityBytes:]
	}
	return h, rest
}

// isReport reports whether a datagram starts with the header of a report.
func isReport(b []byte) bool {
	return len(b) >= ReportBytes && binary.BigEndian.Uint16(b) == magic && Kind(b[2]) == KindReport
}

// Decode decodes the header of a datagram and returns it with the packet that follows. It returns ErrShort,
// ErrUnknownFormat or ErrShortPath if the datagram has no valid header.
func Decode(b []byte) (Header, []byte, error) {
	if isReport(b) {
		h, rest := decodeReport(b)
		return h, rest, nil
	}
	if len(b) < HeaderBytes {
		return Header{}, nil, ErrShort
	}
	if binary.BigEndian.Uint16(b) != magic || b[2] == 0 || b[2] > byte(KindProbe) {
		return Header{}, nil, ErrUnknownFormat
	}
	h := Header{
		Kind:            Kind(b[2]),
		Reason:          Reason(b[3]),
		MayWait:         b[4]&flagMayWait != 0,
		Silent:          b[4]&flagSilent != 0,
		Search:          b[4]&flagSearch != 0,
		Attempt:         b[5],
		Slots:           b[6],
		Load:            b[7],
		Waiting:         b[8],
		Priority:        b[9],
		ColdRate:        binary.BigEndian.Uint16(b[10:]),
		ObjectiveMillis: binary.BigEndian.Uint16(b[12:]),
		Service:         binary.BigEndian.Uint32(b[14:]),
	}
	copy(h.Origin[:], b[18:])
	h.Round = b[22]
	h.Path.Len = int(b[23])
	h.HoldMillis = binary.BigEndian.Uint16(b[24:])
	h.FailedPercent = b[26]
	rest := b[HeaderBytes:]
	if h.Path.Len > MaxPathLen || len(rest) < 4*h.Path.Len {
		return Header{}, nil, ErrShortPath
	}
	for i := range h.Path.Len {
		copy(h.Path.IPs[i][:], rest[4*i:])
	}
	return h, rest[4*h.Path.Len:], nil
}

// Clamp8 returns n limited to the range of a byte.
func Clamp8(n int) uint8 { return uint8(min(max(n, 0), math.MaxUint8)) }

// Millis returns a duration in milliseconds, limited to the range of a header field.
func Millis(d time.Duration) uint16 { return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16)) }

// Percent converts a share from 0 to 1 to the unit of FailedPercent.
func Percent(share float64) uint8 { return uint8(min(max(share, 0), 1)*100 + 0.5) }

// Tenths converts a rate per second to the unit of ColdRate. The result is at least 1 if the rate is above zero,
// since 0 means no limit.
func Tenths(rate float64) uint16 {
	if rate <= 0 {
		return 0
	}
	return uint16(min(max(1, rate*10), math.MaxUint16))
}
