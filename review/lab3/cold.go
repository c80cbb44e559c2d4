package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/platform/platformtest"
)

// The deployment of the cases about cold hosts, in the sizes of ggkm-hub.
const (
	coldService  = "members"
	coldHosts    = 4
	coldFronts   = 3
	coldSlots    = 7
	coldWork     = 40 * time.Millisecond
	warmupTime   = 2 * time.Second
	warmupPerS   = 24.0
	warmupFactor = 1.5
	coldSlack    = 5
)

var coldZones = []string{"atl-a", "atl-b", "atl-c"}

// startColdBed starts the deployment of the cases about cold hosts, and clients.
func startColdBed(b *bed) ([]*platformtest.Caller, error) {
	b.publish(7, warmupTime, warmupPerS, coldService)
	for n := range coldHosts {
		h := b.addHost(n)
		if err := h.start(false); err != nil {
			return nil, err
		}
		h.register()
		if err := b.startSide(h); err != nil {
			return nil, err
		}
	}
	for n := range coldFronts {
		if err := b.startFront(n, coldZones[n%len(coldZones)]); err != nil {
			return nil, err
		}
	}
	if err := b.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var callers []*platformtest.Caller
	for n := range 4 {
		caller, err := platformtest.NewCaller(at(b.ip(netCallers, n), b.ports.packets), b.route, b.ledger)
		if err != nil {
			return nil, err
		}
		callers = append(callers, caller)
	}
	return callers, nil
}

// addHost adds host n, which is not started yet.
func (b *bed) addHost(n int) *host {
	h := &host{
		bed: b, id: fmt.Sprintf("i-%d", n), side: fmt.Sprintf("side-%d", n), service: coldService, zone: coldZones[n%len(coldZones)],
		ip: b.ip(netSides, n), slots: coldSlots, work: coldWork, warmup: warmupTime,
	}
	b.hosts = append(b.hosts, h)
	return h
}

// awaitReady waits until all fronts answer the routers' checks.
func (b *bed) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, ip := range b.fronts {
		for !isReady(at(ip, b.ports.ready)) {
			if time.Now().After(deadline) {
				return fmt.Errorf("front %s is not ready after %s", ip, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(address netip.AddrPort) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address.String() + "/cowslipward/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// judgeCold judges FAILBACK for one host.
func judgeCold(b *bed, h *host) bool {
	limit := warmupPerS*warmupFactor + coldSlack
	most, from := h.busiestSecond()
	b.record.event("host %s: %d requests in the second from %.3f, while it was cold; limit %.0f", h.id, most, b.record.since(from), limit)
	h.mu.Lock()
	for key, arrived := range h.arrivals {
		if arrived.Before(h.born.Add(h.cold)) {
			b.record.event("opening packet of %s: sent %.3f, arrived %.3f", key, b.record.since(b.sentAt(key)), b.record.since(arrived))
		}
	}
	h.mu.Unlock()
	return float64(most) <= limit
}

// coldAgentKilled adds a host during traffic, and kills the process beside it once while it is cold.
func coldAgentKilled(b *bed, trouble bool) (bool, error) {
	callers, err := startColdBed(b)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan *outcomes)
	go func() { done <- b.run(ctx, callers, coldService, 0, 560) }()
	time.Sleep(4 * time.Second)
	h := b.addHost(coldHosts)
	if err := b.startSide(h); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if err := h.start(true); err != nil {
		return false, err
	}
	go h.registerUntilWarm(func() bool { return true })
	time.Sleep(500 * time.Millisecond)
	if trouble {
		b.children[h.side].Kill()
		b.record.event("%s killed", h.side)
		time.Sleep(150 * time.Millisecond)
		if err := b.startSide(h); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	cancel()
	b.report(<-done)
	return judgeCold(b, h), nil
}

// coldStoreDown restarts a host during traffic, while the platform's store is down.
func coldStoreDown(b *bed, trouble bool) (bool, error) {
	callers, err := startColdBed(b)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan *outcomes)
	go func() { done <- b.run(ctx, callers, coldService, 0, 400) }()
	time.Sleep(4 * time.Second)
	var isUp atomic.Bool
	isUp.Store(true)
	if trouble {
		isUp.Store(false)
		b.store.SetRejectFunc(func(*http.Request) int { return http.StatusServiceUnavailable })
		b.record.event("the store is down: it answers 503")
	}
	time.Sleep(500 * time.Millisecond)
	h := b.hosts[0]
	h.stop()
	b.record.event("host %s crashed", h.id)
	time.Sleep(time.Second)
	if err := h.start(true); err != nil {
		return false, err
	}
	go h.registerUntilWarm(isUp.Load)
	time.Sleep(3 * time.Second)
	isUp.Store(true)
	b.store.SetRejectFunc(nil)
	b.record.event("the store is up")
	time.Sleep(3 * time.Second)
	cancel()
	b.report(<-done)
	return judgeCold(b, h), nil
}

// report records how the clients' attempts ended.
func (b *bed) report(out *outcomes) {
	b.record.event("clients: %d asked, %d answered, %d not open, %d reset, %d without an answer", out.asked.Load(), out.answered.Load(),
		out.notOpen.Load(), out.reset.Load(), out.late.Load())
	counts, violations := b.ledger.Snapshot()
	b.record.event("ledger: %+v %v", counts, violations)
}
