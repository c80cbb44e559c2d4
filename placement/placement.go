package placement

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
)

const (
	// remotePenalty is what a target in another failure domain must be less busy by, as a share of its slots, since
	// bytes between failure domains are dear.
	remotePenalty = 0.3
	// lapsedPenalty and silentPenalty put targets last that may be gone.
	lapsedPenalty = 4.0
	silentPenalty = 8.0
	// reportLife is how long an agent's report counts in full. An older one fades out over the same time.
	reportLife = 500 * time.Millisecond
	// silenceLimit is how long an agent that gets packets may say nothing before its target counts as silent.
	silenceLimit = 700 * time.Millisecond
	// fullLife is how long a target that refused a new flow for lack of slots is not offered another.
	fullLife = 30 * time.Millisecond
)

// load is what a balancer knows of the work of one target.
type load struct {
	reported   int // requests in progress and new flows that wait
	placed     int // new flows that this process sent since the report
	reportedAt time.Duration
	silent     bool
	fullAt     time.Duration // when it refused a new flow for lack of slots; 0: never
	owed       time.Duration // steady time of the first packet that the agent has not been heard of since; 0: none
}

// Loads estimates the work of targets from the reports of their agents and from the flows that the process placed. It
// is not safe for concurrent use.
type Loads struct {
	byIP map[[4]byte]*load
}

// NewLoads returns an empty estimate.
func NewLoads() *Loads { return &Loads{byIP: make(map[[4]byte]*load)} }

func (l *Loads) of(ip [4]byte) *load {
	if held := l.byIP[ip]; held != nil {
		return held
	}
	fresh := &load{}
	l.byIP[ip] = fresh
	return fresh
}

// Reported takes over what an agent says of its target.
func (l *Loads) Reported(ip [4]byte, inProgress, waiting int, silent bool, now time.Duration) {
	held := l.of(ip)
	held.reported, held.placed, held.reportedAt = inProgress+waiting, 0, now
	held.silent, held.owed = silent, 0
}

// Full notes that the target on the VM refused a new flow for lack of slots.
func (l *Loads) Full(ip [4]byte, now time.Duration) { l.of(ip).fullAt = now }

// isFull reports whether the target refused a new flow a moment ago.
func (l *Loads) isFull(ip [4]byte, now time.Duration) bool {
	held := l.byIP[ip]
	return held != nil && held.fullAt != 0 && now-held.fullAt < fullLife
}

// Sent notes that a packet went to the VM, and with opens that it was a new flow.
func (l *Loads) Sent(ip [4]byte, opens bool, now time.Duration) {
	held := l.of(ip)
	if held.owed == 0 {
		held.owed = now
	}
	if opens {
		held.placed++
	}
}

// Heard reports whether the agent of the VM was heard of within the limit of silence.
func (l *Loads) Heard(ip [4]byte, now time.Duration) bool {
	held := l.byIP[ip]
	return held != nil && held.reportedAt != 0 && now-held.reportedAt < silenceLimit
}

// Prune forgets VMs that the view no longer names.
func (l *Loads) Prune(view *directory.View) {
	for ip := range l.byIP {
		if view.TargetOn(ip) == nil {
			delete(l.byIP, ip)
		}
	}
}

// Fraction estimates the requests in progress at a target as a share of its slots, with penalties for targets that may
// be gone.
func (l *Loads) Fraction(t *directory.Target, now time.Duration) float64 {
	held := l.byIP[t.Address.IP]
	if held == nil {
		return penalty(t, false)
	}
	work := float64(held.placed)
	if age := now - held.reportedAt; age < 2*reportLife {
		work += float64(held.reported) * min(1, 2-float64(age)/float64(reportLife))
	} else {
		work = min(work, float64(t.Slots)/2)
	}
	silent := held.silent || (held.owed != 0 && now-held.owed > silenceLimit)
	return work/float64(t.Slots) + penalty(t, silent)
}

func penalty(t *directory.Target, silent bool) float64 {
	sum := 0.0
	if t.Lapsed != 0 {
		sum += lapsedPenalty
	}
	if silent {
		sum += silentPenalty
	}
	return sum
}

// Eligible reports whether new flows may go to the target.
func Eligible(view *directory.View, t *directory.Target) bool {
	return t.State == directory.TargetReady && !view.IsOut(t.Domain)
}

// Chooser picks targets for new flows.
type Chooser struct {
	Home  string // failure domain of the process
	Loads *Loads
	order Order
}

// Choose returns the target that a new flow is offered to next, or nil where all eligible ones were tried or have no
// slot. The first offer goes to the less busy of a few targets that the hash of the flow gives; later ones go to the
// least busy of all.
func (c *Chooser) Choose(view *directory.View, service string, hash uint64, tried []uint64, now time.Duration) *directory.Target {
	var best *directory.Target
	var least float64
	offered := 0
	for _, t := range c.order.Of(view.Targets(service), c.Home, hash) {
		if !Eligible(view, t) || wasTried(tried, t) || c.Loads.isFull(t.Address.IP, now) {
			continue
		}
		cost := c.cost(t, now)
		if best == nil || cost < least {
			best, least = t, cost
		}
		offered++
		if len(tried) == 0 && offered >= homeChoices+remoteChoices && least < 1 {
			break
		}
	}
	return best
}

// LeastBusy returns the eligible target with the least work, full or not.
func (c *Chooser) LeastBusy(view *directory.View, service string, hash uint64, now time.Duration) *directory.Target {
	var best *directory.Target
	var least float64
	for _, t := range c.order.Of(view.Targets(service), c.Home, hash) {
		if !Eligible(view, t) {
			continue
		}
		if cost := c.cost(t, now); best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

func (c *Chooser) cost(t *directory.Target, now time.Duration) float64 {
	cost := c.Loads.Fraction(t, now)
	if t.Domain != c.Home {
		cost += remotePenalty
	}
	return cost
}

// Search returns all targets of the services in the order in which an open flow is searched.
func (c *Chooser) Search(view *directory.View, services []string, hash uint64, dst []*directory.Target) []*directory.Target {
	for _, service := range services {
		dst = append(dst, c.order.Of(view.Targets(service), c.Home, hash)...)
	}
	return dst
}

// Mark is the short form in which a flow remembers the targets that refused it.
func Mark(t *directory.Target) uint64 { return rank(t, 0) }

func wasTried(tried []uint64, t *directory.Target) bool {
	mark := Mark(t)
	for _, m := range tried {
		if m == mark {
			return true
		}
	}
	return false
}
