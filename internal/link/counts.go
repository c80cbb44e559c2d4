package link

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Reason is the cause of a packet drop. It is a metric label, so the set is fixed.
type Reason uint8

// Reasons for dropping a packet.
const (
	DropMalformed Reason = iota
	DropOversized
	DropUnknownKey
	DropForged
	DropReplayed
	DropTooManyPeers
	DropSendFailed
	DropUnroutable     // connection ID does not decode and the packet cannot open a connection
	DropWrongService   // connection ID or header names another service
	DropImplausible    // connection ID encodes an address that is not unicast
	DropDomainOut      // the destination is in a failure domain that is out
	DropTargetGone     // the target is down or stopped according to the view
	DropNoTarget       // the service has no eligible target
	DropNoListener     // reply for a service without a listener on this balancer
	DropHeld           // the view was not confirmed after the process had been paused
	DropOtherAgent     // connection ID encodes the address of another agent
	DropNoReturnPath   // no balancer available to send the reply through
	DropUnexpectedKind // packet kind that this role does not handle
	reasonCount
)

var reasonNames = [reasonCount]string{
	"malformed", "oversized", "unknown_key", "forged", "replayed", "too_many_peers", "send_failed", "unroutable",
	"wrong_service", "implausible", "domain_out", "target_gone", "no_target", "no_listener", "held", "not_here",
	"no_return_path", "unexpected_kind",
}

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Event is a data path event, other than a drop, that is counted in the metrics.
type Event uint8

// Events of the data path.
const (
	EventForwarded       Event = iota // packets sent into the tunnel
	EventReplied                      // packets sent towards callers
	EventNewFlow                      // packets without a routable connection ID that were assigned a target
	EventReset                        // stateless resets sent
	EventResetLimited                 // stateless resets suppressed by the rate limit
	EventProbe                        // probes sent
	EventTargetAvoided                // transitions of a target to avoided
	EventPassed                       // packets of new flows passed to another agent
	EventDelivered                    // packets delivered to the QUIC server
	EventReplaced                     // packets addressed to a previous process at this address
	EventReturnPathMoved              // callers whose reply path moved to another balancer
	eventCount
)

var eventNames = [eventCount]string{
	"forwarded_packets", "reply_packets", "new_flow_packets", "stateless_resets", "stateless_resets_limited", "probes",
	"targets_avoided", "passed_packets", "delivered_packets", "replaced_packets", "return_moves",
}

// Counts holds the metrics of one tunnel endpoint.
type Counts struct {
	set    *metrics.Set
	drops  [reasonCount]*metrics.Counter
	events [eventCount]*metrics.Counter
}

func newCounts(role string) *Counts {
	c := &Counts{set: metrics.NewSet()}
	for i := range c.drops {
		c.drops[i] = c.set.NewCounter(fmt.Sprintf("cowslip_%s_dropped_packets_total{reason=%q}", role, reasonNames[i]))
	}
	for i := range c.events {
		c.events[i] = c.set.NewCounter(fmt.Sprintf("cowslip_%s_%s_total", role, eventNames[i]))
	}
	metrics.RegisterSet(c.set)
	return c
}

func (c *Counts) unregister() { metrics.UnregisterSet(c.set, false) }

// Drop counts a dropped packet.
func (c *Counts) Drop(r Reason) { c.drops[r].Inc() }

// Add counts n occurrences of the event.
func (c *Counts) Add(e Event, n int) { c.events[e].Add(n) }

// Dropped returns how many packets were dropped for the reason.
func (c *Counts) Dropped(r Reason) uint64 { return c.drops[r].Get() }

// Counted returns how many occurrences of the event were counted.
func (c *Counts) Counted(e Event) uint64 { return c.events[e].Get() }

// Gauge adds a gauge to the metrics of this endpoint.
func (c *Counts) Gauge(name string, value func() float64) { c.set.NewGauge(name, value) }

// DropN counts n dropped packets.
func (c *Counts) DropN(r Reason, n int) { c.drops[r].Add(n) }
