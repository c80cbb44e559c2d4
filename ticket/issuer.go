package ticket

import (
	"container/list"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/keys"
)

// Bounds of what an issuer keeps. They are per agent process.
const (
	// MaxUsedTickets is how many used tickets are remembered. At 546 runs per second none is forgotten before it expires.
	MaxUsedTickets = 1 << 16
	// MaxResponses is how many answers are stored.
	MaxResponses = 8192
	// MaxStoredBytes is the sum of the stored headers and bodies.
	MaxStoredBytes = 16 << 20
	// MaxResponseBytes is the largest answer that is stored. A retry of a request with a larger one gets ErrResponseUnavailable.
	MaxResponseBytes = 256 << 10
	// DefaultLifetime is how long a ticket may be used first.
	DefaultLifetime = 2 * time.Minute
)

// Error is why a ticket does not run its request now.
type Error struct {
	Reason string
	notRun bool
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

// NotRun reports whether it is certain that the request never ran under the ticket. Otherwise the outcome is unknown.
func (e *Error) NotRun() bool { return e.notRun }

// Errors of Begin.
var (
	// ErrExpired says that the ticket was never used and is too old now.
	ErrExpired = &Error{Reason: "ticket expired unused", notRun: true}
	// ErrIssuerGone says that the incarnation that issued the ticket is gone, and its memory with it.
	ErrIssuerGone = &Error{Reason: "issuer of the ticket is gone"}
	// ErrResponseUnavailable says that the ticket or its answer is no longer remembered.
	ErrResponseUnavailable = &Error{Reason: "answer is no longer stored"}
	// ErrStillRunning says that the request still ran when the context of the retry ended.
	ErrStillRunning = &Error{Reason: "request still runs"}
	// ErrRequestMismatch says that the ticket was used for another request.
	ErrRequestMismatch = &Error{Reason: "ticket was used for another request"}
)

// Config says who issues.
type Config struct {
	Control        netip.AddrPort   // advertised control address of this agent
	Started        uint64           // start time of this incarnation, Unix milliseconds
	Ring           func() keys.Ring // current ticket keys
	Lifetime       time.Duration    // zero for DefaultLifetime
	MaxUsedTickets int              // zero for MaxUsedTickets
	MaxResponses   int              // zero for MaxResponses
	MaxStoredBytes int              // zero for MaxStoredBytes
}

func (c Config) complete() Config {
	if c.Lifetime <= 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.MaxUsedTickets <= 0 {
		c.MaxUsedTickets = MaxUsedTickets
	}
	if c.MaxResponses <= 0 {
		c.MaxResponses = MaxResponses
	}
	if c.MaxStoredBytes <= 0 {
		c.MaxStoredBytes = MaxStoredBytes
	}
	return c
}

// Issuer owns the tickets of one incarnation. An unused ticket takes no memory: a sequence that was issued, is above
// the forgotten floor and has no record is unused.
type Issuer struct {
	config Config
	epoch  time.Time // wall clock of the start; expiry counts from it on the monotonic clock

	mu       sync.Mutex
	issued   uint64
	floor    uint64 // highest sequence whose record was dropped; at or below it nothing is certain
	records  map[uint64]*record
	used     *list.List // of *record, in the order of first use
	answered *list.List // of *record with a stored answer, the oldest first
	bytes    int
}

// record is a used ticket.
type record struct {
	sequence  uint64
	request   uint64
	forget    time.Time
	done      chan struct{} // closed by Finish or Abandon
	finished  bool
	abandoned bool
	answer    *Response
	inUsed    *list.Element
	inStored  *list.Element
}

// NewIssuer returns an issuer without any used tickets.
func NewIssuer(config Config) *Issuer {
	return &Issuer{
		config:   config.complete(),
		epoch:    time.Now(),
		records:  make(map[uint64]*record),
		used:     list.New(),
		answered: list.New(),
	}
}

// now is the issuer's own clock. It does not follow steps of the wall clock.
func (i *Issuer) now() time.Time {
	return i.epoch.Add(time.Since(i.epoch)).Round(0)
}

// Issue returns a fresh ticket.
func (i *Issuer) Issue() string {
	i.mu.Lock()
	i.issued++
	t := Ticket{Control: i.config.Control, Started: i.config.Started, Sequence: i.issued}
	t.Expiry = i.now().Add(i.config.Lifetime)
	i.mu.Unlock()
	return t.Encode(i.config.Ring())
}

// Owns reports whether this incarnation issued the ticket. Another agent's ticket is passed to its control address.
func (i *Issuer) Owns(t Ticket) bool {
	return t.Control == i.config.Control && t.Started == i.config.Started
}

// Begin returns a run to execute, or the stored answer, or an *Error. It waits while another caller runs the request.
func (i *Issuer) Begin(ctx context.Context, t Ticket) (*Run, *Response, error) {
	if !i.Owns(t) {
		return nil, nil, ErrIssuerGone
	}
	for {
		run, r, err := i.take(t)
		if run != nil || err != nil {
			return run, nil, err
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return nil, nil, ErrStillRunning
		}
		if answer, finished := i.answerOf(r); finished {
			if answer == nil {
				return nil, nil, ErrResponseUnavailable
			}
			return nil, answer, nil
		}
	}
}

// take marks the ticket as used, or returns the record of its first use.
func (i *Issuer) take(t Ticket) (*Run, *record, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	i.expire(now)
	if r, ok := i.records[t.Sequence]; ok {
		if r.request != t.Request {
			return nil, nil, ErrRequestMismatch
		}
		return nil, r, nil
	}
	switch {
	case t.Sequence <= i.floor || t.Sequence > i.issued:
		return nil, nil, ErrResponseUnavailable
	case !now.Before(t.Expiry):
		return nil, nil, ErrExpired
	}
	return &Run{issuer: i, record: i.remember(t)}, nil, nil
}

// remember adds a record and drops the oldest one above the bound.
func (i *Issuer) remember(t Ticket) *record {
	r := &record{
		sequence: t.Sequence,
		request:  t.Request,
		forget:   t.Expiry.Add(i.config.Lifetime),
		done:     make(chan struct{}),
	}
	i.records[t.Sequence] = r
	r.inUsed = i.used.PushBack(r)
	if len(i.records) > i.config.MaxUsedTickets {
		i.drop(i.used.Front().Value.(*record))
	}
	return r
}

// expire drops the records that nobody may ask for any more.
func (i *Issuer) expire(now time.Time) {
	for front := i.used.Front(); front != nil; front = i.used.Front() {
		r := front.Value.(*record)
		if !r.finished || now.Before(r.forget) {
			return
		}
		i.drop(r)
	}
}

// drop forgets a record. Its sequence and all lower ones without a record are uncertain from then on.
func (i *Issuer) drop(r *record) {
	i.floor = max(i.floor, r.sequence)
	delete(i.records, r.sequence)
	i.used.Remove(r.inUsed)
	i.unstore(r)
}

// unstore frees the answer of a record.
func (i *Issuer) unstore(r *record) {
	if r.inStored == nil {
		return
	}
	i.bytes -= r.answer.size()
	i.answered.Remove(r.inStored)
	r.inStored = nil
	r.answer = nil
}

func (i *Issuer) answerOf(r *record) (*Response, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return r.answer, r.finished
}

// Stats is what an issuer holds, for metrics.
type Stats struct {
	UsedTickets int
	Responses   int
	StoredBytes int
}

// Stats returns what the issuer holds now.
func (i *Issuer) Stats() Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	return Stats{UsedTickets: len(i.records), Responses: i.answered.Len(), StoredBytes: i.bytes}
}
