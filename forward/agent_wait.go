package forward

import (
	"time"

	"github.com/cowslipward/cowslipward/platform"
)

// parked is the SYN of a flow that waits.
type parked struct {
	packet   [platform.HeaderBytes]byte
	balancer int
}

// release hands flows that waited to the target while it has room.
func (a *Agent) release(out *agentBoxes, now time.Duration) {
	for {
		key, ok := a.gate.Next(now)
		if !ok {
			break
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
	if a.gate.Waiting() == 0 {
		clear(a.parked)
		return
	}
	a.armTimer()
}

// armTimer looks at the flows that wait again a little later.
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
