package tunnel

import (
	"net/netip"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/wire"
)

// chooseBalancer returns the balancer through which to send a reply to the caller. A caller's replies stay
// with its balancer while packets from that balancer arrive; otherwise they move to the balancer that sent a
// packet most recently. Balancers in failure domains that are out are never used.
func (r *returnPaths) chooseBalancer(self *identity, caller netip.AddrPort, now time.Duration) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.lookup(caller)
	if p != nil && r.isResponsive(p.balancer, now) && !self.balancersOut[p.balancer] {
		return p.balancer, true
	}
	for _, balancer := range r.recentBalancers {
		if self.balancersOut[balancer] {
			continue
		}
		if !r.isResponsive(balancer, now) {
			r.probeBalancers(self, now)
		}
		if p != nil && p.balancer != balancer {
			p.balancer = balancer
			r.link.Counts.Add(link.EventReturnPathMoved, 1)
		}
		return balancer, true
	}
	r.probeBalancers(self, now)
	return netip.AddrPort{}, false
}

// isResponsive reports whether a packet from the balancer arrived within balancerTimeout.
func (r *returnPaths) isResponsive(balancer netip.AddrPort, now time.Duration) bool {
	peer := r.link.Peer(balancer)
	return peer != nil && now-peer.LastReceived() <= balancerTimeout
}

// probeBalancers probes up to probesPerRound balancers of the view, so that a responsive one is found before
// QUIC retransmits the reply. Without the probes, replies to a caller that has long been silent could go to a
// failed balancer until the caller sends again.
func (r *returnPaths) probeBalancers(self *identity, now time.Duration) {
	if r.lastProbeAt != 0 && now-r.lastProbeAt < probeInterval {
		return
	}
	r.lastProbeAt = now
	records := self.view.Balancers()
	if len(records) == 0 {
		return
	}
	first := int(r.link.Sequence(1) % uint64(len(records)))
	for i := range min(probesPerRound, len(records)) {
		record := &records[(first+i)%len(records)]
		if !record.VM.Data.IsValid() || self.balancersOut[record.VM.Data] {
			continue
		}
		if err := r.link.Send(wire.Probe, record.VM.Data, nil); err == nil {
			r.link.Counts.Add(link.EventProbe, 1)
		}
	}
}

// recordProbeAck moves the balancer that sent a ProbeAck to the front of the recent balancers. It ignores
// targets.
func (r *returnPaths) recordProbeAck(view *fleet.View, sender netip.AddrPort) {
	if view.TargetByAddress(sender) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moveToFront(sender)
}
