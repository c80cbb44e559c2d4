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
	// downProbeInterval is the minimum interval between probes of a target that is down, and
	// suspectProbeInterval that between probes of a target that runs but does not respond.
	downProbeInterval    = 100 * time.Millisecond
	suspectProbeInterval = time.Second
	// quietTimeout is how long a target may send nothing before the packets of searches are kept for the next
	// agent.
	quietTimeout = 50 * time.Millisecond
)

// probeIfSuspect starts a probe if the target is down or has stopped responding. a.mu must be held.
func (a *Agent) probeIfSuspect(now time.Duration) {
	interval := suspectProbeInterval
	if a.gate.Down() {
		interval = downProbeInterval
	}
	switch {
	case a.probing:
	case now-a.lastProbe >= interval && (a.gate.Down() || a.gate.Suspect(now)):
		a.lastProbe = now
		a.startProbe(now, false)
	case !a.gate.Down() && a.needsCrashProbe(now):
		a.startProbe(now, true)
	}
}

func (a *Agent) startProbe(now time.Duration, crashOnly bool) {
	a.probing = true
	go a.probe(now, crashOnly)
}

// probe connects to the target's address to find out whether the target runs. Only a refused or reset
// connection shows that it does not: a timeout may also mean that it is slow. With crashOnly, the probe has no effect if
// the connection is not refused.
func (a *Agent) probe(startedAt time.Duration, crashOnly bool) {
	dialer := net.Dialer{Timeout: probeTimeout, LocalAddr: &net.TCPAddr{IP: a.config.Target.Addr().AsSlice()}}
	conn, err := dialer.Dial("tcp4", a.config.Target.String())
	if err == nil {
		_ = conn.Close()
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	targetProbes.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probing = false
	now := a.clock.now()
	wasDown := a.gate.Down()
	a.recordRefusal(err, startedAt, now)
	if crashOnly && (!errors.Is(err, syscall.ECONNREFUSED) || !a.gate.Suspect(now)) {
		return // a first refusal marks the target as down no earlier than without these probes
	}
	if err == nil || refused {
		a.gate.RecordProbe(!refused, now)
	}
	if wasDown != a.gate.Down() || err != nil && !refused {
		a.config.Log.Info("target_probed", "target", a.target.String(), "runs", !a.gate.Down(), "error", err)
	}
	if a.gate.Down() {
		a.continuePendingSearches(now)
		a.returnQueuedRequests(now)
	}
}

// returnQueuedRequests returns the packets of queued requests to their balancers because the target is down.
func (a *Agent) returnQueuedRequests(now time.Duration) {
	for _, queued := range a.queuedRequests {
		for _, packet := range queued.packets {
			a.returnPacket(a.timerOutboxes, a.balancers[queued.balancer].address, queued.attempt, encap.ReasonSilent, packet, now)
		}
	}
	a.timerOutboxes.flush()
	clear(a.queuedRequests)
}

// continuePendingSearches forwards the packets of pending searches to the next agents because the target is
// down.
func (a *Agent) continuePendingSearches(now time.Duration) {
	for key, pending := range a.searches {
		if pending.packet != nil {
			a.continueSearch(a.timerOutboxes, key.balancer, &pending.header, pending.packet, now)
		}
	}
	a.timerOutboxes.flush()
	clear(a.searches)
}

var targetProbes = metrics.NewCounter("cowslip_target_probes_total")
