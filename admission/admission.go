// Package admission bounds the work that one target receives: an adaptive concurrency limit, a queue ordered by
// deadline and a limit of connections. The agent beside a target owns its limiter; nothing else admits work there.
package admission

import (
	"fmt"
	"time"
)

// Config holds the stated limits of a target, as the service rule gives them.
type Config struct {
	Slots        int           // most requests that run at once
	Connections  int           // most caller connections
	QueueTimeout time.Duration // longest wait for a slot
}

// Reason says why work was refused.
type Reason string

// Reasons of a refusal. Refused work has not run.
const (
	ReasonQueueFull Reason = "queue full"
	ReasonQueueTime Reason = "no slot within the queue time"
	ReasonDeadline  Reason = "deadline cannot be met"
	ReasonCanceled  Reason = "canceled while queued"
)

// Refusal is the error of work that was not admitted.
type Refusal struct {
	Reason Reason
}

// Error returns the reason.
func (r *Refusal) Error() string { return fmt.Sprintf("not admitted: %s", r.Reason) }

// Result says how admitted work ended.
type Result uint8

// Results of admitted work.
const (
	// Completed is an answer of the target, also one with an error status that says nothing about load.
	Completed Result = iota
	// Refused is an answer by which the target sheds load.
	Refused
	// Reset is a connection to the target that broke or could not be opened, so that the target may have restarted.
	Reset
	// TimedOut is work whose deadline passed before the target answered.
	TimedOut
	// Canceled is work that the caller gave up. It is no evidence about the target.
	Canceled
)

// Snapshot is the state of a limiter at one moment.
type Snapshot struct {
	Slots          int
	Limit          int // requests that may run now, at most Slots
	InProgress     int
	Queued         int
	Connections    int
	MaxConnections int           // connections that may be open now
	ServiceTime    time.Duration // recent median until the response header, zero when unknown
	Reference      time.Duration // usual service time of a target that has borne all its slots, zero before
	Reason         string        // why the limit is below the slots, empty when it is not
}

// Warm reports whether the target may use all of its stated slots.
func (s Snapshot) Warm() bool { return s.Limit >= s.Slots }
