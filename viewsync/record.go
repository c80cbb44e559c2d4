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

// Record flags.
const (
	flagRemoved uint8 = 1 << iota
	flagExpired
	flagBody   // a target or a configuration follows
	flagChange // a configuration change follows
	flagRefused
)

var errInvalidRecord = errors.New("invalid record from peer")

// encodeRecord returns the binary encoding of a record. Configurations and configuration changes are embedded as JSON.
func encodeRecord(r *directory.Record) ([]byte, error) {
	b := cryptobyte.NewBuilder(nil)
	appendRecord(b, r)
	encoded, err := b.Bytes()
	if err != nil {
		return nil, fmt.Errorf("encode %s %q: %w", r.Kind, r.Name[:min(len(r.Name), maxLoggedName)], err)
	}
	return encoded, nil
}

// maxLoggedName bounds the names in errors, in bytes.
const maxLoggedName = 64

// appendRecords appends the records that can be encoded and returns the errors of the others, so that no single record
// keeps the rest of a message from the peers.
func appendRecords(b *cryptobyte.Builder, records []directory.Record) (failed []error) {
	for i := range records {
		encoded, err := encodeRecord(&records[i])
		if err != nil {
			failed = append(failed, err)
			continue
		}
		b.AddBytes(encoded)
	}
	return failed
}

func appendRecord(b *cryptobyte.Builder, r *directory.Record) {
	b.AddUint8(uint8(r.Kind))
	b.AddUint8(flag(r.Removed, flagRemoved) | flag(r.Expired, flagExpired) | flag(r.Target != nil || r.Config != nil, flagBody) |
		flag(r.Change != nil, flagChange) | flag(r.Refusal != nil, flagRefused))
	appendString(b, r.Name)
	b.AddUint64(uint64(r.Revision))
	b.AddUint64(uint64(r.ContentRevision))
	if r.Refusal != nil {
		appendString(b, string(r.Refusal.Reason))
		appendString(b, r.Refusal.Detail)
	}
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

// appendTarget appends the binary encoding of a target. It omits the ID, which is the name of the record, and
// the fields that the receiver sets itself.
func appendTarget(b *cryptobyte.Builder, t *directory.Target) {
	appendString(b, t.Service)
	b.AddBytes(t.Address.IP[:])
	b.AddUint16(t.Address.Port)
	appendString(b, t.Domain)
	b.AddUint32(uint32(t.Slots))
	b.AddUint8(uint8(t.State))
	b.AddUint32(millis(t.ColdLeft))
	b.AddUint64(uint64(t.StartUnixMs))
}

func appendString(b *cryptobyte.Builder, text string) {
	b.AddUint8LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes([]byte(text)) })
}

// readRecords reads all remaining records.
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
	ok := s.ReadUint8(&kind) && s.ReadUint8(&flags) && readString(s, &r.Name) && readRevision(s, &r.Revision) && readRevision(s, &r.ContentRevision)
	r.Kind, r.Removed, r.Expired = directory.Kind(kind), flags&flagRemoved != 0, flags&flagExpired != 0
	if !ok {
		return r, errInvalidRecord
	}
	if flags&flagRefused != 0 {
		return r, readRefusal(s, &r)
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
		err = errInvalidRecord
	}
	return r, err
}

// readRefusal reads why a record is refused. Such a record has no body.
func readRefusal(s *cryptobyte.String, r *directory.Record) error {
	var reason, detail string
	if !readString(s, &reason) || !readString(s, &detail) {
		return errInvalidRecord
	}
	r.Refusal = &directory.Refusal{Reason: directory.RefusalReason(reason), Detail: detail}
	return nil
}

func readJSON(s *cryptobyte.String, into any) error {
	var encoded cryptobyte.String
	if !s.ReadUint24LengthPrefixed(&encoded) {
		return errInvalidRecord
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
	var startUnixMs uint64
	ok := readString(s, &t.Service) && s.CopyBytes(t.Address.IP[:]) && s.ReadUint16(&t.Address.Port) &&
		readString(s, &t.Domain) && s.ReadUint32(&slots) && s.ReadUint8(&state) && readMillis(s, &t.ColdLeft) && s.ReadUint64(&startUnixMs)
	if !ok {
		return errInvalidRecord
	}
	t.Slots, t.State, t.StartUnixMs = int(slots), directory.TargetState(state), int64(startUnixMs)
	r.Target = t
	return nil
}

func readString(s *cryptobyte.String, text *string) bool {
	var bytes cryptobyte.String
	ok := s.ReadUint8LengthPrefixed(&bytes)
	*text = string(bytes)
	return ok
}

func readRevision(s *cryptobyte.String, revision *directory.Revision) bool {
	return s.ReadUint64((*uint64)(revision))
}

func readMillis(s *cryptobyte.String, d *time.Duration) bool {
	var ms uint32
	ok := s.ReadUint32(&ms)
	*d = time.Duration(ms) * time.Millisecond
	return ok
}
