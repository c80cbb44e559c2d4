package dispatch_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// Bounds of the simulated deployment. Paths of a repeated search have at most two targets, so that some searches have
// several paths.
const (
	maxBalancers    = 3
	maxTargets      = 9
	maxInitialFlows = 4 // flows that are open at the start
)

// datagram is a datagram in flight between a balancer and an agent.
type datagram struct {
	toAgent     bool
	balancer    int
	incarnation int // of the balancer; it does not receive datagrams for earlier incarnations
	agent       [4]byte
	header      encap.Header
	packet      *flow.Packet
}

// services are the services of the simulated deployment. The route belongs to one of them at a time.
var services = []string{service, otherService}

// simulatedTarget is a target and its agent.
type simulatedTarget struct {
	id      string
	service string
	running bool
	silent  bool            // its agent is unreachable
	full    bool            // it accepts no new flows
	flows   map[uint16]bool // ports of the flows that it owns

	// Ports of the new flows that it has accepted, or that wait beside it. Their callers may open them elsewhere.
	accepted map[uint16]bool
	queued   []uint16
}

// sim is a simulated deployment in which datagrams are delayed or lost, views are outdated, and balancers and
// targets start and stop.
type sim struct {
	*rapid.T
	now          time.Duration
	store        *fleet // current state, which balancers receive when their view is confirmed
	balancers    []*dispatch.Dispatcher
	directories  []*directory.Directory // of the balancers: each knows what changed since its start only
	version      int64                  // of the configuration
	incarnations []int                  // number of starts of each balancer
	targets      []simulatedTarget
	targetStarts int
	inFlight     []datagram
	ports        uint16         // number of flows so far; they use the ports from 1 on, each once
	syns         map[uint16]int // number of SYNs sent, by flow that is opening
	// early contains the flows on which a packet was sent before they were open. No caller of the platform does that, and a
	// search that it started may lead to a reset after the flow has opened.
	early     map[uint16]bool
	delivered map[uint16]int // number of packets that the owner received, by flow
	overload  *overloadModel // nil if load control is off
}

func newSim(t *rapid.T) *sim {
	s := &sim{T: t, now: time.Second, store: &fleet{dir: directory.New()}, delivered: make(map[uint16]int), syns: make(map[uint16]int), early: make(map[uint16]bool)}
	s.giveRoute(service)
	balancers := rapid.IntRange(1, maxBalancers).Draw(t, "balancers")
	s.balancers, s.incarnations = make([]*dispatch.Dispatcher, balancers), make([]int, balancers)
	s.directories = make([]*directory.Directory, balancers)
	s.targets = make([]simulatedTarget, rapid.IntRange(1, maxTargets).Draw(t, "targets"))
	for n := range s.targets {
		s.startTarget(n)
	}
	for n := range s.balancers {
		s.startBalancer(n)
		s.confirm(n)
	}
	for range rapid.IntRange(1, maxInitialFlows).Draw(t, "flows") {
		s.openFlow(s.drawTarget())
	}
	return s
}

func (s *sim) drawTarget() int   { return rapid.IntRange(0, len(s.targets)-1).Draw(s.T, "target") }
func (s *sim) drawBalancer() int { return rapid.IntRange(0, len(s.balancers)-1).Draw(s.T, "balancer") }

func (s *sim) startTarget(n int) {
	s.targetStarts++
	s.targets[n] = simulatedTarget{
		id: fmt.Sprintf("i-%d", s.targetStarts), service: rapid.SampledFrom(services).Draw(s.T, "service"),
		running: true, flows: make(map[uint16]bool), accepted: make(map[uint16]bool),
	}
	s.putTarget(n, directory.TargetReady)
}

// giveRoute writes a configuration in which the route belongs to the service.
func (s *sim) giveRoute(service string) {
	s.version++
	s.store.setConfig(s.version, service)
}

func (s *sim) putTarget(n int, state directory.TargetState) {
	s.store.apply(directory.Record{Kind: directory.KindTarget, Name: s.targets[n].id, Target: &directory.Target{
		ID: s.targets[n].id, Service: s.targets[n].service, Address: flow.Endpoint{IP: ip(n), Port: 8080}, Domain: domainA, Slots: 9, State: state,
		StartUnixMs: int64(s.targetStarts),
	}})
}

// putOddEntry writes an entry of another writer at the address of target n.
func (s *sim) putOddEntry(n int) {
	id := fmt.Sprintf("odd-%d", n)
	s.store.apply(directory.Record{Kind: directory.KindTarget, Name: id, Target: &directory.Target{
		ID: id, Service: rapid.SampledFrom(services).Draw(s.T, "service"), Address: flow.Endpoint{IP: ip(n), Port: 8080}, Domain: domainA, Slots: 9,
		State: directory.TargetReady, StartUnixMs: rapid.Int64Range(0, 2*int64(s.targetStarts)).Draw(s.T, "start"),
	}})
}

// openFlow opens a flow at a target through a balancer outside the simulation. The route may belong to another service
// by now.
func (s *sim) openFlow(n int) {
	if s.targets[n].running {
		s.ports++
		s.targets[n].flows[s.ports] = true
	}
}

// drawFlow draws the port of a flow, preferring the latest flow.
func (s *sim) drawFlow() uint16 {
	if rapid.Bool().Draw(s.T, "latest flow") {
		return s.ports
	}
	return uint16(rapid.IntRange(1, int(s.ports)).Draw(s.T, "flow"))
}

func (s *sim) startBalancer(n int) {
	s.balancers[n] = dispatch.New(domainA, dispatch.KeepFlowsForever)
	s.directories[n] = directory.New()
	s.incarnations[n]++
	s.overload.restartBalancer(s.balancers[n], n)
}

// confirm gives a balancer the current records of the store. It does not learn of configurations between the last
// one that it received and the current one.
func (s *sim) confirm(n int) {
	dir := s.directories[n]
	for _, r := range s.store.dir.ChangesSince(dir.Revision(), s.now) {
		if r.Kind == directory.KindConfig {
			r = directory.Record{Kind: r.Kind, Revision: r.Revision, Config: s.store.dir.Config()}
		}
		dir.Apply(&r, s.now)
	}
	dir.Advance(s.store.dir.Revision())
	s.balancers[n].SetView(dir.View(), s.now, s.now)
}

// owner returns the running target that owns the flow, or nil.
func (s *sim) owner(port uint16) *simulatedTarget {
	for n := range s.targets {
		if s.targets[n].running && s.targets[n].flows[port] {
			return &s.targets[n]
		}
	}
	return nil
}

// execute carries out the decision of a balancer about a packet. It fails the test if the decision resets a flow
// whose owner is running, or places a new flow where the balancer's view does not allow it. A reset in response to a SYN
// does not end an open flow, since its sequence number is that of a SYN.
func (s *sim) execute(n int, d dispatch.Decision, p *flow.Packet) {
	switch d.Outcome {
	case dispatch.OutcomeForward:
		if p.OpensFlow() {
			s.requirePlacement(n, &d, p)
		}
		s.send(n, d.Target.Address.IP, d.Header, p)
	case dispatch.OutcomeSearch:
		for _, path := range d.Paths {
			s.send(n, path.First.Address.IP, path.Header, p)
		}
	case dispatch.OutcomeReset:
		if d.Shed {
			s.requireOverload(n)
		}
		if p.OpensFlow() || s.early[p.From.Port] {
			return
		}
		require.Nil(s.T, s.owner(p.From.Port), "flow %d is reset although its target is running", p.From.Port)
	}
}

func (s *sim) send(n int, agent [4]byte, h encap.Header, p *flow.Packet) {
	s.inFlight = append(s.inFlight, datagram{toAgent: true, balancer: n, incarnation: s.incarnations[n], agent: agent, header: h, packet: p})
}

// receive processes a datagram at its receiver.
func (s *sim) receive(m datagram) {
	switch {
	case m.toAgent:
		s.receiveAtAgent(m)
	case m.incarnation != s.incarnations[m.balancer]:
	case m.header.Kind == encap.KindFound:
		s.balancers[m.balancer].HandleFound(m.agent, &m.header, m.packet, s.now)
	default:
		s.overload.recordReturn(m.balancer, m.agent, m.header.Reason, s.now)
		s.execute(m.balancer, s.balancers[m.balancer].HandleReturn(m.agent, &m.header, m.packet, s.now), m.packet)
	}
}

// receiveAtAgent handles a packet as an agent does.
func (s *sim) receiveAtAgent(m datagram) {
	t := &s.targets[m.agent[3]]
	if m.packet.OpensFlow() {
		s.receiveSyn(m, t)
		return
	}
	port := m.packet.From.Port
	isOtherService := m.header.Service != directory.NameHash(t.service)
	switch {
	case t.silent:
	case t.running && t.flows[port] && !isOtherService:
		s.delivered[port]++
		if m.header.Search {
			s.reply(m, encap.Header{Kind: encap.KindFound, Service: directory.NameHash(t.service)})
		}
	case !m.header.Search:
		s.reply(m, encap.Header{Kind: encap.KindReturn, Reason: encap.ReasonRefused, Attempt: m.header.Attempt})
	default:
		next, more := m.header.Path.Next()
		if !more {
			s.reply(m, encap.Header{Kind: encap.KindReturn, Reason: encap.ReasonRefused, Search: true, Round: m.header.Round})
			return
		}
		m.agent = next
		s.inFlight = append(s.inFlight, m)
	}
}

func (s *sim) reply(m datagram, h encap.Header) {
	m.toAgent, m.header = false, h
	s.inFlight = append(s.inFlight, m)
}

// sendFromCaller sends a packet of a flow from its caller through a balancer. The flow may not be open yet.
func (s *sim) sendFromCaller(n int, port uint16) {
	s.early[port] = s.early[port] || s.syns[port] > 0
	p := data(port)
	s.execute(n, s.balancers[n].HandleCallerPacket(p, s.now), p)
}

// removeInFlight removes a random datagram in flight.
func (s *sim) removeInFlight() (datagram, bool) {
	if len(s.inFlight) == 0 {
		return datagram{}, false
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.T, "flight")
	m := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	return m, true
}

// receiveAll delivers all datagrams in flight, including those sent in reply.
func (s *sim) receiveAll() {
	for len(s.inFlight) > 0 {
		m := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.receive(m)
	}
}
