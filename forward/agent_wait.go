package forward

import (
	"bytes"
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
)

// parked is the SYN of a flow that waits.
type parked struct {
	packet   [platform.HeaderBytes]byte
	balancer int
}

const (
	// maxHeldRequests bounds the requests that wait. What is above goes to the target at once.
	maxHeldRequests = 512
	// maxRequestPackets bounds the packets of one request: as many as a caller sends without an acknowledgement.
	maxRequestPackets = 16
)

// heldRequest holds the packets of a request that waits.
type heldRequest struct {
	packets  [][]byte
	balancer int
	attempt  uint8
	since    time.Duration
}

// keepRequest keeps a packet of a request that waits. It reports false where there is no room for it.
func (a *Agent) keepRequest(key flow.Key, p *flow.Packet, packet []byte, sender int, attempt uint8, now time.Duration) bool {
	held := a.requests[key]
	if held == nil {
		if len(a.requests) >= maxHeldRequests {
			return false
		}
		held = &heldRequest{since: now}
		a.requests[key] = held
		a.armTimer()
		a.logFlow("request_waits", key, "request", platform.RequestID(platform.Payload(packet)), "budget", p.Budget,
			"load", a.gate.Load(), "slots", a.gate.Slots(), "waiting", a.gate.Waiting())
	}
	held.balancer, held.attempt = sender, attempt
	repeats := func(other []byte) bool { return bytes.Equal(other, packet) }
	if len(held.packets) < maxRequestPackets && !slices.ContainsFunc(held.packets, repeats) {
		held.packets = append(held.packets, bytes.Clone(packet))
	}
	return true
}

// release hands requests and flows that waited to the target while it has room.
func (a *Agent) release(out *agentBoxes, now time.Duration) {
	a.releaseRequests(out, now)
	a.releaseFlows(out, now)
	if a.gate.Waiting() == 0 {
		clear(a.parked)
		clear(a.requests)
		return
	}
	a.armTimer()
}

func (a *Agent) releaseRequests(out *agentBoxes, now time.Duration) {
	for {
		key, ok := a.gate.NextRequest(now)
		if !ok {
			return
		}
		held, known := a.requests[key]
		if !known {
			continue
		}
		delete(a.requests, key)
		requestWait.Update((now - held.since).Seconds())
		for _, packet := range held.packets {
			platform.SetToken(packet, a.token(held.balancer, held.attempt))
			out.local.send(a.target, packet)
		}
		a.logFlow("request_forwarded", key, "request", platform.RequestID(platform.Payload(held.packets[0])),
			"load", a.gate.Load(), "waited", now-held.since, "balancer", a.balancers[held.balancer].address)
	}
}

func (a *Agent) releaseFlows(out *agentBoxes, now time.Duration) {
	for {
		key, ok := a.gate.NextFlow(now)
		if !ok {
			return
		}
		held, known := a.parked[key]
		if !known {
			continue
		}
		delete(a.parked, key)
		platform.SetToken(held.packet[:], a.token(held.balancer, 0))
		out.local.sendOwned(a.target, held.packet[:])
		a.logFlow("flow_released", key, "load", a.gate.Load(), "waiting", a.gate.Waiting())
	}
}

// armTimer looks at what waits again a little later.
func (a *Agent) armTimer() {
	if a.armed {
		return
	}
	a.armed = true
	time.AfterFunc(waitCheck, a.checkWaiting)
}

func (a *Agent) checkWaiting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.armed = false
	a.release(a.timerOut, a.clock.now())
	a.timerOut.flush()
}
