package forward

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/encap"
)

const (
	// probeTimeout bounds the connection attempt of a probe.
	probeTimeout = 150 * time.Millisecond
	// downProbeInterval is the minimum interval between probes of a target whose port is closed, and
	// suspectProbeInterval that between probes of a target that does not respond.
	downProbeInterval    = 100 * time.Millisecond
	suspectProbeInterval = time.Second
)

// probeIfSuspect starts a probe if the target's port is closed or the target has stopped responding. a.mu must be held.
func (a *Agent) probeIfSuspect(now time.Duration) {
	interval := suspectProbeInterval
	if a.gate.Down() {
		interval = downProbeInterval
	}
	isDue := a.gate.Down() || a.gate.AwaitsReopening() || a.gate.Suspect(now)
	if !isDue || a.probing || now-a.lastProbe < interval {
		return
	}
	a.probing, a.lastProbe = true, now
	go a.probe(now)
}

// probe connects to the target's address to find out whether its port is open. Only a refused or reset connection shows
// that it is not: a timeout may also mean that the target is slow.
func (a *Agent) probe(startedAt time.Duration) {
	dialer := net.Dialer{Timeout: probeTimeout, LocalAddr: &net.TCPAddr{IP: a.config.Target.Addr().AsSlice()}}
	conn, err := dialer.Dial("tcp4", a.config.Target.String())
	if err == nil {
		_ = conn.Close()
	}
	targetProbes.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probing = false
	a.recordProbe(err, startedAt, a.clock.now())
}

// recordProbe records the result of a probe. A listener with a full backlog may reset a connection, so that only a refused
// one shows that nothing listens. a.mu must be held.
func (a *Agent) recordProbe(result error, startedAt, now time.Duration) {
	wasDown := a.gate.Down()
	isRefused := errors.Is(result, syscall.ECONNREFUSED)
	isReset := errors.Is(result, syscall.ECONNRESET)
	a.checkPause(now)
	if isRefused {
		a.gate.RecordRefusal(startedAt, now)
	}
	if result == nil || isRefused || isReset {
		a.gate.RecordProbe(result == nil, now)
	}
	a.logProofs()
	if wasDown != a.gate.Down() || result != nil && !isRefused && !isReset {
		a.config.Log.Info("target_probed", "target", a.target.String(), "port_open", !a.gate.Down(), "error", result)
	}
	if a.gate.Down() {
		a.returnQueuedRequests(now)
	}
}

// returnQueuedRequests returns the packets of queued requests to their balancers because the target's port is closed.
func (a *Agent) returnQueuedRequests(now time.Duration) {
	for _, queued := range a.queuedRequests {
		for _, packet := range queued.packets {
			a.returnPacket(a.timerOutboxes, a.balancers[queued.balancer].address, queued.attempt, encap.ReasonSilent, packet, now)
		}
	}
	a.timerOutboxes.flush()
	clear(a.queuedRequests)
}

var targetProbes = metrics.NewCounter("cowslip_target_probes_total")
