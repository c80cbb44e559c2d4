package viewsync

import (
	"errors"
	"math"
	"net/netip"
	"time"

	"golang.org/x/crypto/cryptobyte"

	"github.com/cowslipward/cowslipward/directory"
)

// kind says what a message is for.
type kind uint8

// Kinds of message.
const (
	kindHello   kind = iota + 1 // the sender lives
	kindUpdate                  // what the store said, as far as it changed lately
	kindConfirm                 // the sender wants a view that the store confirms now
)

// message is what processes tell each other by datagram.
type message struct {
	Kind    kind
	Asks    bool   // the sender wants to be told of peers
	Domain  uint32 // tag of the sender's failure domain
	Members []listed

	// Of an update.
	Pass     bool           // the receiver passes it on to the other processes of its failure domain
	Partial  bool           // Records did not fit: fetch them
	Part     uint8          // of the messages of this update, from 0
	Parts    uint8          // messages of this update
	Reader   netip.AddrPort // process that read the store
	Number   uint32         // distinguishes the updates of a reader
	Base     uint64         // Records holds all changes after this revision
	Revision uint64         // and up to this one
	Age      time.Duration  // since the store confirmed the view
	Records  []directory.Record
}

const (
	// messageVersion is the first byte of each message.
	messageVersion = 1
	// maxDatagram bounds a message. Records that do not fit are fetched over TCP.
	maxDatagram = 1400
	// maxListed bounds the peers that one message names.
	maxListed = 64
)

// Flags of a message.
const (
	flagPass uint8 = 1 << iota
	flagAsks
	flagPartial
)

var errNoMessage = errors.New("datagram is no message of a peer")

// encode returns the datagram of a message, without its records where they are too many.
func (m *message) encode() ([]byte, error) {
	if datagram, err := m.append(m.Records, m.Partial); err == nil && len(datagram) <= maxDatagram {
		return datagram, nil
	}
	return m.append(nil, true)
}

func (m *message) append(records []directory.Record, partial bool) ([]byte, error) {
	b := cryptobyte.NewBuilder(nil)
	b.AddUint8(messageVersion)
	b.AddUint8(uint8(m.Kind))
	b.AddUint8(flag(m.Pass, flagPass) | flag(m.Asks, flagAsks) | flag(partial, flagPartial))
	b.AddUint32(m.Domain)
	members := m.Members[:min(len(m.Members), maxListed)]
	b.AddUint8(uint8(len(members)))
	for _, l := range members {
		addAddress(b, l.Peer)
		b.AddUint32(l.Domain)
		b.AddUint16(uint16(min(millis(l.Age), math.MaxUint16)))
	}
	if m.Kind == kindUpdate {
		addAddress(b, m.Reader)
		b.AddUint32(m.Number)
		b.AddUint8(m.Part)
		b.AddUint8(m.Parts)
		b.AddUint64(m.Base)
		b.AddUint64(m.Revision)
		b.AddUint32(millis(m.Age))
		for i := range records {
			appendRecord(b, &records[i])
		}
	}
	return b.Bytes()
}

func flag(set bool, bit uint8) uint8 {
	if set {
		return bit
	}
	return 0
}

// millis returns a time as messages hold it: whole milliseconds.
func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func addAddress(b *cryptobyte.Builder, address netip.AddrPort) {
	ip := address.Addr().Unmap().As4()
	b.AddBytes(ip[:])
	b.AddUint16(address.Port())
}

// decodeMessage reads a datagram.
func decodeMessage(datagram []byte) (*message, error) {
	m := &message{}
	s := cryptobyte.String(datagram)
	var version, messageKind, flags, count uint8
	ok := s.ReadUint8(&version) && version == messageVersion && s.ReadUint8(&messageKind) && s.ReadUint8(&flags) &&
		s.ReadUint32(&m.Domain) && s.ReadUint8(&count)
	m.Kind = kind(messageKind)
	if !ok || m.Kind < kindHello || m.Kind > kindConfirm || count > maxListed {
		return nil, errNoMessage
	}
	m.Pass, m.Asks, m.Partial = flags&flagPass != 0, flags&flagAsks != 0, flags&flagPartial != 0
	m.Members = make([]listed, count)
	for i := range m.Members {
		l := &m.Members[i]
		var age uint16
		if !readAddress(&s, &l.Peer) || !s.ReadUint32(&l.Domain) || !s.ReadUint16(&age) {
			return nil, errNoMessage
		}
		l.Age = time.Duration(age) * time.Millisecond
	}
	if m.Kind != kindUpdate {
		return m, nil
	}
	if !readAddress(&s, &m.Reader) || !s.ReadUint32(&m.Number) || !s.ReadUint8(&m.Part) || !s.ReadUint8(&m.Parts) || !s.ReadUint64(&m.Base) || !s.ReadUint64(&m.Revision) || !readMillis(&s, &m.Age) {
		return nil, errNoMessage
	}
	var err error
	m.Records, err = readRecords(s)
	return m, err
}

func readAddress(s *cryptobyte.String, address *netip.AddrPort) bool {
	var ip [4]byte
	var port uint16
	if !s.CopyBytes(ip[:]) || !s.ReadUint16(&port) || port == 0 {
		return false
	}
	*address = netip.AddrPortFrom(netip.AddrFrom4(ip), port)
	return true
}
