package main

import (
	"fmt"
	"time"
)

const (
	powerOffTime = 1400 * time.Millisecond
	startSpread  = 200 * time.Millisecond // by which the machines of hosts start later than the fronts
	afterPower   = 3 * time.Second
)

// playPowerLoss lets all machines lose power at once under load. When they are back, the hosts are cold.
func playPowerLoss(b *bed, trouble bool) (int, error) {
	address := b.routeAddress(0)
	b.putConfig([]route{{name: "r-alpha", address: address, service: "alpha", sloMs: 250, prio: 1}}, map[string]float64{"alpha": coldRate})
	zones := []string{"zone-a", "zone-b"}
	for i := range 4 {
		c := hostConfig{id: fmt.Sprintf("i-alpha-%d", i), service: "alpha", zone: zones[i%2], slots: 9, queue: 36, maxConns: 2000, bears: coldLimit}
		if _, _, err := b.addSide(c); err != nil {
			return 0, err
		}
	}
	b.addFronts(2, zones[0])
	if err := b.startFronts(); err != nil {
		return 0, err
	}
	c, err := b.newClient(0)
	if err != nil {
		return 0, err
	}
	load := newSteadyLoad(c, address, newFlowsPerS)
	go load.run()
	time.Sleep(newHostAt)
	if trouble {
		if err := b.losePower(); err != nil {
			return 0, err
		}
	}
	time.Sleep(afterPower)
	load.stop()
	broken := 0
	for _, h := range b.hosts {
		most, from := mostInOneSecond(h.openingsSoFar(), load.flows)
		if most > 0 {
			b.rec.say("the cold host %s got at most %d requests in one second, from %s s on; allowed are %d", h.id, most, b.rec.at(from), coldLimit)
		}
		if most > coldLimit {
			b.rec.say("FAILBACK: the cold host %s got %d requests in one second", h.id, most)
			broken++
		}
	}
	b.rec.say("requests that a host accepted and nobody answered: %d", load.lostCount())
	return broken, nil
}

// losePower ends all processes and hosts at once and starts them again, the fronts first. The hosts start under new IDs.
func (b *bed) losePower() error {
	b.rec.add("trouble: all machines lose power")
	old := b.hosts
	for _, h := range old {
		h.crash("its machine loses power")
	}
	for _, n := range append(append([]*node(nil), b.fronts...), b.sides...) {
		_ = n.process.command.Process.Kill()
	}
	for _, n := range append(append([]*node(nil), b.fronts...), b.sides...) {
		<-n.process.ended
	}
	time.Sleep(powerOffTime)
	for _, n := range b.fronts {
		if err := b.start(n); err != nil {
			return err
		}
	}
	time.Sleep(startSpread)
	for i, n := range b.sides {
		if err := b.start(n); err != nil {
			return err
		}
		c := old[i].hostConfig
		c.id, c.warmup = c.id+"-again", coldTime
		h, err := b.startHost(c)
		if err != nil {
			return err
		}
		b.hosts = append(b.hosts, h)
	}
	return nil
}
