// Package admission bounds the load on one target with an adaptive concurrency limit, a queue ordered by
// deadline and a connection limit. The agent that runs beside a target owns its limiter and is the only process
// that admits requests to that target.
package admission

import (
	"fmt"
	"time"
)

// Config holds the configured limits of a target, as given by the service rule.
type Config struct {
	Slots        int           // maximum number of concurrent requests
	Connections  int           // maximum number of open caller connections
	QueueTimeout time.Duration // longest time that a request waits for a slot
}

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal. A refused request has not run.
const (
	ReasonQueueFull    Reason = "queue full"
	ReasonQueueTimeout Reason = "no slot within the queue time"
	ReasonDeadline     Reason = "deadline cannot be met"
	ReasonCanceled     Reason = "canceled while queued"
)

// Refusal is the error returned for a request that was not admitted.
type Refusal struct {
	Reason Reason
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("not admitted: %s", r.Reason) }

// Result is the outcome of an admitted request.
type Result uint8

// Outcomes of an admitted request.
const (
	// Completed means that the target responded. This includes error statuses that don't indicate overload.
	Completed Result = iota
	// Refused means that the target responded with a status that sheds load.
	Refused
	// Reset means that the connection to the target broke or could not be opened. The target may have restarted.
	Reset
	// TimedOut means that the deadline passed before the target responded.
	TimedOut
	// Canceled means that the caller canceled the request, which is no evidence about the target.
	Canceled
)

// Snapshot is the state of a limiter at a point in time.
type Snapshot struct {
	Slots          int
	Limit          int // current concurrency limit, at most Slots
	InProgress     int
	Queued         int
	Connections    int
	MaxConnections int           // current connection limit
	ServiceTime    time.Duration // recent median time to the response header, zero if unknown
	Reference      time.Duration // baseline service time, zero until the target has run at its full number of slots
	Reason         string        // why Limit is below Slots, empty if it is not
}

// Warm reports whether the limit allows all configured slots.
func (s Snapshot) Warm() bool { return s.Limit >= s.Slots }
