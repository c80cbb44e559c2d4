package forward

import (
	"bytes"
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
)

// queuedSYN is the SYN of a new flow that waits for a slot.
type queuedSYN struct {
	packet   [platform.HeaderBytes]byte
	balancer int
}

const (
	// maxQueuedRequests bounds the requests that wait for a slot. Further requests go to the target at once.
	maxQueuedRequests = 512
	// maxRequestPackets bounds the packets kept per request: as many as a caller sends without an
	// acknowledgement.
	maxRequestPackets = 16
)

// queuedRequest holds the packets of a request that waits for a slot.
type queuedRequest struct {
	packets  [][]byte
	balancer int
	attempt  uint8
	queuedAt time.Duration
}

// enqueueRequest queues a packet of a request that waits for a slot. It reports false if the queue is full.
func (a *Agent) enqueueRequest(key flow.Key, p *flow.Packet, packet []byte, sender int, attempt uint8, now time.Duration) bool {
	queued := a.queuedRequests[key]
	if queued == nil {
		if len(a.queuedRequests) >= maxQueuedRequests {
			return false
		}
		queued = &queuedRequest{queuedAt: now}
		a.queuedRequests[key] = queued
		a.armTimer()
		a.logFlow("request_waits", key, "request", platform.RequestID(platform.Payload(packet)), "budget", p.Budget,
			"load", a.gate.Load(), "slots", a.gate.Slots(), "waiting", a.gate.Waiting())
	}
	queued.balancer, queued.attempt = sender, attempt
	isDuplicate := func(other []byte) bool { return bytes.Equal(other, packet) }
	if len(queued.packets) < maxRequestPackets && !slices.ContainsFunc(queued.packets, isDuplicate) {
		queued.packets = append(queued.packets, bytes.Clone(packet))
	}
	return true
}

// releaseQueued forwards queued requests and SYNs to the target while it has room.
func (a *Agent) releaseQueued(out *agentOutboxes, now time.Duration) {
	a.releaseRequests(out, now)
	a.releaseFlows(out, now)
	if a.gate.Waiting() == 0 {
		clear(a.queuedSYNs)
		clear(a.queuedRequests)
		return
	}
	a.armTimer()
}

func (a *Agent) releaseRequests(out *agentOutboxes, now time.Duration) {
	for {
		key, ok := a.gate.NextRequest(now)
		if !ok {
			return
		}
		queued, known := a.queuedRequests[key]
		if !known {
			continue
		}
		delete(a.queuedRequests, key)
		requestQueueTime.Update((now - queued.queuedAt).Seconds())
		for _, packet := range queued.packets {
			platform.SetToken(packet, a.encodeToken(queued.balancer, queued.attempt))
			out.local.send(a.target, packet)
		}
		a.logFlow("request_forwarded", key, "request", platform.RequestID(platform.Payload(queued.packets[0])),
			"load", a.gate.Load(), "waited", now-queued.queuedAt, "balancer", a.balancers[queued.balancer].address)
	}
}

func (a *Agent) releaseFlows(out *agentOutboxes, now time.Duration) {
	for {
		key, ok := a.gate.NextFlow(now)
		if !ok {
			return
		}
		queued, known := a.queuedSYNs[key]
		if !known {
			continue
		}
		delete(a.queuedSYNs, key)
		platform.SetToken(queued.packet[:], a.encodeToken(queued.balancer, 0))
		out.local.sendCopy(a.target, queued.packet[:])
		a.logFlow("flow_released", key, "load", a.gate.Load(), "waiting", a.gate.Waiting())
	}
}

// armTimer schedules the next check of the queues, unless one is scheduled already.
func (a *Agent) armTimer() {
	if a.timerArmed {
		return
	}
	a.timerArmed = true
	time.AfterFunc(queuePollInterval, a.pollQueues)
}

func (a *Agent) pollQueues() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timerArmed = false
	a.releaseQueued(a.timerOutboxes, a.clock.now())
	a.timerOutboxes.flush()
}
