package viewsync

import (
	"net/netip"

	"golang.org/x/crypto/cryptobyte"

	"github.com/cowslipward/cowslipward/directory"
)

const (
	// recordRoom is how many bytes of records a message carries, beside its header and the peers that it names.
	recordRoom = 1000
	// maxParts bounds the messages of one update. More records are fetched.
	maxParts = 8
)

// split divides the records of an update among messages, in their order. It reports false where they do not fit.
func split(records []directory.Record) (parts [][]directory.Record, ok bool) {
	parts = [][]directory.Record{nil}
	size := 0
	for i := range records {
		b := cryptobyte.NewBuilder(nil)
		appendRecord(b, &records[i])
		encoded, err := b.Bytes()
		if err != nil || len(encoded) > recordRoom {
			return nil, false
		}
		if size+len(encoded) > recordRoom {
			parts, size = append(parts, nil), 0
		}
		size += len(encoded)
		parts[len(parts)-1] = append(parts[len(parts)-1], records[i])
	}
	return parts, len(parts) <= maxParts
}

// partTracker follows the parts of an update of several messages.
type partTracker struct {
	reader netip.AddrPort
	number uint32
	next   uint8 // part that comes next
}

// progress says what a message is in an update of several.
type progress uint8

// Progress of an update.
const (
	progressDone    progress = iota // all parts came
	progressWaiting                 // others follow, or this one came before
	progressLost                    // one was lost
)

// take notes a part. Messages that come through two relays come twice.
func (p *partTracker) take(m *message) progress {
	if m.Parts <= 1 {
		return progressDone
	}
	if p.reader != m.Reader || p.number != m.Number {
		*p = partTracker{reader: m.Reader, number: m.Number}
	}
	switch {
	case m.Part < p.next:
		return progressWaiting
	case m.Part > p.next:
		return progressLost
	}
	p.next++
	if p.next == m.Parts {
		return progressDone
	}
	return progressWaiting
}
