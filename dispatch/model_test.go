package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/directory"
)

// actions returns the events of the simulation, which may occur in any order.
func (s *sim) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"caller sends a packet": func(*rapid.T) { s.sendFromCaller(s.drawBalancer(), s.drawFlow()) },
		"datagram arrives": func(*rapid.T) {
			if m, ok := s.removeInFlight(); ok {
				s.receive(m)
			}
		},
		"all datagrams arrive": func(*rapid.T) { s.receiveAll() },
		"datagram is lost":     func(*rapid.T) { s.removeInFlight() },
		"time passes": func(*rapid.T) {
			s.now += time.Duration(rapid.IntRange(1, 400).Draw(s.T, "milliseconds")) * time.Millisecond
		},
		"view is confirmed":                      func(*rapid.T) { s.confirm(s.drawBalancer()) },
		"balancer restarts":                      func(*rapid.T) { s.startBalancer(s.drawBalancer()) },
		"target drains":                          func(*rapid.T) { s.drainTarget(s.drawTarget()) },
		"target is removed":                      func(*rapid.T) { s.removeTarget(s.drawTarget()) },
		"target is replaced":                     func(*rapid.T) { n := s.drawTarget(); s.removeTarget(n); s.startTarget(n) },
		"unlisted target opens a flow":           func(*rapid.T) { s.startUnlistedTarget(s.drawTarget()) },
		"target crashes":                         func(*rapid.T) { s.targets[s.drawTarget()].running = false },
		"agent becomes reachable or unreachable": func(*rapid.T) { n := s.drawTarget(); s.targets[n].silent = !s.targets[n].silent },
		"flow opens":                             func(*rapid.T) { s.openFlow(s.drawTarget()) },
		"odd entry is written":                   func(*rapid.T) { s.putOddEntry(s.drawTarget()) },
		"caller sends a SYN":                     func(*rapid.T) { s.sendSyn(s.drawBalancer()) },
		"SYN arrives late":                       func(*rapid.T) { s.sendLateSyn(s.drawBalancer(), s.drawFlow()) },
		"caller opens an accepted flow":          func(*rapid.T) { s.openAccepted() },
		"target becomes full or has room":        func(*rapid.T) { s.changeRoom(s.drawTarget()) },
		"route is given weights":                 func(*rapid.T) { s.giveRouteWeights() },
		"route is dropped":                       func(*rapid.T) { s.dropRoute() },
		"route is given a service":               func(*rapid.T) { s.giveRoute(rapid.SampledFrom(services).Draw(s.T, "service")) },
	}
}

func (s *sim) drainTarget(n int) {
	if s.targets[n].running {
		s.putTarget(n, directory.TargetDraining)
	}
}

// removeTarget stops a target and removes it from the store.
func (s *sim) removeTarget(n int) {
	s.targets[n].running = false
	s.store.apply(directory.Record{Kind: directory.KindTarget, Name: s.targets[n].id, Removed: true})
}

// startUnlistedTarget starts a target that is not in the views of the balancers, on a VM for which they list no
// target, and opens a flow there.
func (s *sim) startUnlistedTarget(n int) {
	s.removeTarget(n)
	for b := range s.balancers {
		s.confirm(b)
	}
	s.startTarget(n)
	s.openFlow(n)
}

// TestModelFlowSearch checks that no open flow is reset while its target is running, and that each SYN is offered only to
// targets that the configuration in force allows, whatever datagrams are lost or delayed, whatever processes are replaced
// and however routes change. Once datagrams arrive again and views are confirmed, the packets of each flow must reach
// its target, and new flows are accepted.
func TestModelFlowSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		t.Repeat(s.actions())
		s.requireRecovery()
	})
}

// requireRecovery makes all agents reachable again and checks that each flow is served through each balancer.
func (s *sim) requireRecovery() {
	s.receiveAll()
	s.restoreRoute()
	for n := range s.targets {
		s.targets[n].silent = false
	}
	for port := uint16(1); port <= s.ports; port++ {
		if s.owner(port) == nil || s.early[port] {
			continue
		}
		for n := range s.balancers {
			s.requireServed(n, port)
		}
	}
	s.requireOpening()
}

// maxRecoveryPackets is the maximum number of packets that a caller sends until one reaches the owner of the flow.
const maxRecoveryPackets = 4

// requireServed checks that packets that reach balancer n are forwarded to the owner of the flow.
func (s *sim) requireServed(n int, port uint16) {
	before := s.delivered[port]
	for range maxRecoveryPackets {
		s.now += time.Second
		s.confirm(n)
		s.sendFromCaller(n, port)
		s.receiveAll()
		if s.delivered[port] > before {
			return
		}
	}
	require.Fail(s.T, "the target of a flow is not found", "flow %d by balancer %d", port, n)
}
