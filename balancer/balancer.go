// Package balancer implements the data path of a balancer: it receives callers' datagrams at the services'
// addresses, sends them through the tunnel to agents and forwards the replies to the callers. It keeps no
// state per flow.
package balancer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/routing"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/wire"
)

// Config configures a balancer.
type Config struct {
	VM          string         // name of this VM
	Domain      string         // name of its failure domain
	Listen      netip.AddrPort // tunnel address to bind
	Advertise   netip.AddrPort // tunnel address sent in packets; defaults to Listen
	Control     netip.AddrPort // control address sent in revision notices
	ServiceHost netip.Addr     // optional; bound in place of the IP of each service's address
	Incarnation uint16
	Keys        *keys.Store
	Source      fleet.Source
	Log         *slog.Logger
}

// replyReaders is the number of goroutines that forward replies. They read the one tunnel socket in turn;
// verification of packets and writes to callers run in parallel.
const replyReaders = 4

// bindRetryInterval is the time between attempts to bind service addresses that could not be bound.
const bindRetryInterval = time.Second

// Balancer forwards datagrams between callers and agents.
type Balancer struct {
	cfg          Config
	link         *link.Link
	health       *healthTable
	table        atomic.Pointer[routing.Table]
	resetLimiter *rate.Limiter

	mu         sync.Mutex // serializes changes of the listeners
	boundRules *rules.Set // rules that the listeners were last synchronized with
	listeners  atomic.Pointer[listenerSet]
	unbound    atomic.Int64 // number of service addresses that could not be bound
	draining   atomic.Bool
	readers    sync.WaitGroup
}

// listenerSet is an immutable set of the open listeners.
type listenerSet map[rules.ServiceID]*listener

// Open binds the tunnel address and the addresses of the services in the current view, and starts forwarding.
func Open(cfg Config) (*Balancer, error) {
	l, err := link.Open(link.Config{
		Role:        "balancer",
		Listen:      cfg.Listen,
		Advertise:   cfg.Advertise,
		Control:     cfg.Control,
		Incarnation: cfg.Incarnation,
		Keys:        cfg.Keys,
		Source:      cfg.Source,
		Log:         cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	cfg.Advertise, cfg.Log = l.Advertise, l.Log
	b := &Balancer{
		cfg:          cfg,
		link:         l,
		health:       newHealthTable(),
		resetLimiter: rate.NewLimiter(resetRate, resetBurst),
	}
	b.listeners.Store(&listenerSet{})
	l.Counts.Gauge("cowslip_balancer_listeners", func() float64 { return float64(len(*b.listeners.Load())) })
	l.Counts.Gauge("cowslip_balancer_unbound_services", func() float64 { return float64(b.unbound.Load()) })
	b.syncListeners()
	for range replyReaders {
		b.readers.Add(1)
		go b.forwardReplies()
	}
	return b, nil
}

// Run opens and closes listeners as the rules change, until the context is done.
func (b *Balancer) Run(ctx context.Context) error {
	retry := time.NewTicker(bindRetryInterval)
	defer retry.Stop()
	for {
		changed := b.cfg.Source.Changed()
		b.syncListeners()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-retry.C:
		}
	}
}

// Drain makes Ready return false. Forwarding continues until Close.
func (b *Balancer) Drain() { b.draining.Store(true) }

// Ready reports whether callers' datagrams may be sent to this balancer, and if not, why.
func (b *Balancer) Ready() (bool, string) {
	view := b.cfg.Source.View()
	domain := view.Rules().DomainByName(b.cfg.Domain)
	switch {
	case b.draining.Load():
		return false, "draining"
	case view.Rules().Revision == 0:
		return false, "no rules yet"
	case !b.cfg.Source.Confirmed():
		return false, "view not confirmed"
	case domain != nil && domain.Out:
		return false, "failure domain is out"
	case b.unbound.Load() > 0:
		return false, fmt.Sprintf("%d service addresses are not bound", b.unbound.Load())
	}
	return true, ""
}

// Close closes all sockets and waits for the goroutines that read them.
func (b *Balancer) Close() error {
	b.draining.Store(true)
	err := b.link.Close()
	b.mu.Lock()
	for _, l := range *b.listeners.Load() {
		err = errors.Join(err, l.conn.Close())
	}
	b.listeners.Store(&listenerSet{})
	b.mu.Unlock()
	b.readers.Wait()
	return err
}

// Counts returns the counters of this balancer.
func (b *Balancer) Counts() *link.Counts { return b.link.Counts }

// Address returns the advertised tunnel address.
func (b *Balancer) Address() netip.AddrPort { return b.link.Advertise }

// Handle sets the handler for control packets of the kind. The handler must not block or retain its arguments.
func (b *Balancer) Handle(kind wire.Kind, handler func(h *wire.Header, body []byte)) {
	b.link.Handle(kind, handler)
}

// routingTable returns the routing table of the current view, which is computed once per view.
func (b *Balancer) routingTable() *routing.Table {
	view := b.cfg.Source.View()
	table := b.table.Load()
	if table != nil && table.View == view {
		return table
	}
	table = routing.NewTable(view)
	b.table.Store(table)
	return table
}
