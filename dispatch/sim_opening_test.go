package dispatch_test

import (
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// synPauses are the times that a caller waits before each SYN of one connection attempt.
var synPauses = [...]time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond}

// giveRouteWeights writes a configuration in which the route has all services with random weights, of which at least one
// is above zero.
func (s *sim) giveRouteWeights() {
	s.version++
	first := rapid.Uint32Range(0, 3).Draw(s.T, "weight")
	s.store.setChoices(s.version,
		directory.Choice{Service: services[0], Weight: first},
		directory.Choice{Service: services[1], Weight: 3 - first})
}

// dropRoute writes a configuration without the route.
func (s *sim) dropRoute() {
	s.version++
	s.store.setChoices(s.version)
}

// restoreRoute gives the route to a service if the configuration has none.
func (s *sim) restoreRoute() {
	if len(s.store.dir.Config().Routes) == 0 {
		s.giveRoute(service)
	}
}

// sendSyn sends the first SYN of a new flow, or a retransmission for one that is opening, through a balancer.
func (s *sim) sendSyn(n int) {
	port, ok := s.drawOpening()
	if !ok || s.syns[port] == len(synPauses) {
		s.ports++
		port = s.ports
	}
	p := syn(port, s.syns[port])
	s.syns[port]++
	s.execute(n, s.balancers[n].HandleCallerPacket(p, s.now), p)
}

// sendLateSyn passes a retransmission that was delayed to a balancer. The flow may be open by now.
func (s *sim) sendLateSyn(n int, port uint16) {
	p := syn(port, rapid.IntRange(1, len(synPauses)-1).Draw(s.T, "retransmission"))
	s.execute(n, s.balancers[n].HandleCallerPacket(p, s.now), p)
}

// drawOpening draws the port of a flow whose caller has sent a SYN and has not opened it. It prefers the latest.
func (s *sim) drawOpening() (port uint16, ok bool) {
	var ports []uint16
	for port := s.ports; port > 0; port-- {
		if s.syns[port] > 0 {
			ports = append(ports, port)
		}
	}
	if len(ports) == 0 {
		return 0, false
	}
	return ports[rapid.IntRange(0, len(ports)-1).Draw(s.T, "opening flow")], true
}

// receiveSyn handles a SYN as an agent and its target do: a target without room returns it, or queues it if it may wait.
func (s *sim) receiveSyn(m datagram, t *simulatedTarget) {
	port := m.packet.From.Port
	refuse := func(reason encap.Reason) {
		s.reply(m, encap.Header{Kind: encap.KindReturn, Reason: reason, Attempt: m.header.Attempt})
	}
	switch {
	case t.silent:
	case m.header.Service != directory.NameHash(t.service):
		refuse(encap.ReasonOtherService)
	case !t.running:
		refuse(encap.ReasonRefused)
	case !t.full:
		t.accepted[port] = true
	case s.overload != nil:
		refuse(encap.ReasonOverloaded)
	case m.header.MayWait:
		t.queued = append(t.queued, port)
	default:
		refuse(encap.ReasonBusy)
	}
}

// changeRoom fills a target, or frees its slots, so that it accepts the flows that are queued.
func (s *sim) changeRoom(n int) {
	t := &s.targets[n]
	t.full = !t.full
	if t.full {
		return
	}
	for _, port := range t.queued {
		t.accepted[port] = t.running
	}
	t.queued = nil
}

// openAccepted lets a caller open a flow that targets have accepted, at one of them.
func (s *sim) openAccepted() {
	port, ok := s.drawOpening()
	if !ok {
		return
	}
	var accepting []int
	for n := range s.targets {
		if s.targets[n].running && s.targets[n].accepted[port] {
			accepting = append(accepting, n)
		}
	}
	if len(accepting) > 0 {
		s.targets[rapid.SampledFrom(accepting).Draw(s.T, "accepting target")].flows[port] = true
		delete(s.syns, port)
	}
}

// requirePlacement fails the test unless the view of balancer n allows the target to which a SYN is sent: it is a ready
// target of the service that the route in force gives the flow.
func (s *sim) requirePlacement(n int, d *dispatch.Decision, p *flow.Packet) {
	view := s.directories[n].View()
	route := view.Route(p.To)
	require.NotNil(s.T, route, "flow %d is placed without a route", p.From.Port)
	inForce := route.ChooseService(p.KeyFromCaller().Hash())
	require.Equal(s.T, inForce, d.Target.Service, "flow %d is placed on another service than the route's", p.From.Port)
	require.Equal(s.T, directory.NameHash(inForce), d.Header.Service)
	require.Same(s.T, view.TargetByIP(d.Target.Address.IP), d.Target, "flow %d is placed by an old record", p.From.Port)
	require.Equal(s.T, directory.TargetReady, d.Target.State)
}

// requireOpening checks that a new flow is accepted by a target of the route's service, if that has any, when all
// datagrams arrive and no target is full.
func (s *sim) requireOpening() {
	for n := range s.targets {
		s.targets[n].full = false
	}
	for n := range s.balancers {
		s.now += time.Second
		s.confirm(n)
		s.ports++
		for retransmission, pause := range synPauses {
			s.now += pause
			p := syn(s.ports, retransmission)
			s.execute(n, s.balancers[n].HandleCallerPacket(p, s.now), p)
			s.receiveAll()
		}
		require.Equal(s.T, s.canOpen(n, s.ports), s.isAccepted(s.ports), "flow %d by balancer %d", s.ports, n)
	}
}

// canOpen reports whether a running target of the flow's service is ready in the view of balancer n.
func (s *sim) canOpen(n int, port uint16) bool {
	view := s.directories[n].View()
	key := syn(port, 0).KeyFromCaller()
	for _, t := range view.Targets(view.Route(key.Service).ChooseService(key.Hash())) {
		simulated := &s.targets[t.Address.IP[3]]
		if t.State == directory.TargetReady && simulated.running && simulated.service == t.Service {
			return true
		}
	}
	return false
}

func (s *sim) isAccepted(port uint16) bool {
	for n := range s.targets {
		if s.targets[n].accepted[port] {
			return true
		}
	}
	return false
}
