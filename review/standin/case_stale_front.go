package main

import (
	"fmt"
	"time"
)

// Times of the case after the front was cut off.
const (
	evacuateAt = 500 * time.Millisecond
	takenBack  = 4500 * time.Millisecond
	cutEnd     = 6500 * time.Millisecond
)

// playStaleFront cuts one front off from the store. Meanwhile a zone is evacuated and taken back, and its hosts are cold
// at the end of that. The front that does not know it must not load them as if they were warm.
func playStaleFront(b *bed, trouble bool) (int, error) {
	address := b.routeAddress(0)
	b.putConfig([]route{{name: "r-alpha", address: address, service: "alpha", sloMs: 250, prio: 1}}, map[string]float64{"alpha": coldRate})
	zones := []string{"zone-a", "zone-b"}
	var evacuated []*host
	for i := range 6 {
		c := hostConfig{id: fmt.Sprintf("i-alpha-%d", i), service: "alpha", zone: zones[i%2], slots: 9, queue: 36, maxConns: 2000, bears: coldLimit}
		_, h, err := b.addSide(c)
		if err != nil {
			return 0, err
		}
		if c.zone == zones[0] {
			evacuated = append(evacuated, h)
		}
	}
	b.seedsDown = true
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

	start := time.Now()
	if trouble {
		b.rec.add("trouble: %s is cut off from the store", b.fronts[1].name)
		b.store.setCut(b.fronts[1].ip, true)
	}
	time.Sleep(time.Until(start.Add(evacuateAt)))
	b.rec.add("operator: %s is evacuated", zones[0])
	b.store.put("op/evacuate/"+zones[0], "{}")
	time.Sleep(time.Until(start.Add(takenBack)))
	for _, h := range evacuated {
		h.turnCold(coldTime)
	}
	b.rec.add("operator: %s is taken back", zones[0])
	b.store.remove("op/evacuate/" + zones[0])
	time.Sleep(time.Until(start.Add(cutEnd)))
	b.store.setCut(b.fronts[1].ip, false)
	time.Sleep(time.Second)
	load.stop()
	broken := 0
	for _, h := range evacuated {
		most, from := mostInOneSecond(h.openingsSoFar(), load.flows)
		b.rec.say("the cold host %s got at most %d requests in one second, from %s s on; allowed are %d", h.id, most, b.rec.at(from), coldLimit)
		if most > coldLimit {
			b.rec.say("FAILBACK: the cold host %s got %d requests in one second", h.id, most)
			broken++
		}
	}
	b.rec.say("requests that a host accepted and nobody answered: %d", load.lostCount())
	return broken, nil
}
