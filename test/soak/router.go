package soak

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// probe asks the balancers whether they are ready, as the platform's routers do: two misses take one out.
func (b *Bed) probe() {
	client := &http.Client{Timeout: probePeriod}
	misses := make(map[*vm]int)
	for {
		select {
		case <-b.closed:
			return
		case <-time.After(probePeriod):
		}
		for _, v := range b.vms {
			if v.role != "balancer" {
				continue
			}
			if isReady(client, v) {
				misses[v] = 0
			} else {
				misses[v]++
			}
			b.mu.Lock()
			v.ready = misses[v] == 0 || (v.ready && misses[v] < 2)
			b.mu.Unlock()
		}
	}
}

func isReady(client *http.Client, v *vm) bool {
	answer, err := client.Get("http://" + v.address(readyPort).String() + "/cowslipward/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// route picks a balancer by the hash of the flow, mod the ready ones.
func (b *Bed) route(key flow.Key) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*vm
	for _, v := range b.vms {
		if v.ready {
			ready = append(ready, v)
		}
	}
	if len(ready) == 0 {
		return netip.AddrPort{}, false
	}
	return ready[key.Hash()%uint64(len(ready))].address(packetsPort), true
}

func (b *Bed) awaitReady() error {
	end := time.Now().Add(startWait)
	for time.Now().Before(end) {
		if b.readyCount() == b.Balancers {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%d of %d balancers are ready after %s", b.readyCount(), b.Balancers, startWait)
}

func (b *Bed) readyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, v := range b.vms {
		if v.ready {
			n++
		}
	}
	return n
}

// holder returns the target that holds the flow, or nil.
func (b *Bed) holder(key flow.Key) *vm {
	for _, v := range b.vms {
		b.mu.Lock()
		target := v.target
		b.mu.Unlock()
		if target != nil && target.HasOpenFlow(key) {
			return v
		}
	}
	return nil
}
