package balancer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/wire"
)

// Timing of probes. A target is probed only when a decision about a packet depends on its health.
const (
	probeAfterSilence  = time.Second            // a target that sent a packet within this time needs no probe
	probeTimeout       = 300 * time.Millisecond // a target that sends nothing for this long after a probe is avoided
	probeRetryInterval = 100 * time.Millisecond // probes are repeated as new flows arrive, since one may be lost
	minAvoidBackoff    = 2 * time.Second        // time until an avoided target is probed again, doubled each time
	maxAvoidBackoff    = 10 * time.Second
)

// maxHealthEntries limits the table of targets that were given new flows.
const maxHealthEntries = 16_384

// targetHealth is what this balancer has learned about a target from probes.
type targetHealth struct {
	mu             sync.Mutex
	probeStartedAt time.Duration // first probe without a response; zero if none is outstanding
	lastProbeAt    time.Duration // most recent probe
	avoided        bool
	backoff        time.Duration // time until the next probe of an avoided target
}

// assessment is the result of assessing the health of a target.
type assessment struct {
	usable  bool
	probe   bool // send a probe
	changed bool // usable changed
	suspect bool // target is unresponsive; only set if changed is
}

// assess decides whether a target may be used and whether to probe it. lastPacketAt is when the last packet
// from the target arrived, zero if none has. A target that has been silent for longer than silenceLimit is
// probed.
func (t *targetHealth) assess(lastPacketAt, now, silenceLimit time.Duration) assessment {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.probeStartedAt != 0 && lastPacketAt >= t.probeStartedAt:
		changed := t.avoided
		t.probeStartedAt, t.avoided = 0, false
		return assessment{usable: true, changed: changed}
	case t.avoided:
		return t.assessAvoided(now)
	case t.probeStartedAt != 0 && now-t.probeStartedAt > probeTimeout:
		t.avoided = true
		t.backoff = minAvoidBackoff
		t.lastProbeAt = now
		return assessment{changed: true, suspect: true}
	case t.probeStartedAt != 0:
		return assessment{usable: true, probe: t.claimProbe(now, probeRetryInterval)}
	case lastPacketAt == 0 || now-lastPacketAt > silenceLimit:
		t.probeStartedAt = now
		t.lastProbeAt = now
		return assessment{usable: true, probe: true}
	}
	return assessment{usable: true}
}

// assessAvoided probes an avoided target at growing intervals. The target stays avoided until a packet from it
// arrives, so that no caller's first packet is spent on testing it.
func (t *targetHealth) assessAvoided(now time.Duration) assessment {
	if !t.claimProbe(now, t.backoff) {
		return assessment{}
	}
	t.backoff = min(2*t.backoff, maxAvoidBackoff)
	return assessment{probe: true}
}

// claimProbe reports whether the last probe was sent at least the period ago, and if so records a new one.
func (t *targetHealth) claimProbe(now, period time.Duration) bool {
	if now-t.lastProbeAt < period {
		return false
	}
	t.lastProbeAt = now
	return true
}

// healthTable holds the health of targets by tunnel address.
type healthTable struct {
	mu    sync.RWMutex
	table map[netip.AddrPort]*targetHealth
}

func newHealthTable() *healthTable {
	return &healthTable{table: make(map[netip.AddrPort]*targetHealth)}
}

// get returns the health of the target and creates the entry if needed.
func (t *healthTable) get(address netip.AddrPort) *targetHealth {
	t.mu.RLock()
	h := t.table[address]
	t.mu.RUnlock()
	if h != nil {
		return h
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h = t.table[address]; h != nil {
		return h
	}
	if len(t.table) >= maxHealthEntries {
		clear(t.table)
	}
	h = &targetHealth{}
	t.table[address] = h
	return h
}

// firstUsable returns the first usable target in the order of preference. If none is usable, it returns the
// most preferred one.
func (b *Balancer) firstUsable(order []*fleet.Target, now time.Duration) *fleet.Target {
	for _, target := range order {
		if b.usable(target, now) {
			return target
		}
	}
	if len(order) == 0 {
		return nil
	}
	return order[0]
}

// usable reports whether a target may be used, and probes it if a probe is due.
func (b *Balancer) usable(target *fleet.Target, now time.Duration) bool {
	var lastPacketAt time.Duration
	if peer := b.link.Peer(target.VM.Data); peer != nil {
		lastPacketAt = peer.LastReceived()
	}
	silenceLimit := probeAfterSilence
	if target.State == fleet.StateDown {
		silenceLimit = probeTimeout // decide soon whether it is down, because callers wait for the reset
	}
	v := b.health.get(target.VM.Data).assess(lastPacketAt, now, silenceLimit)
	if v.changed {
		b.reportChange(target, v.suspect)
	}
	if v.probe && b.link.Send(wire.Probe, target.VM.Data, nil) == nil {
		b.link.Counts.Add(link.EventProbe, 1)
	}
	return v.usable
}

func (b *Balancer) reportChange(target *fleet.Target, suspect bool) {
	b.cfg.Source.ReportSuspect(target.VM.Name, suspect)
	if suspect {
		b.link.Counts.Add(link.EventTargetAvoided, 1)
		b.cfg.Log.Warn("target_avoided", "target", target.VM.Name, "address", target.VM.Data)
		return
	}
	b.cfg.Log.Info("target_heard", "target", target.VM.Name, "address", target.VM.Data)
}
