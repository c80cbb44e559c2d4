package balancer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/wire"
)

// Times of probes on use.
const (
	heardRecently = time.Second            // a target heard within it needs no probe
	probeTimeout  = 300 * time.Millisecond // silence after a probe that makes a target avoided
	probeRepeat   = 100 * time.Millisecond // a lost probe is repeated while the target gets new flows
	avoidLeast    = 2 * time.Second        // time until an avoided target is probed again, doubled each time
	avoidMost     = 10 * time.Second
)

// maxHealths bounds the table of targets that got new flows.
const maxHealths = 16_384

// targetHealth is what this balancer found out about a target by probes.
type targetHealth struct {
	mu      sync.Mutex
	probed  time.Duration // start of the outstanding probe; zero when there is none
	sent    time.Duration // last probe sent
	avoided bool
	pause   time.Duration // until the next probe of an avoided target
}

// verdict says what to do about a target.
type verdict struct {
	usable  bool
	probe   bool // send a probe
	turned  bool // usable changed
	suspect bool // the new state if turned
}

// judge decides about a target that was last heard at the time, zero for never. It is probed when it was not heard within
// the period.
func (t *targetHealth) judge(heard, now, within time.Duration) verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.probed != 0 && heard >= t.probed:
		turned := t.avoided
		t.probed, t.avoided = 0, false
		return verdict{usable: true, turned: turned}
	case t.avoided:
		return t.judgeAvoided(now)
	case t.probed != 0 && now-t.probed > probeTimeout:
		t.avoided = true
		t.pause = avoidLeast
		t.sent = now
		return verdict{turned: true, suspect: true}
	case t.probed != 0:
		return verdict{usable: true, probe: t.again(now, probeRepeat)}
	case heard == 0 || now-heard > within:
		t.probed = now
		t.sent = now
		return verdict{usable: true, probe: true}
	}
	return verdict{usable: true}
}

// judgeAvoided probes an avoided target at growing intervals. It stays avoided until it is heard, so that no caller's
// first packet is spent on finding out.
func (t *targetHealth) judgeAvoided(now time.Duration) verdict {
	if !t.again(now, t.pause) {
		return verdict{}
	}
	t.pause = min(2*t.pause, avoidMost)
	return verdict{probe: true}
}

func (t *targetHealth) again(now, period time.Duration) bool {
	if now-t.sent < period {
		return false
	}
	t.sent = now
	return true
}

// targetHealths finds the health of targets by their tunnel address.
type targetHealths struct {
	mu    sync.RWMutex
	table map[netip.AddrPort]*targetHealth
}

func newTargetHealths() *targetHealths {
	return &targetHealths{table: make(map[netip.AddrPort]*targetHealth)}
}

func (t *targetHealths) of(address netip.AddrPort) *targetHealth {
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
	if len(t.table) >= maxHealths {
		clear(t.table)
	}
	h = &targetHealth{}
	t.table[address] = h
	return h
}

// firstUsable returns the first target in the order that answers as far as known, or the first of all when none does.
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

func (b *Balancer) usable(target *fleet.Target, now time.Duration) bool {
	var heard time.Duration
	if peer := b.link.Peer(target.VM.Data); peer != nil {
		heard = peer.LastReceived()
	}
	within := heardRecently
	if target.State == fleet.StateDown {
		within = probeTimeout // the verdict is settled soon: callers wait for the reset
	}
	v := b.targets.of(target.VM.Data).judge(heard, now, within)
	if v.turned {
		b.noteTurn(target, v.suspect)
	}
	if v.probe && b.link.Send(wire.Probe, target.VM.Data, nil) == nil {
		b.link.Counts.Add(link.EventProbe, 1)
	}
	return v.usable
}

func (b *Balancer) noteTurn(target *fleet.Target, suspect bool) {
	b.cfg.Source.ReportSuspect(target.VM.Name, suspect)
	if suspect {
		b.link.Counts.Add(link.EventTargetAvoided, 1)
		b.cfg.Log.Warn("target_avoided", "target", target.VM.Name, "address", target.VM.Data)
		return
	}
	b.cfg.Log.Info("target_heard", "target", target.VM.Name, "address", target.VM.Data)
}
