// Package encap is the header under which balancers and agents send each other packets of flows. It precedes the packet
// in a UDP datagram.
package encap

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// HeaderBytes is the length of the header without its path, ReportBytes that of the shortest report, and MaxPathLen the longest path.
const (
	HeaderBytes = 27
	ReportBytes = 5
	MaxPathLen  = 15
)

// FailedShareHalfLife is the time in which the share of failed requests halves, at the agent that counts them and at balancers
// that hear no more of it: so soon is a target that failed offered new flows again.
const FailedShareHalfLife = 2 * time.Second

// magic begins each header; its last half is the version of the format.
const magic = 0xc103

// Kind says what a datagram is.
type Kind uint8

// Kinds of datagram.
const (
	// KindForward carries a caller's packet to an agent, for its target.
	KindForward Kind = iota + 1
	// KindReturn carries a packet back to the balancer, since the target does not take it.
	KindReturn
	// KindReport has no packet: an agent tells a balancer of its target's work. Its header is short and holds Load, Waiting,
	// Silent and, where it is not zero, Failing only, since reports are most of what large fleets send.
	KindReport
	// KindFound tells a balancer that the target holds the flow that it searches; it carries a packet of the flow.
	KindFound
	// KindProbe has no packet: a balancer asks an agent for a report.
	KindProbe
)

// Reason says why a packet came back.
type Reason uint8

// Reasons of a return.
const (
	ReasonNone         Reason = iota
	ReasonRefused             // the target sent it back: it does not hold the flow or has no room for it
	ReasonBusy                // the agent holds new flows back from a busy target
	ReasonCold                // the target is cold and got its share of this second
	ReasonOtherService        // the target belongs to another service than the packet
	ReasonSilent              // the target does not answer
)

var reasonNames = [...]string{"none", "refused", "busy", "cold", "other_service", "silent"}

// String returns the reason as logs show it.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Header precedes a packet between processes.
type Header struct {
	Kind            Kind
	Reason          Reason // of a return
	MayWait         bool   // of a SYN: no other target takes it now, so that the agent may make it wait
	Search          bool   // KindForward: the balancer wants to know whether the target holds the flow
	Attempt         uint8  // targets that the packet was offered to before
	Priority        uint8  // KindForward: of the route, 0 is the highest
	Slots           uint8  // KindForward: requests that the target works on at once; 255 stands for that many or more
	Load            uint8  // from an agent: requests in progress at its target, flows about to send one included
	Waiting         uint8  // from an agent: new flows that wait for a slot
	Silent          bool   // from an agent: the target does not answer
	FailedPercent   uint8  // from an agent: percent of its target's requests that failed lately
	ColdRate        uint16 // KindForward: new flows a second that the cold target bears, in tenths; 0 is no limit
	HoldMillis      uint16 // KindForward: how long the balancer kept the packet, in milliseconds
	ObjectiveMillis uint16 // KindForward: within which an answer is in time, in milliseconds
	Service         uint32 // tag of the service that the packet is for

	// Origin is the balancer that gets the answer, where another agent passed the packet on. Path lists the agents that
	// are tried next for a flow that is searched, and Round is the number of that search.
	Origin [4]byte
	Round  uint8
	Path   Path
}

// Path is a short list of VMs.
type Path struct {
	Len int
	IPs [MaxPathLen][4]byte
}

// Add appends a VM. The path must have room.
func (p *Path) Add(ip [4]byte) {
	p.IPs[p.Len] = ip
	p.Len++
}

// Next takes the first VM off the path.
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
	flagLast   = 1
	flagSilent = 2
	flagSearch = 4
)

// Errors of datagrams that are none of ours.
var (
	ErrShort         = errors.New("datagram is shorter than its header")
	ErrUnknownFormat = errors.New("datagram has another format or version")
	ErrShortPath     = errors.New("datagram is shorter than the path in its header")
)

// reportSilent is the bit of a report's waiting flows that says that the target does not answer.
const reportSilent = 1 << 7

// Append appends the encoded header.
func (h *Header) Append(b []byte) []byte {
	if h.Kind == KindReport {
		return h.appendReport(b)
	}
	var flags byte
	if h.MayWait {
		flags |= flagLast
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
	waiting := min(h.Waiting, reportSilent-1)
	if h.Silent {
		waiting |= reportSilent
	}
	b = append(b, byte(h.Kind), h.Load, waiting)
	if h.FailedPercent > 0 {
		b = append(b, h.FailedPercent)
	}
	return b
}

func decodeReport(b []byte) (Header, []byte) {
	h := Header{Kind: KindReport, Load: b[3], Waiting: b[4] &^ reportSilent, Silent: b[4]&reportSilent != 0}
	rest := b[ReportBytes:]
	if len(rest) > 0 {
		h.FailedPercent, rest = rest[0], rest[1:]
	}
	return h, rest
}

// isReport reports whether a datagram begins as a report does.
func isReport(b []byte) bool {
	return len(b) >= ReportBytes && binary.BigEndian.Uint16(b) == magic && Kind(b[2]) == KindReport
}

// Decode reads the header of a datagram and returns the packet behind it.
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
		MayWait:         b[4]&flagLast != 0,
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

// Clamp8 returns n as far as a byte of the header holds it.
func Clamp8(n int) uint8 { return uint8(min(max(n, 0), math.MaxUint8)) }

// Millis returns a time in milliseconds as far as the header holds it.
func Millis(d time.Duration) uint16 { return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16)) }

// Percent returns a share from 0 to 1 in the unit of Failing.
func Percent(share float64) uint8 { return uint8(min(max(share, 0), 1)*100 + 0.5) }

// Tenths returns a rate in the unit of ColdRate, at least one where the rate is above zero.
func Tenths(rate float64) uint16 {
	if rate <= 0 {
		return 0
	}
	return uint16(min(max(1, rate*10), math.MaxUint16))
}
