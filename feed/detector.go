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
	detectPeriod = 250 * time.Millisecond
	// overdueAfter is the silence after which a report counts as missing: one period and a quarter.
	overdueAfter = reportPeriod + reportPeriod/4
	// suspectFor is how long a suspicion must last before the verdict; probes go out meanwhile.
	suspectFor   = 2 * time.Second
	probePeriod  = 500 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// leastProbes is how many probes must have failed before a verdict.
	leastProbes = 3
	// maxObservers is how many pool peers watch one agent, as package agent chooses the receivers of heartbeats.
	maxObservers = 8
)

// subject is what the detector knows of one process of its domain.
type subject struct {
	started  uint64
	sequence uint64
	heard    time.Time // last report, or last time that another relay had it
	suspect  time.Time // when the suspicion began; zero without one
	probed   time.Time
	failed   int       // probes that failed during this suspicion
	probing  bool      // a probe is under way
	seen     time.Time // last review that found the process in the table
}

// detector decides at a relay which processes of its failure domain are down.
type detector struct {
	feed *Feed

	mu       sync.Mutex
	subjects map[string]*subject
	held     bool // verdicts are held because most of the domain is silent
}

func newDetector(f *Feed) *detector {
	return &detector{feed: f, subjects: make(map[string]*subject)}
}

// run watches the processes of the domain until the context ends.
func (d *detector) run(ctx context.Context) {
	d.mu.Lock()
	clear(d.subjects) // what was heard in an earlier term as a relay is old
	d.mu.Unlock()
	ticker := time.NewTicker(detectPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.review(ctx, time.Now())
		}
	}
}

// heard notes a report or an answer of the process.
func (d *detector) heard(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.subjects[vm]; ok {
		s.clear(time.Now())
	}
}

// lost notes that the stream to a subscriber ended. A subscriber that only redials is heard again at once.
func (d *detector) lost(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.subjects[vm]; ok {
		s.heard = s.heard.Add(-overdueAfter)
	}
}

func (s *subject) clear(now time.Time) {
	s.heard = now
	s.suspect = time.Time{}
	s.failed = 0
}

// review updates all subjects and passes verdicts.
func (d *detector) review(ctx context.Context, now time.Time) {
	suspicions := d.feed.table.SuspectCounts()
	synced := d.feed.syncedRelays()
	d.mu.Lock()
	defer d.mu.Unlock()
	var suspects []fleet.Member
	alive, silent := 1, 0 // the relay itself is alive
	d.feed.table.ForEach(d.feed.cfg.Self.FailureDomain, func(m *fleet.Member) {
		if !isSubject(m) || m.Record.VM.Name == d.feed.cfg.Self.Name {
			return
		}
		s := d.observe(m, synced, now)
		suspect := d.isSuspect(m, s, suspicions, synced, now)
		if suspect {
			suspects = append(suspects, *m)
		}
		// What another relay received counts as silent as soon as that relay does not answer. Its silence shows a
		// little later than that of own subscribers, and an isolated relay would judge those before.
		if suspect || !(m.Relay == d.feed.cfg.Self.Name || synced[m.Relay]) {
			silent++
		} else {
			alive++
		}
	})
	d.hold(silent > alive, silent, alive)
	for i := range suspects {
		d.judge(ctx, &suspects[i], d.subjects[suspects[i].Record.VM.Name], now)
	}
	for name, s := range d.subjects {
		if s.seen != now {
			delete(d.subjects, name)
		}
	}
}

// isSubject reports whether a verdict about the member can change anything.
func isSubject(m *fleet.Member) bool {
	return m.HasRecord() && !m.Removed && !m.Down && m.Record.State != fleet.StateStopped
}

// observe returns the subject of a member and notes signs of life from other relays.
func (d *detector) observe(m *fleet.Member, synced map[string]bool, now time.Time) *subject {
	s, ok := d.subjects[m.Record.VM.Name]
	if !ok {
		s = &subject{heard: now}
		d.subjects[m.Record.VM.Name] = s
	}
	s.seen = now
	if s.started != m.Record.Started || s.sequence != m.Record.Sequence {
		s.started, s.sequence = m.Record.Started, m.Record.Sequence
		s.clear(now)
	}
	if synced[m.Relay] {
		s.heard = now // the other relay receives its reports and would pass the verdict
	}
	return s
}

// isSuspect reports whether the member is silent, or doubted by a majority of those who would hear it. Doubt about what
// another live relay receives is left to that relay, so that not all relays of the domain probe at once.
func (d *detector) isSuspect(m *fleet.Member, s *subject, suspicions map[string]int, synced map[string]bool,
	now time.Time,
) bool {
	overdue := now.Sub(s.heard) > overdueAfter
	count := suspicions[m.Record.VM.Name]
	others := synced[m.Relay] && m.Relay != m.Record.VM.Name
	doubted := count > 0 && !others && count*2 > d.observers(m)
	if !overdue && !doubted {
		s.suspect = time.Time{}
		s.failed = 0
		return false
	}
	if s.suspect.IsZero() {
		s.suspect = now
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
func (d *detector) hold(partition bool, silent, alive int) {
	if partition != d.held {
		d.feed.log.Warn("verdicts_held", "held", partition, "silent", silent, "alive", alive)
	}
	d.held = partition
}

// judge probes a suspect and passes the verdict once the suspicion has lasted and no probe was answered.
func (d *detector) judge(ctx context.Context, m *fleet.Member, s *subject, now time.Time) {
	if !d.held && now.Sub(s.suspect) >= suspectFor && s.failed >= leastProbes {
		down := *m
		down.Down = true
		if d.feed.table.Merge(&down) {
			d.feed.log.Warn("member_down", "member", m.Record.VM.Name, "silent", now.Sub(s.heard))
			d.feed.moved.fire()
		}
		return
	}
	if !s.probing && now.Sub(s.probed) >= probePeriod {
		s.probing = true
		s.probed = now
		go d.probe(ctx, m.Record.VM, s)
	}
}

// probe asks the process over a new connection, because an open one may have gone silent.
func (d *detector) probe(ctx context.Context, vm fleet.VM, s *subject) {
	started, err := d.feed.probe(ctx, vm.Control, vm.Name)
	d.mu.Lock()
	defer d.mu.Unlock()
	s.probing = false
	if err == nil && started == s.started {
		s.clear(time.Now())
		return
	}
	s.failed++
}

func (f *Feed) probe(ctx context.Context, control netip.AddrPort, vm string) (started uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l := f.dial(control, nil)
	defer l.close()
	answer, err := l.rpc.Probe(ctx, connect.NewRequest(&fleetv1.ProbeRequest{Vm: vm}))
	if err != nil {
		return 0, err
	}
	if answer.Msg.GetVm() != vm {
		return 0, nil // another VM has the address now
	}
	return answer.Msg.GetStarted(), nil
}
