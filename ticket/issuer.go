package ticket

import (
	"container/list"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/keys"
)

// Bounds of the state of an issuer, per agent process.
const (
	// MaxUsedTickets is the maximum number of records of used tickets. At up to 546 runs per second, none is
	// evicted before it expires.
	MaxUsedTickets = 1 << 16
	// MaxResponses is the maximum number of stored responses.
	MaxResponses = 8192
	// MaxStoredBytes is the maximum total size of the stored headers and bodies.
	MaxStoredBytes = 16 << 20
	// MaxResponseBytes is the maximum size of a stored response. A retry of a request with a larger response gets
	// ErrResponseUnavailable.
	MaxResponseBytes = 256 << 10
	// DefaultLifetime is the time after issue during which an unused ticket can be used.
	DefaultLifetime = 2 * time.Minute
)

// Error is the reason why Begin returns neither a run nor a response.
type Error struct {
	Reason string
	notRun bool
}

// Error implements error.
func (e *Error) Error() string { return e.Reason }

// NotRun reports whether it is certain that the request has not run with the ticket. If not, the outcome is
// unknown.
func (e *Error) NotRun() bool { return e.notRun }

// Errors of Begin.
var (
	// ErrExpired means that the ticket was never used and has expired.
	ErrExpired = &Error{Reason: "ticket expired unused", notRun: true}
	// ErrIssuerGone means that the incarnation that issued the ticket no longer exists, and its records are lost.
	ErrIssuerGone = &Error{Reason: "issuer of the ticket is gone"}
	// ErrResponseUnavailable means that the record of the ticket or the response is not or no longer stored.
	ErrResponseUnavailable = &Error{Reason: "answer is no longer stored"}
	// ErrStillRunning means that the request was still running when the context of the retry ended.
	ErrStillRunning = &Error{Reason: "request still runs"}
	// ErrRequestMismatch means that the ticket was used for another request.
	ErrRequestMismatch = &Error{Reason: "ticket was used for another request"}
)

// Config holds the identity, the keys and the bounds of an issuer.
type Config struct {
	Control        netip.AddrPort   // advertised control address of this agent
	Started        uint64           // start time of this incarnation, Unix milliseconds
	Ring           func() keys.Ring // current ticket keys
	Lifetime       time.Duration    // zero for DefaultLifetime
	MaxUsedTickets int              // zero for MaxUsedTickets
	MaxResponses   int              // zero for MaxResponses
	MaxStoredBytes int              // zero for MaxStoredBytes
}

func (c Config) withDefaults() Config {
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

// Issuer issues the tickets of one incarnation and tracks their use. An unused ticket takes no memory: a
// sequence number that was issued, is above evictedSequence and has no record is unused.
type Issuer struct {
	config    Config
	startTime time.Time // wall clock at the start; now adds the elapsed monotonic time

	mu              sync.Mutex
	issued          uint64
	evictedSequence uint64 // highest evicted sequence number; whether lower ones without a record were used is unknown
	records         map[uint64]*record
	used            *list.List // of *record, in the order of first use
	stored          *list.List // of *record with a stored response, oldest first
	storedBytes     int
}

// record is the state of a used ticket.
type record struct {
	sequence      uint64
	request       uint64
	evictAfter    time.Time
	done          chan struct{} // closed by Finish or Abandon
	finished      bool
	abandoned     bool
	response      *Response
	usedElement   *list.Element
	storedElement *list.Element
}

// NewIssuer returns an issuer without any used tickets.
func NewIssuer(config Config) *Issuer {
	return &Issuer{
		config:    config.withDefaults(),
		startTime: time.Now(),
		records:   make(map[uint64]*record),
		used:      list.New(),
		stored:    list.New(),
	}
}

// now returns the time of the issuer's own clock, which ignores steps of the wall clock.
func (i *Issuer) now() time.Time {
	return i.startTime.Add(time.Since(i.startTime)).Round(0)
}

// Issue returns a new encoded ticket.
func (i *Issuer) Issue() string {
	i.mu.Lock()
	i.issued++
	t := Ticket{Control: i.config.Control, Started: i.config.Started, Sequence: i.issued}
	t.Expiry = i.now().Add(i.config.Lifetime)
	i.mu.Unlock()
	return t.Encode(i.config.Ring())
}

// Owns reports whether this incarnation issued the ticket. A request with a ticket of another agent must be
// forwarded to the control address in the ticket.
func (i *Issuer) Owns(t Ticket) bool {
	return t.Control == i.config.Control && t.Started == i.config.Started
}

// Begin returns a run to execute, a stored response or an *Error. It waits while the request runs for another
// caller of Begin.
func (i *Issuer) Begin(ctx context.Context, t Ticket) (*Run, *Response, error) {
	if !i.Owns(t) {
		return nil, nil, ErrIssuerGone
	}
	for {
		run, r, err := i.claim(t)
		if run != nil || err != nil {
			return run, nil, err
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return nil, nil, ErrStillRunning
		}
		if response, finished := i.responseOf(r); finished {
			if response == nil {
				return nil, nil, ErrResponseUnavailable
			}
			return nil, response, nil
		}
	}
}

// claim marks the ticket as used and returns a run, or returns the record of its first use.
func (i *Issuer) claim(t Ticket) (*Run, *record, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	i.evictExpired(now)
	if r, ok := i.records[t.Sequence]; ok {
		if r.request != t.Request {
			return nil, nil, ErrRequestMismatch
		}
		return nil, r, nil
	}
	switch {
	case t.Sequence <= i.evictedSequence || t.Sequence > i.issued:
		return nil, nil, ErrResponseUnavailable
	case !now.Before(t.Expiry):
		return nil, nil, ErrExpired
	}
	return &Run{issuer: i, record: i.addRecord(t)}, nil, nil
}

// addRecord adds a record for the ticket and evicts the oldest record if there are too many.
func (i *Issuer) addRecord(t Ticket) *record {
	r := &record{
		sequence:   t.Sequence,
		request:    t.Request,
		evictAfter: t.Expiry.Add(i.config.Lifetime),
		done:       make(chan struct{}),
	}
	i.records[t.Sequence] = r
	r.usedElement = i.used.PushBack(r)
	if len(i.records) > i.config.MaxUsedTickets {
		i.evict(i.used.Front().Value.(*record))
	}
	return r
}

// evictExpired evicts the oldest records until it reaches one that is unfinished or still available for retries.
func (i *Issuer) evictExpired(now time.Time) {
	for front := i.used.Front(); front != nil; front = i.used.Front() {
		r := front.Value.(*record)
		if !r.finished || now.Before(r.evictAfter) {
			return
		}
		i.evict(r)
	}
}

// evict removes a record. From then on, it is unknown whether its sequence number and all lower ones without a
// record were used.
func (i *Issuer) evict(r *record) {
	i.evictedSequence = max(i.evictedSequence, r.sequence)
	delete(i.records, r.sequence)
	i.used.Remove(r.usedElement)
	i.discardResponse(r)
}

// discardResponse removes the stored response of a record.
func (i *Issuer) discardResponse(r *record) {
	if r.storedElement == nil {
		return
	}
	i.storedBytes -= r.response.size()
	i.stored.Remove(r.storedElement)
	r.storedElement = nil
	r.response = nil
}

func (i *Issuer) responseOf(r *record) (*Response, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return r.response, r.finished
}

// Stats holds the sizes of an issuer's state, for metrics.
type Stats struct {
	UsedTickets int
	Responses   int
	StoredBytes int
}

// Stats returns the current sizes of the issuer's state.
func (i *Issuer) Stats() Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	return Stats{UsedTickets: len(i.records), Responses: i.stored.Len(), StoredBytes: i.storedBytes}
}
