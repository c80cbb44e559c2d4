package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probePeriod = 500 * time.Millisecond
	maxMisses   = 2
)

// router stands for the routers of the platform: it chooses the node of a flow by a hash over those in rotation.
type router struct {
	fleet  *fleet
	client http.Client
	end    chan struct{}
	sent   sync.Map // sentPacket by flow

	mu       sync.Mutex
	misses   map[*machine]int
	exempted string // name of the node that a fault has hit
}

func newRouter(f *fleet) *router {
	return &router{fleet: f, client: http.Client{Timeout: probePeriod}, end: make(chan struct{}), misses: make(map[*machine]int)}
}

// run probes the nodes twice a second until the router ends.
func (r *router) run() {
	for {
		for _, m := range r.fleet.fronts {
			go r.probe(m)
		}
		select {
		case <-r.end:
			return
		case <-time.After(probePeriod):
		}
	}
}

func (r *router) probe(m *machine) {
	response, err := r.client.Get("http://" + r.fleet.address(m, portReady).String() + "/cowslipward/ready")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		r.misses[m] = 0
		return
	}
	if _, known := r.misses[m]; known {
		r.misses[m]++
	}
}

// ready returns the nodes in rotation.
func (r *router) ready() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*machine
	for _, m := range r.fleet.fronts {
		if misses, known := r.misses[m]; known && misses < maxMisses {
			list = append(list, m)
		}
	}
	return list
}

// choose returns the address of the node of a flow.
func (r *router) choose(key flowKey) (netip.AddrPort, bool) {
	ready := r.ready()
	if len(ready) == 0 {
		return netip.AddrPort{}, false
	}
	h := fnv.New64a()
	for _, e := range []endpoint{key.client, key.route} {
		_, _ = h.Write(e.ip[:])
		_ = binary.Write(h, binary.LittleEndian, e.port)
	}
	m := ready[h.Sum64()%uint64(len(ready))]
	r.sent.Store(key, sentPacket{node: m.name, at: time.Now()})
	return r.fleet.address(m, portPackets), true
}

// sentPacket says to which node the last packet of a flow was sent, and when.
type sentPacket struct {
	node string
	at   time.Time
}

func (r *router) lastSent(key flowKey) sentPacket {
	value, _ := r.sent.Load(key)
	last, _ := value.(sentPacket)
	return last
}

// awaitReady waits until a number of nodes is in rotation.
func (r *router) awaitReady(count int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(r.ready()) >= count {
			return true
		}
	}
	return false
}

// exempt names the node that a fault hits: what it does is not judged.
func (r *router) exempt(m *machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exempted = m.name
}

// isExempt reports whether the last packet of the flow was sent to the exempt node.
func (r *router) isExempt(key flowKey) bool {
	name := r.lastSent(key).node
	r.mu.Lock()
	defer r.mu.Unlock()
	return name == r.exempted
}
