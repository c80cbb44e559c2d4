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
	// probeTimeout bounds a probe.
	probeTimeout = 150 * time.Millisecond
	// probePause is the least time between two probes of a target that is down, probeAgain that between two of one that
	// runs and still says nothing.
	probePause = 100 * time.Millisecond
	probeAgain = time.Second
	// quietLimit is how long a target may say nothing before the packets of searches are kept for the next agent.
	quietLimit = 50 * time.Millisecond
)

// probeIfSuspect finds out whether a target that says nothing runs. The caller holds the lock.
func (a *Agent) probeIfSuspect(now time.Duration) {
	pause := probeAgain
	if a.gate.Down() {
		pause = probePause
	}
	if a.probing || now-a.probed < pause || (!a.gate.Down() && !a.gate.Suspect(now)) {
		return
	}
	a.probing, a.probed = true, now
	go a.probe()
}

// probe opens a connection to the target's address. Only a refusal shows that the target does not run: no answer may
// also come from one that is slow.
func (a *Agent) probe() {
	dialer := net.Dialer{Timeout: probeTimeout, LocalAddr: &net.TCPAddr{IP: a.config.Target.Addr().AsSlice()}}
	conn, err := dialer.Dial("tcp4", a.config.Target.String())
	if err == nil {
		_ = conn.Close()
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	probes.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probing = false
	now := a.clock.now()
	was := a.gate.Down()
	if err == nil || refused {
		a.gate.RecordProbe(!refused, now)
	}
	if was != a.gate.Down() || err != nil && !refused {
		a.config.Log.Info("target_probed", "target", a.target.String(), "runs", !a.gate.Down(), "error", err)
	}
	if a.gate.Down() {
		a.passSearchesOn(now)
		a.returnRequests(now)
	}
}

// returnRequests sends the packets of requests that wait for a target which does not run back to their balancers.
func (a *Agent) returnRequests(now time.Duration) {
	for _, held := range a.requests {
		for _, packet := range held.packets {
			a.giveBack(a.timerOut, a.balancers[held.balancer].address, held.attempt, encap.ReasonSilent, packet, now)
		}
	}
	a.timerOut.flush()
	clear(a.requests)
}

// passSearchesOn sends the packets of searches that wait for a target which does not run to the next agents.
func (a *Agent) passSearchesOn(now time.Duration) {
	for key, passing := range a.searches {
		if passing.packet != nil {
			a.searchOn(a.timerOut, key.balancer, &passing.header, passing.packet, now)
		}
	}
	a.timerOut.flush()
	clear(a.searches)
}

var probes = metrics.NewCounter("cowslip_target_probes_total")
