package tunnel

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/routing"
	"github.com/cowslipward/cowslipward/wire"
)

// maxHops bounds how often a new flow is passed on.
const maxHops = 2

// Bounds of the memory of decisions about new flows.
const (
	flowMemory = 10 * time.Second
	maxFlows   = 8192 // per generation; two generations are held
)

// flows remembers where new flows went, so that retransmissions of their first packets follow. Two generations bound
// it: lookups read both, and the older one is dropped when the newer one is old or full.
type flows struct {
	mu      sync.Mutex
	current map[uint64]netip.AddrPort // zero address: taken here
	older   map[uint64]netip.AddrPort
	turned  time.Duration
	table   *routing.Table
}

func newFlows() *flows {
	return &flows{current: make(map[uint64]netip.AddrPort)}
}

// recall returns where the flow went.
func (f *flows) recall(key uint64, now time.Duration) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn(now)
	if to, ok := f.current[key]; ok {
		return to, true
	}
	to, ok := f.older[key]
	return to, ok
}

// remember notes where the flow went for at least flowMemory, unless new flows overrun the table.
func (f *flows) remember(key uint64, to netip.AddrPort, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn(now)
	f.current[key] = to
}

func (f *flows) turn(now time.Duration) {
	age := now - f.turned
	if age < flowMemory && len(f.current) < maxFlows {
		return
	}
	f.older = f.current
	if age >= 2*flowMemory {
		f.older = nil
	}
	f.current = make(map[uint64]netip.AddrPort)
	f.turned = now
}

// pool returns the targets of the service in the view.
func (f *flows) pool(view *fleet.View, h *wire.Header) *routing.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil || f.table.View != view {
		f.table = routing.NewTable(view)
	}
	return f.table.Pool(h.Service)
}

// takeOrPass decides whether this agent takes a new flow. It passes the packet on when not.
func (c *Conn) takeOrPass(h *wire.Header, connectionID, body []byte, now time.Duration) bool {
	key := routing.Key(connectionID, h.Caller)
	to, known := c.flows.recall(key, now)
	if !known || c.lost(to) {
		to = c.decide(h, key)
		c.flows.remember(key, to, now)
	}
	if !to.IsValid() {
		return true
	}
	c.pass(h, to, body)
	return false
}

// decide returns the next target for the flow, or the zero address when it is taken here.
func (c *Conn) decide(h *wire.Header, key uint64) netip.AddrPort {
	admit := c.admit.Load()
	if admit == nil || (*admit)() || h.Hops >= maxHops {
		return netip.AddrPort{}
	}
	var order [routing.MaxRank]*fleet.Target
	n := c.flows.pool(c.cfg.Source.View(), h).Rank(key, order[:])
	return successor(order[:n], c.cfg.Advertise, int(h.Hops))
}

// successor returns the target after self in the order. A process that is not in the order, since it drains, passes to
// the first one that did not pass the flow itself: with h hops behind it, h targets before it may have refused.
func successor(order []*fleet.Target, self netip.AddrPort, hops int) netip.AddrPort {
	next := hops
	for i, t := range order {
		if t.VM.Data == self {
			next = i + 1
			break
		}
	}
	if next >= len(order) || order[next].VM.Data == self {
		return netip.AddrPort{}
	}
	return order[next].VM.Data
}

// lost reports whether the view says that a target that flows were passed to takes no packets any more.
func (c *Conn) lost(to netip.AddrPort) bool {
	if !to.IsValid() {
		return false
	}
	view := c.cfg.Source.View()
	target := view.TargetByAddress(to)
	return target != nil && (target.State == fleet.StateDown || view.DomainOut(target.Domain))
}

// pass sends the caller's datagram to another agent. The balancer stays the sender, so that the agent that takes the
// flow replies through it and answers a lagging revision there.
func (c *Conn) pass(h *wire.Header, to netip.AddrPort, body []byte) {
	passed := *h
	passed.Hops++
	if c.write(&passed, to, body) {
		c.link.Counts.Add(link.EventPassed, 1)
	}
}
