package viewsync

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/crypto/cryptobyte"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
)

// Flags of a record.
const (
	flagRemoved uint8 = 1 << iota
	flagLapse
	flagBody
	flagChange
)

var errRecord = errors.New("record of a peer cannot be read")

// appendRecord appends the binary form of a record. A configuration in it, or the change of one, is JSON.
func appendRecord(b *cryptobyte.Builder, r *directory.Record) {
	b.AddUint8(uint8(r.Kind))
	b.AddUint8(flag(r.Removed, flagRemoved) | flag(r.Expired, flagLapse) | flag(r.Target != nil || r.Config != nil, flagBody) |
		flag(r.Change != nil, flagChange))
	addString(b, r.Name)
	b.AddUint64(r.Revision)
	b.AddUint64(r.ContentRevision)
	switch {
	case r.Target != nil:
		appendTarget(b, r.Target)
	case r.Config != nil:
		appendJSON(b, r.Config)
	case r.Change != nil:
		appendJSON(b, r.Change)
	}
}

func appendJSON(b *cryptobyte.Builder, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		b.SetError(fmt.Errorf("encode configuration: %w", err))
		return
	}
	b.AddUint24LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes(encoded) })
}

// appendTarget leaves the ID out, which is the name of the record, and what the receiver sets itself.
func appendTarget(b *cryptobyte.Builder, t *directory.Target) {
	addString(b, t.Service)
	b.AddBytes(t.Address.IP[:])
	b.AddUint16(t.Address.Port)
	addString(b, t.Domain)
	b.AddUint32(uint32(t.Slots))
	b.AddUint8(uint8(t.State))
	b.AddUint32(millis(t.ColdLeft))
	b.AddUint64(uint64(t.StartUnixMs))
}

func addString(b *cryptobyte.Builder, text string) {
	b.AddUint8LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes([]byte(text)) })
}

// readRecords reads records up to the end.
func readRecords(s cryptobyte.String) ([]directory.Record, error) {
	var records []directory.Record
	for !s.Empty() {
		r, err := readRecord(&s)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func readRecord(s *cryptobyte.String) (directory.Record, error) {
	var r directory.Record
	var kind, flags uint8
	ok := s.ReadUint8(&kind) && s.ReadUint8(&flags) && readString(s, &r.Name) && s.ReadUint64(&r.Revision) && s.ReadUint64(&r.ContentRevision)
	r.Kind, r.Removed, r.Expired = directory.Kind(kind), flags&flagRemoved != 0, flags&flagLapse != 0
	if !ok {
		return r, errRecord
	}
	isConfig, hasBody, isChange := r.Kind == directory.KindConfig, flags&flagBody != 0, flags&flagChange != 0
	var err error
	switch {
	case hasBody && r.Kind == directory.KindTarget && !isChange:
		err = readTarget(s, &r)
	case hasBody && isConfig && !isChange:
		r.Config = &directory.Config{}
		err = readJSON(s, r.Config)
	case isChange && isConfig && !hasBody:
		r.Change = &directory.ConfigChange{}
		err = readJSON(s, r.Change)
	case hasBody || isChange:
		err = errRecord
	}
	return r, err
}

func readJSON(s *cryptobyte.String, into any) error {
	var encoded cryptobyte.String
	if !s.ReadUint24LengthPrefixed(&encoded) {
		return errRecord
	}
	if err := json.Unmarshal(encoded, into); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	return nil
}

func readTarget(s *cryptobyte.String, r *directory.Record) error {
	t := &directory.Target{ID: r.Name, Address: flow.Endpoint{}}
	var slots uint32
	var state uint8
	var born uint64
	ok := readString(s, &t.Service) && s.CopyBytes(t.Address.IP[:]) && s.ReadUint16(&t.Address.Port) &&
		readString(s, &t.Domain) && s.ReadUint32(&slots) && s.ReadUint8(&state) && readMillis(s, &t.ColdLeft) && s.ReadUint64(&born)
	if !ok {
		return errRecord
	}
	t.Slots, t.State, t.StartUnixMs = int(slots), directory.TargetState(state), int64(born)
	r.Target = t
	return nil
}

func readString(s *cryptobyte.String, text *string) bool {
	var bytes cryptobyte.String
	ok := s.ReadUint8LengthPrefixed(&bytes)
	*text = string(bytes)
	return ok
}

func readMillis(s *cryptobyte.String, d *time.Duration) bool {
	var ms uint32
	ok := s.ReadUint32(&ms)
	*d = time.Duration(ms) * time.Millisecond
	return ok
}
