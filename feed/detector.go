package feed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
	"github.com/cowslipward/cowslipward/internal/peer"
)

// Timing and limits of failure detection.
const (
	checkPeriod = 250 * time.Millisecond
	// reportTimeout is the time without contact after which a process becomes suspect: one and a quarter report
	// periods.
	reportTimeout = reportPeriod + reportPeriod/4
	// suspicionTimeout is how long a process must be suspect before it is declared down. It is probed meanwhile.
	suspicionTimeout = 2 * time.Second
	probePeriod      = 500 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond
	// minFailedProbes is how many probes must have failed before a process is declared down.
	minFailedProbes = 3
	// maxObservers is the maximum number of agents of a pool that receive the heartbeats of one agent. It matches the
	// choice of receivers in package agent.
	maxObservers = 8
)

// processHealth is the state of the detector for one process of its failure domain.
type processHealth struct {
	started      uint64
	sequence     uint64
	lastContact  time.Time // last report, or last check at which a live relay other than this one received its reports
	suspectedAt  time.Time // when the process became suspect; zero if it is not
	lastProbe    time.Time
	failedProbes int       // since the process became suspect
	probing      bool      // a probe is in flight
	lastCheck    time.Time // last check that found the process in the table
}

// detector runs at a relay and declares unreachable processes of its failure domain down.
type detector struct {
	feed *Feed

	mu        sync.Mutex
	processes map[string]*processHealth
	held      bool // no process is declared down because most of the domain is silent
}

func newDetector(f *Feed) *detector {
	return &detector{feed: f, processes: make(map[string]*processHealth)}
}

// run checks the processes of the failure domain every checkPeriod until the context is canceled.
func (d *detector) run(ctx context.Context) {
	d.mu.Lock()
	clear(d.processes) // the state of an earlier term as a relay is outdated
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

// recordContact records that a report of the process has arrived.
func (d *detector) recordContact(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.processes[vm]; ok {
		h.recordContact(time.Now())
	}
}

// recordStreamEnd records that the stream to a subscriber ended and makes its next report overdue. A subscriber that
// only redials reports again at once.
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

// check updates the state of all monitored processes, and probes the suspect ones or declares them down.
func (d *detector) check(ctx context.Context, now time.Time) {
	suspicions := d.feed.table.SuspectCounts()
	synced := d.feed.syncedRelays()
	d.mu.Lock()
	defer d.mu.Unlock()
	var suspectMembers []fleet.Member
	alive, silent := 1, 0 // the relay itself is alive
	d.feed.table.ForEach(d.feed.cfg.Self.FailureDomain, func(m *fleet.Member) {
		if !isMonitored(m) || m.Record.VM.Name == d.feed.cfg.Self.Name {
			return
		}
		h := d.update(m, synced, now)
		suspect := d.updateSuspicion(m, h, suspicions, synced, now)
		if suspect {
			suspectMembers = append(suspectMembers, *m)
		}
		// Processes that report to another relay count as silent as soon as that relay does not answer. They become
		// overdue a little later than the subscribers of this relay, so an isolated relay would otherwise declare its
		// own subscribers down before it detected the partition.
		if suspect || !(m.Relay == d.feed.cfg.Self.Name || synced[m.Relay]) {
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

// isMonitored reports whether the member can be declared down: it has a record and is not stopped, removed or down.
func isMonitored(m *fleet.Member) bool {
	return m.HasRecord() && !m.Removed && !m.Down && m.Record.State != fleet.StateStopped
}

// update returns the state of a member, created if necessary. It records contact if the record has changed or another
// live relay receives the reports of the process.
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
	if synced[m.Relay] {
		h.lastContact = now // that relay receives the reports and would declare the process down
	}
	return h
}

// updateSuspicion reports whether the member is suspect: its reports are overdue, or a majority of its observers
// suspects it. The suspicions of observers are left to the relay that receives the reports of the member if that relay
// is alive, so that not all relays of the domain probe at once.
func (d *detector) updateSuspicion(m *fleet.Member, h *processHealth, suspicions map[string]int, synced map[string]bool,
	now time.Time,
) bool {
	overdue := now.Sub(h.lastContact) > reportTimeout
	suspecting := suspicions[m.Record.VM.Name]
	reportsElsewhere := synced[m.Relay] && m.Relay != m.Record.VM.Name
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

// observers returns how many members of the same pool receive the heartbeats of the member.
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

// setHeld suspends down declarations while more than half of the failure domain is silent, which indicates a partition
// or that this relay is isolated.
func (d *detector) setHeld(partition bool, silent, alive int) {
	if partition != d.held {
		d.feed.log.Warn("verdicts_held", "held", partition, "silent", silent, "alive", alive)
	}
	d.held = partition
}

// probeOrDeclareDown declares a suspect member down after suspicionTimeout if enough probes have failed. Otherwise it
// starts the next probe when that is due.
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

// probe probes the process over a new connection, because an open one may be blackholed, and records the result.
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

// sendProbe returns the start time of the process on the VM in Unix milliseconds, zero if another VM answers.
func (f *Feed) sendProbe(ctx context.Context, control netip.AddrPort, vm string) (started uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn := f.dial(control, peer.MinHandshakeTimeout, nil)
	defer conn.close()
	response, err := conn.rpc.Probe(ctx, connect.NewRequest(&fleetv1.ProbeRequest{Vm: vm}))
	if err != nil {
		return 0, err
	}
	if response.Msg.GetVm() != vm {
		return 0, nil // the address belongs to another VM now
	}
	return response.Msg.GetStarted(), nil
}
