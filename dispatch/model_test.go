package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// Bounds of the modelled deployment. Paths of a search hold six targets, so that some searches have several.
const (
	mostBalancers = 3
	mostTargets   = 9
	mostFlows     = 4 // that are open at first
)

// message is a datagram between a balancer and an agent, on its way.
type message struct {
	toAgent  bool
	balancer int
	life     int // of the balancer, which loses what was meant for the one before
	agent    [4]byte
	header   encap.Header
	packet   *flow.Packet
}

// modelTarget is a target with its agent.
type modelTarget struct {
	id     string
	runs   bool
	silent bool // its agent is out of reach
	holds  map[uint16]bool
}

// world is a deployment in which datagrams are late or lost, views old, and balancers and targets come and go.
type world struct {
	*rapid.T
	now       time.Duration
	truth     *fleet
	balancers []*dispatch.Dispatcher
	lives     []int // how often each balancer started
	targets   []modelTarget
	starts    int
	flights   []message
	ports     uint16         // of flows that were opened, from 1; none is used again
	reached   map[uint16]int // packets of a flow that its target got
}

func newWorld(t *rapid.T) *world {
	w := &world{T: t, now: time.Second, truth: &fleet{dir: directory.New()}, reached: make(map[uint16]int)}
	w.truth.config(1, service)
	balancers := rapid.IntRange(1, mostBalancers).Draw(t, "balancers")
	w.balancers, w.lives = make([]*dispatch.Dispatcher, balancers), make([]int, balancers)
	w.targets = make([]modelTarget, rapid.IntRange(1, mostTargets).Draw(t, "targets"))
	for n := range w.targets {
		w.startTarget(n)
	}
	for n := range w.balancers {
		w.startBalancer(n)
		w.confirm(n)
	}
	for range rapid.IntRange(1, mostFlows).Draw(t, "flows") {
		w.openFlow(w.anyTarget())
	}
	return w
}

func (w *world) anyTarget() int   { return rapid.IntRange(0, len(w.targets)-1).Draw(w.T, "target") }
func (w *world) anyBalancer() int { return rapid.IntRange(0, len(w.balancers)-1).Draw(w.T, "balancer") }

func (w *world) startTarget(n int) {
	w.starts++
	w.targets[n] = modelTarget{id: fmt.Sprintf("i-%d", w.starts), runs: true, holds: make(map[uint16]bool)}
	w.enter(n, directory.TargetReady)
}

func (w *world) enter(n int, state directory.TargetState) {
	w.truth.apply(directory.Record{Kind: directory.KindTarget, Name: w.targets[n].id, Target: &directory.Target{
		ID: w.targets[n].id, Service: service, Address: flow.Endpoint{IP: ip(n), Port: 8080}, Domain: domainA, Slots: 9, State: state,
		StartUnixMs: int64(w.starts),
	}})
}

// openFlow opens a flow at a target, by a balancer that is not modelled.
func (w *world) openFlow(n int) {
	if w.targets[n].runs {
		w.ports++
		w.targets[n].holds[w.ports] = true
	}
}

// anyFlow returns the port of a flow, mostly of the latest one.
func (w *world) anyFlow() uint16 {
	if rapid.Bool().Draw(w.T, "latest flow") {
		return w.ports
	}
	return uint16(rapid.IntRange(1, int(w.ports)).Draw(w.T, "flow"))
}

func (w *world) startBalancer(n int) {
	w.balancers[n] = dispatch.New(domainA, dispatch.KeepFlowsForever)
	w.lives[n]++
}

// confirm brings a balancer the view that the store has now.
func (w *world) confirm(n int) { w.balancers[n].SetView(w.truth.dir.View(), w.now, w.now) }

// holder returns the running target that holds the flow, or nil.
func (w *world) holder(port uint16) *modelTarget {
	for n := range w.targets {
		if w.targets[n].runs && w.targets[n].holds[port] {
			return &w.targets[n]
		}
	}
	return nil
}

// act carries out what a balancer decided about a packet.
func (w *world) act(n int, d dispatch.Decision, p *flow.Packet) {
	switch d.Outcome {
	case dispatch.OutcomeForward:
		w.send(n, d.Target.Address.IP, d.Header, p)
	case dispatch.OutcomeSearch:
		for _, path := range d.Paths {
			w.send(n, path.First.Address.IP, path.Header, p)
		}
	case dispatch.OutcomeReset:
		require.Nil(w.T, w.holder(p.From.Port), "flow %d is reset while its target runs", p.From.Port)
	}
}

func (w *world) send(n int, agent [4]byte, h encap.Header, p *flow.Packet) {
	w.flights = append(w.flights, message{toAgent: true, balancer: n, life: w.lives[n], agent: agent, header: h, packet: p})
}

// arrive ends the flight of a datagram.
func (w *world) arrive(m message) {
	switch {
	case m.toAgent:
		w.atAgent(m)
	case m.life != w.lives[m.balancer]:
	case m.header.Kind == encap.KindFound:
		w.balancers[m.balancer].HandleFound(m.agent, &m.header, m.packet, w.now)
	default:
		w.act(m.balancer, w.balancers[m.balancer].HandleReturn(m.agent, &m.header, m.packet, w.now), m.packet)
	}
}

// atAgent does what an agent does with a packet of an open flow.
func (w *world) atAgent(m message) {
	t := &w.targets[m.agent[3]]
	port := m.packet.From.Port
	switch {
	case t.silent:
	case t.runs && t.holds[port]:
		w.reached[port]++
		if m.header.Search {
			w.answer(m, encap.Header{Kind: encap.KindFound})
		}
	case !m.header.Search:
		w.answer(m, encap.Header{Kind: encap.KindReturn, Reason: encap.ReasonRefused, Attempt: m.header.Attempt})
	default:
		next, more := m.header.Path.Next()
		if !more {
			w.answer(m, encap.Header{Kind: encap.KindReturn, Reason: encap.ReasonRefused, Search: true, Round: m.header.Round})
			return
		}
		m.agent = next
		w.flights = append(w.flights, m)
	}
}

func (w *world) answer(m message, h encap.Header) {
	m.toAgent, m.header = false, h
	w.flights = append(w.flights, m)
}

// callerSends lets a caller send a packet of an open flow by some balancer.
func (w *world) callerSends(n int, port uint16) {
	p := data(port)
	w.act(n, w.balancers[n].HandleCallerPacket(p, w.now), p)
}

// take removes a datagram in flight, not always the oldest.
func (w *world) take() (message, bool) {
	if len(w.flights) == 0 {
		return message{}, false
	}
	i := rapid.IntRange(0, len(w.flights)-1).Draw(w.T, "flight")
	m := w.flights[i]
	w.flights = append(w.flights[:i], w.flights[i+1:]...)
	return m, true
}

// land ends all flights.
func (w *world) land() {
	for len(w.flights) > 0 {
		m := w.flights[0]
		w.flights = w.flights[1:]
		w.arrive(m)
	}
}

// actions are what may happen, in any order.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"caller sends": func(*rapid.T) { w.callerSends(w.anyBalancer(), w.anyFlow()) },
		"datagram arrives": func(*rapid.T) {
			if m, ok := w.take(); ok {
				w.arrive(m)
			}
		},
		"all datagrams arrive": func(*rapid.T) { w.land() },
		"datagram is lost":     func(*rapid.T) { w.take() },
		"time passes": func(*rapid.T) {
			w.now += time.Duration(rapid.IntRange(1, 400).Draw(w.T, "milliseconds")) * time.Millisecond
		},
		"view is confirmed":           func(*rapid.T) { w.confirm(w.anyBalancer()) },
		"balancer starts anew":        func(*rapid.T) { w.startBalancer(w.anyBalancer()) },
		"target drains":               func(*rapid.T) { w.drain(w.anyTarget()) },
		"target leaves":               func(*rapid.T) { w.leave(w.anyTarget()) },
		"target starts":               func(*rapid.T) { n := w.anyTarget(); w.leave(n); w.startTarget(n) },
		"unknown target opens a flow": func(*rapid.T) { w.startUnknown(w.anyTarget()) },
		"target crashes":              func(*rapid.T) { w.targets[w.anyTarget()].runs = false },
		"agent goes off or on":        func(*rapid.T) { n := w.anyTarget(); w.targets[n].silent = !w.targets[n].silent },
		"flow opens":                  func(*rapid.T) { w.openFlow(w.anyTarget()) },
	}
}

func (w *world) drain(n int) {
	if w.targets[n].runs {
		w.enter(n, directory.TargetDraining)
	}
}

// leave ends a target.
func (w *world) leave(n int) {
	w.targets[n].runs = false
	w.truth.apply(directory.Record{Kind: directory.KindTarget, Name: w.targets[n].id, Removed: true})
}

// startUnknown starts a target on a VM of which the balancers' views name none, and opens a flow there.
func (w *world) startUnknown(n int) {
	w.leave(n)
	for b := range w.balancers {
		w.confirm(b)
	}
	w.startTarget(n)
	w.openFlow(n)
}

// Whatever is lost, late or replaced: no open flow is reset while its target runs, and once datagrams arrive again and
// views are confirmed, its packets reach its target.
func TestModelOfTheSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.recover()
	})
}

// recover lets everything work again and checks that each flow is served.
func (w *world) recover() {
	w.land()
	for n := range w.targets {
		w.targets[n].silent = false
	}
	for port := uint16(1); port <= w.ports; port++ {
		if w.holder(port) == nil {
			continue
		}
		for n := range w.balancers {
			w.requireServed(n, port)
		}
	}
}

// recoverPackets is how many packets a caller sends, one after the other, until its flow must be found.
const recoverPackets = 4

func (w *world) requireServed(n int, port uint16) {
	before := w.reached[port]
	for range recoverPackets {
		w.now += time.Second
		w.confirm(n)
		w.callerSends(n, port)
		w.land()
		if w.reached[port] > before {
			return
		}
	}
	require.Fail(w.T, "a flow is not found", "flow %d by balancer %d", port, n)
}
