package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/peer"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
)

// plan says what one run measures.
type plan struct {
	VMs         int
	Relays      int // relays in each failure domain
	Subscribers int // connections of subscribers to a measured relay
	IsRelay     bool
	Churn       float64       // record changes a second
	RulePeriod  time.Duration // between rule changes; zero for none
	Apart       bool          // relays of the other regions swallow what they get
	KeyDir      string
	Control     netip.AddrPort // of the measured process
	Platform    string         // URL
	Self        fleet.VM
	Window      time.Duration
}

// world plays all of a fleet but the measured process: the platform, the other relays and the subscribers.
type world struct {
	plan  plan
	model *model
	keys  *keys.Store
	table *fleet.Table
	self  fleet.VM // the measured process

	mu      sync.Mutex
	set     *rules.Set
	before  *rules.Set
	changed chan struct{}

	counters counters
}

// counters count what crosses the edge of the measured process, in bytes of TCP payload.
type counters struct {
	FromMeasured atomic.Int64
	ToMeasured   atomic.Int64
	Reads        atomic.Int64 // queries to the platform
	Reports      atomic.Int64
	Changes      atomic.Int64
	Revisions    atomic.Int64
}

// snapshot is a reading of the counters.
type snapshot struct {
	FromMeasured, ToMeasured, Reads, Reports, Changes, Revisions int64
}

func (c *counters) read() snapshot {
	return snapshot{
		FromMeasured: c.FromMeasured.Load(), ToMeasured: c.ToMeasured.Load(), Reads: c.Reads.Load(),
		Reports: c.Reports.Load(), Changes: c.Changes.Load(), Revisions: c.Revisions.Load(),
	}
}

// countingConn counts the bytes of a connection of the measured process, seen from the other end.
type countingConn struct {
	net.Conn
	c *counters
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.FromMeasured.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.ToMeasured.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	c *counters
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, c: l.c}, nil
}

// startWorld starts everything and returns once the listeners are bound.
func startWorld(ctx context.Context, p plan) (*world, error) {
	store, err := keys.Open(p.KeyDir)
	if err != nil {
		return nil, err
	}
	w := &world{plan: p, model: newModel(p.VMs), keys: store, table: fleet.NewTable(), changed: make(chan struct{})}
	w.set = w.model.parsed(1, w.model.rules)
	for i := range domainCount {
		if err := w.startDomain(ctx, domainName(i), i); err != nil {
			return nil, err
		}
	}
	go w.churn(ctx)
	go w.changeRules(ctx)
	return w, nil
}

// startDomain puts the members of a domain into the table and starts its relays.
func (w *world) startDomain(ctx context.Context, domain string, index int) error {
	vms := w.model.inDomain(domain)
	for i := range min(w.plan.Relays, len(vms)) {
		isSelf := index == 0 && w.plan.IsRelay && i == 0
		if isSelf {
			vms[i].Control = w.plan.Control
			w.self = *vms[i]
			continue
		}
		apart := w.plan.Apart && index%3 != 0
		// A relay watches all relays of its own domain and three of each other one.
		watches := index == 0 || (i+index)%w.plan.Relays < 3
		if err := w.startRelay(ctx, vms[i], apart, watches); err != nil {
			return err
		}
	}
	if index == 0 && !w.plan.IsRelay {
		self := vms[len(vms)-1]
		self.Control = w.plan.Control
		w.self = *self
	}
	subscribers := 0
	for i, vm := range vms {
		via := vms[min(1, len(vms)-1)].Name
		if vm.Name == w.self.Name {
			continue
		}
		if w.plan.IsRelay && index == 0 && i >= w.plan.Relays && subscribers < w.plan.Subscribers {
			subscribers++
			go w.playSubscriber(ctx, *vm)
			continue
		}
		if i < w.plan.Relays {
			via = vm.Name
		}
		w.table.Merge(w.model.member(*vm, via))
	}
	return nil
}

func (w *world) startRelay(ctx context.Context, vm *fleet.VM, apart, watches bool) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	vm.Control = listener.Addr().(*net.TCPAddr).AddrPort()
	counted := &countingListener{Listener: listener, c: &w.counters}
	if apart {
		go swallow(counted)
		return nil
	}
	server := peer.NewServer(w.handler(vm.FailureDomain))
	go func() { _ = server.Serve(peer.Secure(w.keys, counted)) }()
	if w.plan.IsRelay && watches {
		go w.playRelay(ctx, *vm)
	}
	return nil
}

// swallow accepts connections and reads without an answer, as behind a cut.
func swallow(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			buffer := make([]byte, 4096)
			for {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
			}
		}()
	}
}

// churn changes records at the planned rate, and says so to all who watch.
func (w *world) churn(ctx context.Context) {
	if w.plan.Churn <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / w.plan.Churn))
	defer ticker.Stop()
	members, _ := w.table.Since(0, "")
	for i := 0; ; i = (i + 7) % len(members) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		member := &members[i]
		member.Record.Sequence++
		member.Record.Weight = uint16(1 + i%fleet.WeightFull)
		w.table.Merge(member)
		w.counters.Changes.Add(1)
	}
}

func (w *world) changeRules(ctx context.Context) {
	if w.plan.RulePeriod <= 0 {
		return
	}
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.plan.RulePeriod):
		}
		next := w.model.parsed(rules.Revision(i+1), w.model.drained(i))
		w.mu.Lock()
		w.before, w.set = w.set, next
		close(w.changed)
		w.changed = make(chan struct{})
		w.mu.Unlock()
		w.counters.Revisions.Add(1)
	}
}

func (w *world) rules() (set, before *rules.Set, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set, w.before, w.changed
}

// platformHandler serves the platform's protocols and the counters.
func (w *world) platformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/", w.serveRules)
	mux.HandleFunc("GET /v1/vms", w.serveList)
	mux.HandleFunc("GET /counters", func(out http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(out).Encode(w.counters.read())
	})
	return mux
}

// await holds a query with an index until the rules have a higher one.
func (w *world) await(r *http.Request, once bool) {
	w.counters.Reads.Add(1)
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	timeout := time.After(30 * time.Second)
	for index > 0 {
		set, _, changed := w.rules()
		if !once && uint64(set.Revision) > index {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (w *world) serveRules(out http.ResponseWriter, r *http.Request) {
	w.await(r, false)
	set, _, _ := w.rules()
	out.Header().Set("X-Consul-Index", strconv.FormatUint(uint64(set.Revision), 10))
	value := base64.StdEncoding.EncodeToString([]byte(set.Text))
	_ = json.NewEncoder(out).Encode([]map[string]any{{"Value": value, "ModifyIndex": set.Revision}})
}

func (w *world) serveList(out http.ResponseWriter, r *http.Request) {
	w.await(r, true)
	roles := map[fleet.Role]string{fleet.RoleBalancer: "balancer", fleet.RoleTarget: "target"}
	domain := r.URL.Query().Get("domain")
	list := []map[string]string{}
	for _, vm := range w.model.vms {
		if domain == "" || vm.FailureDomain == domain {
			list = append(list, map[string]string{
				"name": vm.Name, "failure_domain": vm.FailureDomain, "role": roles[vm.Role], "state": "live",
				"data": vm.Data.String(), "control": vm.Control.String(), "admin": vm.Admin.String(),
			})
		}
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"index": 1, "vms": list})
}

func (w *world) String() string {
	return fmt.Sprintf("%d VMs, %d relays a domain, %d subscribers", w.plan.VMs, w.plan.Relays, w.plan.Subscribers)
}
