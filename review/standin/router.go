package main

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readyPeriod is how often the platform asks each node whether it is ready.
const readyPeriod = 500 * time.Millisecond

// router is a stand-in for the platform's routers in front of the nodes of one zone.
type router struct {
	rec   *record
	mu    sync.Mutex
	nodes []*routedNode
	stop  context.CancelFunc
}

type routedNode struct {
	packets, ready netip.AddrPort
	misses         int
	in             bool
}

func newRouter(rec *record, nodes []*node) *router {
	ctx, stop := context.WithCancel(context.Background())
	r := &router{rec: rec, stop: stop}
	for _, n := range nodes {
		routed := &routedNode{packets: netip.AddrPortFrom(n.ip, portPackets), ready: netip.AddrPortFrom(n.ip, portReady)}
		r.nodes = append(r.nodes, routed)
		go r.watch(ctx, routed)
	}
	return r
}

func (r *router) watch(ctx context.Context, n *routedNode) {
	client := &http.Client{Timeout: readyPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readyPeriod)
	defer ticker.Stop()
	for {
		r.check(client, n)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// check asks a node once. After two misses it is out of rotation until it answers with 200 again.
func (r *router) check(client *http.Client, n *routedNode) {
	response, err := client.Get("http://" + n.ready.String() + "/cowslipward/ready")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := n.in
	if ok {
		n.misses, n.in = 0, true
	} else if n.misses++; n.misses >= 2 {
		n.in = false
	}
	if was != n.in {
		r.rec.add("router: node %s in rotation: %v", n.packets.Addr(), n.in)
	}
}

// nodeOf returns the node for the packets of a flow. If fewer than half of the nodes are in rotation, all are used.
func (r *router) nodeOf(key flowKey) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []netip.AddrPort
	for _, n := range r.nodes {
		if n.in {
			in = append(in, n.packets)
		}
	}
	if 2*len(in) < len(r.nodes) {
		in = in[:0]
		for _, n := range r.nodes {
			in = append(in, n.packets)
		}
	}
	if len(in) == 0 {
		return netip.AddrPort{}, false
	}
	return in[xxhash.Sum64String("router "+key.String())%uint64(len(in))], true
}

// inRotation returns the addresses of the nodes in rotation.
func (r *router) inRotation() []netip.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []netip.Addr
	for _, n := range r.nodes {
		if n.in {
			in = append(in, n.packets.Addr())
		}
	}
	slices.SortFunc(in, netip.Addr.Compare)
	return in
}
