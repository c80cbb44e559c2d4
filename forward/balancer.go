package forward

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/logsink"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/loadcontrol"
	"github.com/cowslipward/cowslipward/platform"
)

// BalancerConfig configures a Balancer.
type BalancerConfig struct {
	Domain  string         // failure domain of the balancer
	Packets netip.AddrPort // address for packets of callers
	Tunnel  netip.AddrPort // address for packets to and from agents, which use the same port
	// DomainOutTimeout is how long packets of open flows may still go to a failure domain that is out of
	// service. Zero means no limit.
	DomainOutTimeout time.Duration
	Log              *slog.Logger
	Sampler          *logsink.Sampler
	Outcomes         *burn.Recorder[string] // request outcomes by service
	// LoadControl applies to the services that it selects. The zero value is off.
	LoadControl loadcontrol.Settings
	// ConfirmView requests a view that the store confirms as current. It does not block.
	ConfirmView func()
}

// domainOutMargin is how long before DomainOutTimeout the last packet is sent to a failure domain that is out
// of service.
const domainOutMargin = 1500 * time.Millisecond

// domainOutGrace returns how long packets of open flows are still forwarded to a failure domain that is out
// of service.
func (c *BalancerConfig) domainOutGrace() time.Duration {
	if c.DomainOutTimeout == 0 {
		return dispatch.KeepFlowsForever
	}
	return max(0, c.DomainOutTimeout-domainOutMargin)
}

// Balancer forwards callers' packets to agents.
type Balancer struct {
	config  BalancerConfig
	packets *udpbatch.Conn
	tunnel  *udpbatch.Conn
	clock   clock

	retryMu            sync.Mutex        // guards retryOutboxes; mu may be locked while it is held
	retryOutboxes      *balancerOutboxes // for buffered packets that are processed again
	searchRetryLimiter *rate.Limiter

	isolated  atomic.Bool // no agent is reachable
	overload  overloadWatch
	closeOnce sync.Once
	closed    chan struct{}

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	buffered   packetBuffer
	searches   searchBuffer
}

// OpenBalancer returns a balancer whose sockets are bound. Run starts it.
func OpenBalancer(c BalancerConfig) (*Balancer, error) {
	packets, err := udpbatch.Listen(c.Packets)
	if err != nil {
		return nil, fmt.Errorf("open balancer: %w", err)
	}
	tunnel, err := udpbatch.Listen(c.Tunnel)
	if err != nil {
		_ = packets.Close()
		return nil, fmt.Errorf("open balancer: %w", err)
	}
	b := &Balancer{
		config:             c,
		packets:            packets,
		tunnel:             tunnel,
		clock:              newClock(),
		searchRetryLimiter: rate.NewLimiter(searchRetriesPerSecond, searchRetriesPerSecond),
		dispatcher:         dispatch.New(c.Domain, c.domainOutGrace()),
		closed:             make(chan struct{}),
	}
	b.dispatcher.SetLoadControl(c.LoadControl)
	b.overload.sampler = logsink.NewSampler(overloadLinesPerSecond)
	b.retryOutboxes = b.newOutboxes()
	return b, nil
}

// Now returns the balancer's monotonic time, as used for the confirmation times of views.
func (b *Balancer) Now() time.Duration { return b.clock.now() }

// SetView installs a view that the store confirmed as current at the monotonic time confirmedAt. Packets that
// were buffered until such a view are processed again.
func (b *Balancer) SetView(view *directory.View, confirmedAt time.Duration) {
	b.mu.Lock()
	b.dispatcher.SetView(view, confirmedAt, b.clock.now())
	due := b.buffered.takeDue(view.Config != nil, confirmedAt, b.clock.now())
	b.mu.Unlock()
	b.retryMu.Lock()
	defer b.retryMu.Unlock()
	for _, entry := range due {
		b.retryDecision(b.retryOutboxes, entry.packet, b.clock.now()-entry.bufferedAt, maxSearchRetries)
	}
	b.retryOutboxes.flush()
}

// retryDecision processes a buffered packet again. If that starts a search, the search may be retried
// searchRetries times.
func (b *Balancer) retryDecision(out *balancerOutboxes, packet []byte, bufferedFor time.Duration, searchRetries int) {
	p, err := platform.DecodePacket(packet)
	if err != nil {
		return // not expected: the packet was decoded before it was buffered
	}
	p.HoldTime = bufferedFor
	b.mu.Lock()
	d := b.dispatcher.HandleCallerPacket(&p, b.clock.now())
	b.mu.Unlock()
	b.execute(out, &d, &p, packet)
	b.bufferPending(&d, &p, packet, searchRetries)
}

// bufferPending buffers a packet whose decision depends on a later view or on the result of a search. A
// search that does not end may be retried searchRetries times.
func (b *Balancer) bufferPending(d *dispatch.Decision, p *flow.Packet, packet []byte, searchRetries int) {
	if d.Outcome == dispatch.OutcomeSearch && len(packet) > 0 {
		b.bufferSearch(p.KeyFromCaller(), packet, searchRetries)
		return
	}
	if !d.Cause.IsPending() && !d.Cause.EndsSearch() {
		return
	}
	now := b.clock.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.Cause.EndsSearch() {
		b.searches.remove(p.KeyFromCaller())
	}
	switch d.Cause {
	case dispatch.CauseNoView:
		b.buffered.addUntilView(p.KeyFromCaller(), packet, now)
	case dispatch.CauseMissUnconfirmed:
		b.buffered.addUntilFound(p.KeyFromCaller(), packet, true, now)
		b.config.ConfirmView()
	case dispatch.CauseSearching:
		if d.Outcome == dispatch.OutcomeHold {
			b.buffered.addUntilFound(p.KeyFromCaller(), packet, false, now)
		}
	}
}

// Flows returns the number of entries in the flow table.
func (b *Balancer) Flows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dispatcher.FlowCount()
}

// Run forwards packets until Close is called.
func (b *Balancer) Run() {
	var group sync.WaitGroup
	group.Go(func() {
		out := b.newOutboxes()
		readLoop(b.packets, func(d []byte, _ flow.Endpoint) { b.handleCallerDatagram(out, d) }, out.flush, b.config.Log)
	})
	group.Go(func() {
		out := b.newOutboxes()
		readLoop(b.tunnel, func(d []byte, from flow.Endpoint) { b.handleAgentDatagram(out, d, from) }, out.flush, b.config.Log)
	})
	group.Go(b.watchAgents)
	group.Wait()
}

// Close closes the sockets and makes Run return.
func (b *Balancer) Close() {
	b.mu.Lock()
	b.searches = searchBuffer{timerArmed: true} // prevents further timers
	b.mu.Unlock()
	b.closeOnce.Do(func() { close(b.closed) })
	_ = b.packets.Close()
	_ = b.tunnel.Close()
}

// balancerOutboxes holds the outboxes for datagrams to agents and to callers.
type balancerOutboxes struct {
	agents  *outbox
	callers *outbox
}

func (b *Balancer) newOutboxes() *balancerOutboxes {
	return &balancerOutboxes{agents: newOutbox(b.tunnel), callers: newOutbox(b.packets)}
}

func (o *balancerOutboxes) flush() {
	o.agents.flush()
	o.callers.flush()
}

func (b *Balancer) handleCallerDatagram(out *balancerOutboxes, datagram []byte) {
	p, err := platform.DecodePacket(datagram)
	if err != nil {
		droppedUnreadable.Inc()
		return
	}
	started := b.clock.now()
	b.mu.Lock()
	d := b.dispatcher.HandleCallerPacket(&p, started)
	viewConfirmedAt := b.dispatcher.ConfirmedAt()
	b.mu.Unlock()
	b.execute(out, &d, &p, datagram)
	b.bufferPending(&d, &p, datagram, maxSearchRetries)
	if d.Cause != dispatch.CauseOpen {
		decisionTime.Update((b.clock.now() - started).Seconds())
		decisionViewAge.Update((started - viewConfirmedAt).Seconds())
	}
}

func (b *Balancer) handleAgentDatagram(out *balancerOutboxes, datagram []byte, from flow.Endpoint) {
	h, packet, err := encap.Decode(datagram)
	if err != nil {
		droppedForeign.Inc()
		return
	}
	if h.Kind == encap.KindReport {
		b.mu.Lock()
		b.dispatcher.HandleReport(from.IP, &h, b.clock.now())
		b.mu.Unlock()
		return
	}
	decode := platform.DecodePacket
	if h.Search {
		decode = platform.DecodeHeader // the last agent of a search path returns only the header
	}
	p, err := decode(packet)
	if err != nil {
		droppedUnreadable.Inc()
		return
	}
	switch {
	case h.Kind == encap.KindFound:
		b.handleFound(out, &h, &p, from)
	case h.Search:
		b.handlePathEnd(out, &h, &p, from)
	default:
		b.handleReturned(out, &h, &p, packet, from, maxSearchRetries)
	}
}

// handleFound ends the search for a flow and forwards the packets that were buffered until then.
func (b *Balancer) handleFound(out *balancerOutboxes, h *encap.Header, p *flow.Packet, from flow.Endpoint) {
	b.mu.Lock()
	searchTime := b.dispatcher.HandleFound(from.IP, h, p, b.clock.now())
	b.searches.remove(p.KeyFromCaller())
	packets := b.buffered.takeFlow(p.KeyFromCaller())
	b.mu.Unlock()
	if searchTime > 0 {
		searchesFound.Update(searchTime.Seconds())
	}
	for _, packet := range packets {
		b.retryDecision(out, packet, 0, maxSearchRetries)
	}
}

// handlePathEnd handles the end of one path of a search: no target on the path owns the flow.
func (b *Balancer) handlePathEnd(out *balancerOutboxes, h *encap.Header, p *flow.Packet, from flow.Endpoint) {
	b.mu.Lock()
	search := b.searches.flows[p.KeyFromCaller()]
	b.mu.Unlock()
	b.handleReturned(out, h, p, search.packet, from, search.retriesLeft)
}

// handleReturned processes a packet that an agent returned. If that starts a search, the search may be retried
// searchRetries times. The packet is empty if the agent returned only its header and the buffer of searches was full.
func (b *Balancer) handleReturned(out *balancerOutboxes, h *encap.Header, p *flow.Packet, packet []byte, from flow.Endpoint, searchRetries int) {
	b.mu.Lock()
	d := b.dispatcher.HandleReturn(from.IP, h, p, b.clock.now())
	b.mu.Unlock()
	if b.config.Log.Enabled(context.Background(), slog.LevelDebug) {
		b.config.Log.Debug("packet_returned", "flow", p.KeyFromCaller(), "from", from.IP, "reason", h.Reason, "attempt", h.Attempt)
	}
	b.execute(out, &d, p, packet)
	b.bufferPending(&d, p, packet, searchRetries)
}
