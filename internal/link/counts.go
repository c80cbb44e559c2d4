package link

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Reason says why a packet was dropped. It is a metric label, so the list is fixed.
type Reason uint8

// Reasons of drops.
const (
	DropMalformed Reason = iota
	DropOversized
	DropUnknownKey
	DropForged
	DropReplayed
	DropTooManyPeers
	DropSendFailed
	DropUnroutable     // connection ID does not decode and the packet opens no flow
	DropWrongService   // connection ID or header names another service
	DropImplausible    // connection ID names no unicast address
	DropDomainOut      // the packet goes into a failure domain that is out
	DropTargetGone     // the view says that the target is down or stopped
	DropNoTarget       // the service has no eligible target
	DropNoListener     // a reply for a service that has no listener here
	DropHeld           // the view was not confirmed after a pause
	DropOtherAgent     // connection ID names another agent
	DropNoReturnPath   // no balancer to reply through
	DropUnexpectedKind // a kind that this role does not take
	reasons
)

var reasonNames = [reasons]string{
	"malformed", "oversized", "unknown_key", "forged", "replayed", "too_many_peers", "send_failed", "unroutable",
	"wrong_service", "implausible", "domain_out", "target_gone", "no_target", "no_listener", "held", "not_here",
	"no_return_path", "unexpected_kind",
}

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Event is something that the data path counts besides drops.
type Event uint8

// Events that the data path counts.
const (
	EventForwarded       Event = iota // packets sent into the tunnel
	EventReplied                      // packets sent towards callers
	EventNewFlow                      // packets without a routable connection ID that were given a target
	EventReset                        // stateless resets sent
	EventResetLimited                 // stateless resets left out by the rate limit
	EventProbe                        // probes sent
	EventTargetAvoided                // targets that began to be avoided
	EventPassed                       // new flows passed to another agent
	EventDelivered                    // packets given to the QUIC server
	EventReplaced                     // packets for an earlier process at this address
	EventReturnPathMoved              // callers whose replies moved to another balancer
	events
)

var eventNames = [events]string{
	"forwarded_packets", "reply_packets", "new_flow_packets", "stateless_resets", "stateless_resets_limited", "probes",
	"targets_avoided", "passed_packets", "delivered_packets", "replaced_packets", "return_moves",
}

// Counts holds the metrics of one end of the tunnel.
type Counts struct {
	set    *metrics.Set
	drops  [reasons]*metrics.Counter
	events [events]*metrics.Counter
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

// Add counts n events.
func (c *Counts) Add(e Event, n int) { c.events[e].Add(n) }

// Dropped returns how many packets were dropped for the reason.
func (c *Counts) Dropped(r Reason) uint64 { return c.drops[r].Get() }

// Counted returns how many events were counted.
func (c *Counts) Counted(e Event) uint64 { return c.events[e].Get() }

// Gauge adds a gauge to the metrics of this end.
func (c *Counts) Gauge(name string, value func() float64) { c.set.NewGauge(name, value) }

// DropN counts n dropped packets.
func (c *Counts) DropN(r Reason, n int) { c.drops[r].Add(n) }
