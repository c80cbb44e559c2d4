package feed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
)

// Times of failure detection.
const (
	checkPeriod = 250 * time.Millisecond
	// overdueAfter is the silence after which a report counts as missing: one period and a quarter.
	reportTimeout = reportPeriod + reportPeriod/4
	// suspectFor is how long a suspicion must last before the verdict; probes go out meanwhile.
	suspicionTimeout = 2 * time.Second
	probePeriod      = 500 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond
	// leastProbes is how many probes must have failed before a verdict.
	minFailedProbes = 3
	// maxObservers is how many pool peers watch one agent, as package agent chooses the receivers of heartbeats.
	maxObservers = 8
)

// subject is what the detector knows of one process of its domain.
type processHealth struct {
	started      uint64
	sequence     uint64
	lastContact  time.Time // last report, or last time that another relay had it
	suspectedAt  time.Time // when the suspicion began; zero without one
	lastProbe    time.Time
	failedProbes int       // probes that failed during this suspicion
	probing      bool      // a probe is under way
	lastCheck    time.Time // last review that found the process in the table
}

// detector decides at a relay which processes of its failure domain are down.
type detector struct {
	feed *Feed

	mu        sync.Mutex
	processes map[string]*processHealth
	held      bool // verdicts are held because most of the domain is silent
}

func newDetector(f *Feed) *detector {
	return &detector{feed: f, processes: make(map[string]*processHealth)}
}

// run watches the processes of the domain until the context ends.
func (d *detector) run(ctx context.Context) {
	d.mu.Lock()
	clear(d.processes) // what was heard in an earlier term as a relay is old
	d.mu.Unlock()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.check(ctx, time.Now())
		}
	}
}

// heard notes a report or an answer of the process.
func (d *detector) recordContact(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.processes[vm]; ok {
		h.recordContact(time.Now())
	}
}

// lost notes that the stream to a subscriber ended. A subscriber that only redials is heard again at once.
func (d *detector) recordStreamEnd(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.processes[vm]; ok {
		h.lastContact = h.lastContact.Add(-reportTimeout)
	}
}

func (h *processHealth) recordContact(now time.Time) {
	h.lastContact = now
	h.suspectedAt = time.Time{}
	h.failedProbes = 0
}

// review updates all subjects and passes verdicts.
func (d *detector) check(ctx context.Context, now time.Time) {
	suspicions := d.feed.table.Suspicions()
	synced := d.feed.syncedRelays()
	d.mu.Lock()
	defer d.mu.Unlock()
	var suspectMembers []fleet.Member
	alive, silent := 1, 0 // the relay itself is alive
	d.feed.table.Visit(d.feed.cfg.Self.FailureDomain, func(m *fleet.Member) {
		if !isMonitored(m) || m.Record.VM.Name == d.feed.cfg.Self.Name {
			return
		}
		h := d.update(m, synced, now)
		suspect := d.updateSuspicion(m, h, suspicions, synced, now)
		if suspect {
			suspectMembers = append(suspectMembers, *m)
		}
		// What another relay received counts as silent as soon as that relay does not answer. Its silence shows a
		// little later than that of own subscribers, and an isolated relay would judge those before.
		if suspect || !(m.Via == d.feed.cfg.Self.Name || synced[m.Via]) {
			silent++
		} else {
			alive++
		}
	})
	d.setHeld(silent > alive, silent, alive)
	for i := range suspectMembers {
		d.probeOrDeclareDown(ctx, &suspectMembers[i], d.processes[suspectMembers[i].Record.VM.Name], now)
	}
	for name, h := range d.processes {
		if h.lastCheck != now {
			delete(d.processes, name)
		}
	}
}

// isSubject reports whether a verdict about the member can change anything.
func isMonitored(m *fleet.Member) bool {
	return m.HasRecord() && !m.Removed && !m.Down && m.Record.State != fleet.StateStopped
}

// observe returns the subject of a member and notes signs of life from other relays.
func (d *detector) update(m *fleet.Member, synced map[string]bool, now time.Time) *processHealth {
	h, ok := d.processes[m.Record.VM.Name]
	if !ok {
		h = &processHealth{lastContact: now}
		d.processes[m.Record.VM.Name] = h
	}
	h.lastCheck = now
	if h.started != m.Record.Started || h.sequence != m.Record.Sequence {
		h.started, h.sequence = m.Record.Started, m.Record.Sequence
		h.recordContact(now)
	}
	if synced[m.Via] {
		h.lastContact = now // the other relay receives its reports and would pass the verdict
	}
	return h
}

// isSuspect reports whether the member is silent, or doubted by a majority of those who would hear it. Doubt about what
// another live relay receives is left to that relay, so that not all relays of the domain probe at once.
func (d *detector) updateSuspicion(m *fleet.Member, h *processHealth, suspicions map[string]int, synced map[string]bool,
	now time.Time,
) bool {
	overdue := now.Sub(h.lastContact) > reportTimeout
	suspecting := suspicions[m.Record.VM.Name]
	reportsElsewhere := synced[m.Via] && m.Via != m.Record.VM.Name
	suspected := suspecting > 0 && !reportsElsewhere && suspecting*2 > d.observers(m)
	if !overdue && !suspected {
		h.suspectedAt = time.Time{}
		h.failedProbes = 0
		return false
	}
	if h.suspectedAt.IsZero() {
		h.suspectedAt = now
	}
	return true
}

// observers returns how many pool peers receive the heartbeats of the member.
func (d *detector) observers(m *fleet.Member) int {
	if m.Record.Service == 0 {
		return maxObservers
	}
	pool := d.feed.View().Targets(m.Record.Service)
	live := 0
	for i := range pool {
		state := pool[i].State
		if pool[i].VM.Name != m.Record.VM.Name && (state == fleet.StateServing || state == fleet.StateWarming) {
			live++
		}
	}
	return max(1, min(live, maxObservers))
}

// hold stops verdicts while more than half of the domain is silent: that is a partition, or the relay's own isolation.
func (d *detector) setHeld(partition bool, silent, alive int) {
	if partition != d.held {
		d.feed.log.Warn("verdicts_held", "held", partition, "silent", silent, "alive", alive)
	}
	d.held = partition
}

// judge probes a suspect and passes the verdict once the suspicion has lasted and no probe was answered.
func (d *detector) probeOrDeclareDown(ctx context.Context, m *fleet.Member, h *processHealth, now time.Time) {
	if !d.held && now.Sub(h.suspectedAt) >= suspicionTimeout && h.failedProbes >= minFailedProbes {
		down := *m
		down.Down = true
		if d.feed.table.Merge(&down) {
			d.feed.log.Warn("member_down", "member", m.Record.VM.Name, "silent", now.Sub(h.lastContact))
			d.feed.tableChanged.notify()
		}
		return
	}
	if !h.probing && now.Sub(h.lastProbe) >= probePeriod {
		h.probing = true
		h.lastProbe = now
		go d.probe(ctx, m.Record.VM, h)
	}
}

// probe asks the process over a new connection, because an open one may have gone silent.
func (d *detector) probe(ctx context.Context, vm fleet.VM, h *processHealth) {
	started, err := d.feed.sendProbe(ctx, vm.Control, vm.Name)
	d.mu.Lock()
	defer d.mu.Unlock()
	h.probing = false
	if err == nil && started == h.started {
		h.recordContact(time.Now())
		return
	}
	h.failedProbes++
}

func (f *Feed) sendProbe(ctx context.Context, control netip.AddrPort, vm string) (started uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn := f.dial(control, nil)
	defer conn.close()
	response, err := conn.rpc.Probe(ctx, connect.NewRequest(&fleetv1.ProbeRequest{Vm: vm}))
	if err != nil {
		return 0, err
	}
	if response.Msg.GetVm() != vm {
		return 0, nil // another VM has the address now
	}
	return response.Msg.GetStarted(), nil
}
