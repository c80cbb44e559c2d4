package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	coldTime      = 2 * time.Second
	coldRate      = 20.0 // warmupPerS of the service
	newFlowsPerS  = 300
	restartDelay  = 150 * time.Millisecond
	loadTime      = 6 * time.Second
	newHostAt     = 2 * time.Second
	killAt        = 400 * time.Millisecond // after the start of the new host
	requestWork   = 60 * time.Millisecond
	requestBudget = 4 * time.Second
)

// coldLimit is how many requests a cold host may get in one second.
const coldLimit = int(coldRate*warmupFactor + coldSlack)

// playAgentRestarts adds a host to a service under steady load. While the host is cold, the process beside it is killed
// and started again.
func playAgentRestarts(b *bed, trouble bool) (int, error) {
	address := b.routeAddress(0)
	b.putConfig([]route{{name: "r-alpha", address: address, service: "alpha", sloMs: 250, prio: 1}}, map[string]float64{"alpha": coldRate})
	zones := []string{"zone-a", "zone-b"}
	for i := range 3 {
		c := hostConfig{id: fmt.Sprintf("i-alpha-%d", i), service: "alpha", zone: zones[i%2], slots: 9, queue: 36, maxConns: 2000}
		if _, _, err := b.addSide(c); err != nil {
			return 0, err
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
	load := newSteadyLoad(c, address, newFlowsPerS)
	go load.run()
	time.Sleep(newHostAt)
	side, cold, err := b.addSide(hostConfig{id: "i-alpha-new", service: "alpha", zone: "zone-a", slots: 9, queue: 36, maxConns: 2000, warmup: coldTime, bears: coldLimit})
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(cold.born.Add(killAt)))
	if trouble {
		b.kill(side)
		time.Sleep(restartDelay)
		if err := b.start(side); err != nil {
			return 0, err
		}
	}
	time.Sleep(loadTime - newHostAt)
	load.stop()
	most, from := mostInOneSecond(cold.openingsSoFar(), load.flows)
	b.rec.say("the cold host got at most %d requests in one second, from %s s on; allowed are %d", most, b.rec.at(from), coldLimit)
	b.rec.say("requests that a host accepted and nobody answered: %d", load.lostCount())
	if most > coldLimit {
		b.rec.say("FAILBACK: a cold host got %d requests in one second", most)
		return 1, nil
	}
	return 0, nil
}

// mostInOneSecond returns the largest number of opening packets that were sent and arrived inside one second while the
// host was cold, and when that second begins.
func mostInOneSecond(openings []opening, flows map[flowKey]*clientFlow) (most int, from time.Time) {
	openings = slices.DeleteFunc(openings, func(o opening) bool { return !o.cold || flows[o.flow] == nil })
	sent := func(o opening) time.Time { return flows[o.flow].synAt[o.copyNo] }
	for _, first := range openings {
		start := sent(first)
		count := 0
		for _, o := range openings {
			if !sent(o).Before(start) && o.at.Before(start.Add(time.Second)) {
				count++
			}
		}
		if count > most {
			most, from = count, start
		}
	}
	return most, from
}

// steadyLoad opens a flow for each request, at a steady rate.
type steadyLoad struct {
	client *client
	route  flowRoute
	perS   int // flows a second
	ended  chan struct{}
	group  sync.WaitGroup

	mu    sync.Mutex
	flows map[flowKey]*clientFlow
	lost  int
}

func newSteadyLoad(c *client, address flowRoute, perS int) *steadyLoad {
	return &steadyLoad{client: c, route: address, perS: perS, ended: make(chan struct{}), flows: make(map[flowKey]*clientFlow)}
}

func (l *steadyLoad) run() {
	ticker := time.NewTicker(time.Second / time.Duration(l.perS))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.ended:
			return
		case <-ticker.C:
		}
		f := l.client.newFlow(l.route)
		l.mu.Lock()
		l.flows[f.key] = f
		l.mu.Unlock()
		l.group.Go(func() { l.request(f, fmt.Sprintf("q-%d", n)) })
	}
}

func (l *steadyLoad) request(f *clientFlow, id string) {
	defer f.finish()
	if f.connect() != "open" {
		return
	}
	if _, failure := f.do(id, requestWork, requestBudget); failure != "" {
		l.mu.Lock()
		l.lost++
		l.mu.Unlock()
	}
}

// stop ends the load and waits until each request has ended.
func (l *steadyLoad) stop() {
	close(l.ended)
	l.group.Wait()
}

func (l *steadyLoad) lostCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}
