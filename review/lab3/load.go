package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform/platformtest"
)

// routeOf returns the address of the route to service n.
func routeOf(n int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{198, 18, 0, byte(n + 1)}, Port: 8443}
}

// publish writes a configuration with one route to each service.
func (b *bed) publish(version int, warmup time.Duration, warmupPerS float64, services ...string) {
	type object = map[string]any
	var routes, list []object
	for n, service := range services {
		address := routeOf(n).AddrPort()
		routes = append(routes, object{
			"name": "r-" + service, "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()),
			"type": "safe", "timeoutMs": 3000, "sloMs": 200, "priority": 2, "service": service, "attempts": 2,
		})
		list = append(list, object{
			"name": service, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false,
			"warmupS": warmup.Seconds(), "warmupPerS": warmupPerS,
		})
	}
	text, err := json.Marshal(object{
		"version": version, "routes": routes, "services": list,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // unreachable: the value is always encodable
	}
	b.store.PutConfig(string(text))
	b.record.event("configuration %d: %s", version, text)
}

// outcomes counts how attempts ended.
type outcomes struct{ asked, answered, notOpen, reset, late atomic.Int64 }

// run asks perSecond requests a second, a flow each, until ctx is done, and waits for the last.
func (b *bed) run(ctx context.Context, callers []*platformtest.Caller, service string, n int, perSecond float64) *outcomes {
	out := &outcomes{}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return out
		case <-ticker.C:
		}
		caller := callers[i%len(callers)]
		group.Go(func() { b.ask(caller, service, n, out) })
	}
}

// ask sends one request on a flow of its own.
func (b *bed) ask(caller *platformtest.Caller, service string, n int, out *outcomes) {
	id := fmt.Sprintf("q-%d", b.ids.Add(1))
	b.ledger.Expect(id, service)
	out.asked.Add(1)
	ctx := context.Background()
	sent := time.Now()
	f, err := caller.Open(ctx, routeOf(n))
	switch {
	case errors.Is(err, platformtest.ErrReset):
		out.reset.Add(1)
	case err != nil:
		out.notOpen.Add(1)
	}
	if err != nil {
		b.record.event("%s to %s sent %.3f: %v", id, service, b.record.since(sent), err)
		return
	}
	defer f.Close()
	if _, err := f.Do(ctx, id, true, 3*time.Second); err != nil {
		out.late.Add(1)
		b.record.event("%s to %s sent %.3f on %s: %v", id, service, b.record.since(sent), f.Key(), err)
		return
	}
	out.answered.Add(1)
	b.record.event("%s to %s sent %.3f on %s: answered", id, service, b.record.since(sent), f.Key())
}
