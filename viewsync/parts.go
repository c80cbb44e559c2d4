package viewsync

import (
	"net/netip"

	"github.com/cowslipward/cowslipward/directory"
)

const (
	// maxRecordBytes bounds the encoded records in one message; the rest of the datagram is for the header
	// and members.
	maxRecordBytes = 1000
	// maxParts bounds the number of messages of one update. If the records need more, peers fetch them instead.
	maxParts = 8
)

// splitRecords splits the records of an update into the parts sent in one message each, in order. It leaves out records
// that cannot be encoded and returns their errors. It returns false if the others do not fit into maxParts messages.
func splitRecords(records []directory.Record) (parts [][]directory.Record, failed []error, ok bool) {
	parts = [][]directory.Record{nil}
	size := 0
	for i := range records {
		encoded, err := encodeRecord(&records[i])
		if err != nil {
			failed = append(failed, err)
			continue
		}
		if len(encoded) > maxRecordBytes {
			return nil, failed, false
		}
		if size+len(encoded) > maxRecordBytes {
			parts, size = append(parts, nil), 0
		}
		size += len(encoded)
		parts[len(parts)-1] = append(parts[len(parts)-1], records[i])
	}
	return parts, failed, len(parts) <= maxParts
}

// partTracker tracks which parts of an update have been received.
type partTracker struct {
	reader   netip.AddrPort
	sequence uint32
	next     uint8 // index of the next expected part
}

// partsState is the state of an update after one of its messages was received.
type partsState uint8

// States of an update.
const (
	partsComplete partsState = iota // all parts were received
	partsPending                    // more parts will follow, or this one is a duplicate
	partsLost                       // a part was lost
)

// track records a received part and returns the state of its update. Parts may arrive twice, since two relays
// forward them.
func (p *partTracker) track(m *message) partsState {
	if m.Parts <= 1 {
		return partsComplete
	}
	if p.reader != m.Reader || p.sequence != m.Sequence {
		*p = partTracker{reader: m.Reader, sequence: m.Sequence}
	}
	switch {
	case m.Part < p.next:
		return partsPending
	case m.Part > p.next:
		return partsLost
	}
	p.next++
	if p.next == m.Parts {
		return partsComplete
	}
	return partsPending
}
