package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Times of the case after its start.
const (
	routeRemovedAt = 40 * time.Millisecond
	routeAddedAt   = 120 * time.Millisecond
	newFlowsAt     = 280 * time.Millisecond
	hostsHaveRoom  = 450 * time.Millisecond
)

// playRouteMoves sends new flows to a service whose hosts have no room for a moment. Meanwhile the operator removes the
// route and adds it again with another service. A later copy of a SYN must not be run by the old service once a host
// of the new one has seen the new version through the same machine.
func playRouteMoves(b *bed, trouble bool) (int, error) {
	address := b.routeAddress(0)
	services := map[string]float64{"alpha": 0, "beta": 0}
	other := route{name: "r-other", address: b.routeAddress(1), service: "beta", sloMs: 250, prio: 2}
	b.putConfig([]route{other, {name: "r-first", address: address, service: "alpha", sloMs: 250, prio: 2}}, services)
	var alpha []*host
	for i, service := range []string{"alpha", "alpha", "beta", "beta"} {
		zone := []string{"zone-a", "zone-b"}[i%2]
		_, h, err := b.addSide(hostConfig{id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zone, slots: 9, queue: 36, maxConns: 2000})
		if err != nil {
			return 0, err
		}
		if service == "alpha" {
			alpha = append(alpha, h)
		}
	}
	b.addFronts(2, "zone-a")
	if err := b.startFronts(); err != nil {
		return 0, err
	}
	c, err := b.newClient(0)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Second)

	for _, h := range alpha {
		h.setMaxConns(0) // it cannot accept a flow for now
	}
	var group sync.WaitGroup
	var pending []*clientFlow
	request := func(f *clientFlow, id string) {
		if f.connect() == "open" {
			_, _ = f.do(id, 20*time.Millisecond, 4*time.Second)
		}
		f.finish()
	}
	for i := range 20 {
		f := c.newFlow(address)
		pending = append(pending, f)
		group.Go(func() { request(f, fmt.Sprintf("pending-%d", i)) })
	}
	time.Sleep(routeRemovedAt)
	if trouble {
		b.putConfig([]route{other}, services)
	}
	time.Sleep(routeAddedAt - routeRemovedAt)
	if trouble {
		b.putConfig([]route{other, {name: "r-second", address: address, service: "beta", sloMs: 250, prio: 2}}, services)
	}
	time.Sleep(newFlowsAt - routeAddedAt)
	var later []*clientFlow
	for i := range 20 {
		f := c.newFlow(address)
		later = append(later, f)
		group.Go(func() { request(f, fmt.Sprintf("later-%d", i)) })
	}
	time.Sleep(hostsHaveRoom - newFlowsAt)
	for _, h := range alpha {
		h.setMaxConns(2000)
	}
	group.Wait()
	return b.countRegressions(append(pending, later...), "beta"), nil
}

// countRegressions counts the flows that a host of another service than the new one took, and whose opening packet was
// sent more than rollbackSlack after a host of the new service had taken one that came through the same machine.
func (b *bed) countRegressions(flows []*clientFlow, newService string) int {
	byKey := make(map[flowKey]*clientFlow)
	for _, f := range flows {
		byKey[f.key] = f
	}
	var taken []opening
	for _, h := range b.hosts {
		for _, o := range h.openingsSoFar() {
			if byKey[o.flow] != nil {
				taken = append(taken, o)
			}
		}
	}
	effect := make(map[netip.AddrPort]time.Time)
	for _, o := range taken {
		node := byKey[o.flow].through[o.copyNo]
		if first, seen := effect[node]; o.service == newService && (!seen || o.at.Before(first)) {
			effect[node] = o.at
		}
	}
	broken := 0
	for _, o := range taken {
		f := byKey[o.flow]
		node := f.through[o.copyNo]
		seen, ok := effect[node]
		if sent := f.synAt[o.copyNo]; o.service != newService && ok && sent.Sub(seen) > rollbackSlack {
			broken++
			b.rec.say("CONFIG: the SYN of %s, copy %d, sent to %s at %s s, was taken by host %s of %s, though a host had seen the new version through that machine at %s s",
				o.flow, o.copyNo, node, b.rec.at(sent), o.host, o.service, b.rec.at(seen))
		}
	}
	return broken
}
