package tunnel

import (
	"net/netip"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/wire"
)

// choose returns the balancer for a reply to the caller. The caller stays with its balancer while that was heard of
// late; otherwise the one heard last takes over. A balancer in a domain that is out is never used.
func (r *returns) choose(self *identity, caller netip.AddrPort, now time.Duration) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.find(caller)
	if p != nil && r.alive(p.balancer, now) && !self.balancersOut[p.balancer] {
		return p.balancer, true
	}
	for _, balancer := range r.last {
		if self.balancersOut[balancer] {
			continue
		}
		if !r.alive(balancer, now) {
			r.probeOthers(self, now)
		}
		if p != nil && p.balancer != balancer {
			p.balancer = balancer
			r.link.Counts.Add(link.EventReturnPathMoved, 1)
		}
		return balancer, true
	}
	r.probeOthers(self, now)
	return netip.AddrPort{}, false
}

// alive reports whether any packet of the balancer came of late.
func (r *returns) alive(balancer netip.AddrPort, now time.Duration) bool {
	peer := r.link.Peer(balancer)
	return peer != nil && now-peer.LastReceived() <= heardWithin
}

// probeOthers probes some balancers of the view, so that one that answers is found before QUIC retransmits the reply.
// Without it a reply to a caller that has long been silent could go to a dead balancer until the caller sends again.
func (r *returns) probeOthers(self *identity, now time.Duration) {
	if r.probed != 0 && now-r.probed < probePeriod {
		return
	}
	r.probed = now
	records := self.view.Balancers()
	if len(records) == 0 {
		return
	}
	first := int(r.link.Sequence(1) % uint64(len(records)))
	for i := range min(maxProbed, len(records)) {
		record := &records[(first+i)%len(records)]
		if !record.VM.Data.IsValid() || self.balancersOut[record.VM.Data] {
			continue
		}
		if err := r.link.Send(wire.Probe, record.VM.Data, nil); err == nil {
			r.link.Counts.Add(link.EventProbe, 1)
		}
	}
}

// answered notes a ProbeAck of a balancer.
func (r *returns) answered(view *fleet.View, sender netip.AddrPort) {
	if view.TargetAt(sender) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promote(sender)
}
