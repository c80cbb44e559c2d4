package tunnel

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/routing"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/wire"
)

// maxHops limits how many times a new flow is passed from one agent to another.
const maxHops = 2

// Limits of the table of decisions about new flows.
const (
	decisionLifetime = 10 * time.Second // minimum, unless the table fills up
	maxDecisions     = 8192             // per generation; the table has two
)

// flowDecisions records where new flows were sent, so that retransmissions of their first packets go to the
// same target. Two generations limit its size: lookups read both, and the older one is discarded when the
// newer one reaches its age or size limit.
type flowDecisions struct {
	mu        sync.Mutex
	current   map[uint64]netip.AddrPort // zero address: accepted by this agent
	older     map[uint64]netip.AddrPort
	rotatedAt time.Duration
	table     *routing.Table
}

func newFlowDecisions() *flowDecisions {
	return &flowDecisions{current: make(map[uint64]netip.AddrPort)}
}

// lookup returns where the flow was sent; the zero address means that this agent accepted it.
func (f *flowDecisions) lookup(key uint64, now time.Duration) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate(now)
	if to, ok := f.current[key]; ok {
		return to, true
	}
	to, ok := f.older[key]
	return to, ok
}

// store records where the flow was sent for at least decisionLifetime, or less if new flows fill the table.
func (f *flowDecisions) store(key uint64, to netip.AddrPort, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate(now)
	f.current[key] = to
}

// rotate starts a new generation if the current one has reached its age or size limit.
func (f *flowDecisions) rotate(now time.Duration) {
	age := now - f.rotatedAt
	if age < decisionLifetime && len(f.current) < maxDecisions {
		return
	}
	f.older = f.current
	if age >= 2*decisionLifetime {
		f.older = nil
	}
	f.current = make(map[uint64]netip.AddrPort)
	f.rotatedAt = now
}

// pool returns the eligible targets of the packet's service in the view.
func (f *flowDecisions) pool(view *fleet.View, h *wire.Header) *routing.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil || f.table.View != view {
		f.table = routing.NewTable(view)
	}
	return f.table.Pool(h.Service)
}

// acceptOrPass reports whether this agent accepts a new flow. If not, it passes the packet to another target.
func (c *Conn) acceptOrPass(h *wire.Header, connectionID, body []byte, now time.Duration) bool {
	key := routing.Key(connectionID, h.Caller)
	to, known := c.decisions.lookup(key, now)
	if !known || (to.IsValid() && !c.mayPassTo(to, h.Service)) {
		to = c.chooseTarget(h, key)
		c.decisions.store(key, to, now)
	}
	if !to.IsValid() {
		return true
	}
	c.passTo(h, to, body)
	return false
}

// chooseTarget returns the target to pass the flow to, or the zero address if this agent accepts the flow.
func (c *Conn) chooseTarget(h *wire.Header, key uint64) netip.AddrPort {
	admit := c.admit.Load()
	if admit == nil || (*admit)() || h.Hops >= maxHops {
		return netip.AddrPort{}
	}
	var order [routing.MaxRank]*fleet.Target
	n := c.decisions.pool(c.cfg.Source.View(), h).Rank(key, order[:])
	return successor(order[:n], c.cfg.Advertise, int(h.Hops))
}

// successor returns the target after self in the order of preference. A draining agent is not in the order; it
// passes the flow to the first target that cannot have passed it on already: after h hops, the first h targets
// may have refused the flow.
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

// mayPassTo reports whether the view in force allows new flows of the service to go to the target. It may have changed
// since the flow's first packet was passed there.
func (c *Conn) mayPassTo(to netip.AddrPort, service rules.ServiceID) bool {
	view := c.cfg.Source.View()
	target := view.TargetByAddress(to)
	return target != nil && target.Service == service && target.Eligible() && !view.DomainOut(target.Domain)
}

// passTo sends the caller's datagram to another agent. The header keeps the balancer as the sender, so that
// the agent that accepts the flow replies through that balancer and sends it a revision notice if the
// balancer's revision lags.
func (c *Conn) passTo(h *wire.Header, to netip.AddrPort, body []byte) {
	passed := *h
	passed.Hops++
	if c.writeData(&passed, to, body) {
		c.link.Counts.Add(link.EventPassed, 1)
	}
}
