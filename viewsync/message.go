package viewsync

import (
	"errors"
	"math"
	"net/netip"
	"time"

	"golang.org/x/crypto/cryptobyte"

	"github.com/cowslipward/cowslipward/directory"
)

// kind is the type of a message.
type kind uint8

// Message kinds.
const (
	kindHello   kind = iota + 1 // heartbeat of the sender
	kindUpdate                  // recent changes of the store
	kindConfirm                 // request to confirm the view against the store now
	// kindEraUpdate is a kindUpdate on the wire if its revisions contain an era. Processes of versions without eras
	// refuse it: they would take its revisions for those of the store, and nothing that they read afterwards for newer.
	kindEraUpdate
)

// message is a UDP datagram exchanged between peers.
type message struct {
	Kind       kind
	WantsPeers bool     // the sender requests a list of peers
	Domain     uint32   // tag of the sender's failure domain
	Members    []member // peers known to the sender

	// Fields of an update.
	Forward        bool               // the receiver forwards it to the other processes of its failure domain
	RecordsOmitted bool               // Records did not fit and must be fetched
	Part           uint8              // index of this message among those of the update
	Parts          uint8              // number of messages of the update
	Reader         netip.AddrPort     // process that read the store
	Sequence       uint32             // number of the update, assigned by the reader
	Base           directory.Revision // Records contains all changes after this revision
	Revision       directory.Revision // up to and including this one
	Age            time.Duration      // time since the store confirmed the view
	Records        []directory.Record
}

const (
	// messageVersion is the first byte of each message.
	messageVersion = 1
	// maxDatagram bounds the size of a message in bytes. Records that do not fit are fetched over TCP.
	maxDatagram = 1400
	// maxMembers bounds the number of peers listed in one message.
	maxMembers = 64
)

// Message flags.
const (
	flagForward uint8 = 1 << iota
	flagWantsPeers
	flagRecordsOmitted
)

var errInvalidMessage = errors.New("invalid peer message")

// encode returns the datagram of the message. If the records do not fit, it omits them and sets the
// RecordsOmitted flag.
func (m *message) encode() ([]byte, error) {
	if datagram, err := m.encodeWith(m.Records, m.RecordsOmitted); err == nil && len(datagram) <= maxDatagram {
		return datagram, nil
	}
	return m.encodeWith(nil, true)
}

func (m *message) encodeWith(records []directory.Record, recordsOmitted bool) ([]byte, error) {
	b := cryptobyte.NewBuilder(nil)
	b.AddUint8(messageVersion)
	b.AddUint8(uint8(m.wireKind()))
	b.AddUint8(flag(m.Forward, flagForward) | flag(m.WantsPeers, flagWantsPeers) | flag(recordsOmitted, flagRecordsOmitted))
	b.AddUint32(m.Domain)
	members := m.Members[:min(len(m.Members), maxMembers)]
	b.AddUint8(uint8(len(members)))
	for _, p := range members {
		appendAddress(b, p.Address)
		b.AddUint32(p.Domain)
		b.AddUint16(uint16(min(millis(p.Age), math.MaxUint16)))
	}
	if m.Kind == kindUpdate {
		appendAddress(b, m.Reader)
		b.AddUint32(m.Sequence)
		b.AddUint8(m.Part)
		b.AddUint8(m.Parts)
		b.AddUint64(uint64(m.Base))
		b.AddUint64(uint64(m.Revision))
		b.AddUint32(millis(m.Age))
		_ = appendRecords(b, records) // splitRecords has left out and reported what cannot be encoded
	}
	return b.Bytes()
}

func (m *message) wireKind() kind {
	if m.Kind == kindUpdate && m.Revision.Era() > 0 {
		return kindEraUpdate
	}
	return m.Kind
}

func flag(set bool, bit uint8) uint8 {
	if set {
		return bit
	}
	return 0
}

// millis returns d in whole milliseconds, clamped to the range of a uint32.
func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func appendAddress(b *cryptobyte.Builder, address netip.AddrPort) {
	ip := address.Addr().Unmap().As4()
	b.AddBytes(ip[:])
	b.AddUint16(address.Port())
}

// decodeMessage decodes a datagram. It returns an error if the datagram or one of its records is malformed.
func decodeMessage(datagram []byte) (*message, error) {
	m := &message{}
	s := cryptobyte.String(datagram)
	var version, messageKind, flags, count uint8
	ok := s.ReadUint8(&version) && version == messageVersion && s.ReadUint8(&messageKind) && s.ReadUint8(&flags) &&
		s.ReadUint32(&m.Domain) && s.ReadUint8(&count)
	m.Kind = kind(messageKind)
	if !ok || m.Kind < kindHello || m.Kind > kindEraUpdate || count > maxMembers {
		return nil, errInvalidMessage
	}
	m.Forward, m.WantsPeers, m.RecordsOmitted = flags&flagForward != 0, flags&flagWantsPeers != 0, flags&flagRecordsOmitted != 0
	m.Members = make([]member, count)
	for i := range m.Members {
		p := &m.Members[i]
		var age uint16
		if !readAddress(&s, &p.Address) || !s.ReadUint32(&p.Domain) || !s.ReadUint16(&age) {
			return nil, errInvalidMessage
		}
		p.Age = time.Duration(age) * time.Millisecond
	}
	if m.Kind != kindUpdate && m.Kind != kindEraUpdate {
		return m, nil
	}
	if !readAddress(&s, &m.Reader) || !s.ReadUint32(&m.Sequence) || !s.ReadUint8(&m.Part) || !s.ReadUint8(&m.Parts) || !readRevision(&s, &m.Base) || !readRevision(&s, &m.Revision) || !readMillis(&s, &m.Age) {
		return nil, errInvalidMessage
	}
	if m.Kind == kindUpdate && m.Revision.Era() > 0 {
		return nil, errInvalidMessage
	}
	m.Kind = kindUpdate
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
