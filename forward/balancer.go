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
	"github.com/cowslipward/cowslipward/platform"
)

// BalancerConfig configures a Balancer.
type BalancerConfig struct {
	Domain           string         // failure domain
	Packets          netip.AddrPort // packets of callers
	Tunnel           netip.AddrPort // packets to and from agents, which use the same port
	DomainOutTimeout time.Duration  // after which a failure domain that is out gets no packet; 0: open flows go on
	Log              *slog.Logger
	Sampler          *logsink.Sampler
	Outcomes         *burn.Recorder[string] // by service
	// ConfirmView asks for a view that the store confirms now. It does not block.
	ConfirmView func()
}

// outMargin is how long before the bound the last packet goes to a failure domain that is out.
const outMargin = 1500 * time.Millisecond

// outWait returns how long open flows in a failure domain that is out get packets.
func (c *BalancerConfig) outWait() time.Duration {
	if c.DomainOutTimeout == 0 {
		return dispatch.KeepFlowsForever
	}
	return max(0, c.DomainOutTimeout-outMargin)
}

// Balancer forwards callers' packets to agents.
type Balancer struct {
	config  BalancerConfig
	packets *udpbatch.Conn
	tunnel  *udpbatch.Conn
	clock   clock

	heldMu  sync.Mutex // guards heldOut; mu may be taken while it is held
	heldOut *outboxes  // for packets that were held
	repeats *rate.Limiter

	isolated  atomic.Bool // no agent is reached
	closeOnce sync.Once
	closed    chan struct{}

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	held       heldPackets
	searched   searchedPackets
}

// OpenBalancer binds the sockets.
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
		config:     c,
		packets:    packets,
		tunnel:     tunnel,
		clock:      newClock(),
		repeats:    rate.NewLimiter(repeatsPerSecond, repeatsPerSecond),
		dispatcher: dispatch.New(c.Domain, c.outWait()),
		closed:     make(chan struct{}),
	}
	b.heldOut = b.newOutboxes()
	return b, nil
}

// Now returns the steady time by which views are dated.
func (b *Balancer) Now() time.Duration { return b.clock.now() }

// SetView takes over a view that the store confirmed at the steady time known. Packets that were held until then are
// decided about once more.
func (b *Balancer) SetView(view *directory.View, known time.Duration) {
	b.mu.Lock()
	b.dispatcher.SetView(view, known, b.clock.now())
	due := b.held.due(view.Config != nil, known, b.clock.now())
	b.mu.Unlock()
	b.heldMu.Lock()
	defer b.heldMu.Unlock()
	for _, held := range due {
		b.decideAgain(b.heldOut, held.packet, b.clock.now()-held.at, searchRepeats)
	}
	b.heldOut.flush()
}

// decideAgain decides about a packet that was held for some time. A search of it may be repeated so often.
func (b *Balancer) decideAgain(out *outboxes, packet []byte, held time.Duration, repeats int) {
	p, err := platform.DecodePacket(packet)
	if err != nil {
		return // it was readable when it was held
	}
	p.HoldTime = held
	b.mu.Lock()
	d := b.dispatcher.HandleCallerPacket(&p, b.clock.now())
	b.mu.Unlock()
	b.act(out, &d, &p, packet)
	b.hold(&d, &p, packet, repeats)
}

// hold keeps a packet until the view allows a decision or a search ends. A search that does not may be repeated so often.
func (b *Balancer) hold(d *dispatch.Decision, p *flow.Packet, packet []byte, repeats int) {
	if d.Outcome == dispatch.OutcomeSearch {
		b.keepSearched(p.KeyFromCaller(), packet, repeats)
		return
	}
	if !d.Cause.IsPending() && !d.Cause.EndsSearch() {
		return
	}
	now := b.clock.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.Cause.EndsSearch() {
		b.searched.forget(p.KeyFromCaller())
	}
	switch d.Cause {
	case dispatch.CauseNoView:
		b.held.untilView(p.KeyFromCaller(), packet, now)
	case dispatch.CauseMissUnconfirmed:
		b.held.untilFound(p.KeyFromCaller(), packet, true, now)
		b.config.ConfirmView()
	case dispatch.CauseSearching:
		if d.Outcome == dispatch.OutcomeHold {
			b.held.untilFound(p.KeyFromCaller(), packet, false, now)
		}
	}
}

// Flows returns the number of flows in the table.
func (b *Balancer) Flows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dispatcher.FlowCount()
}

// Run forwards until Close.
func (b *Balancer) Run() {
	var group sync.WaitGroup
	group.Go(func() {
		out := b.newOutboxes()
		readLoop(b.packets, func(d []byte, _ flow.Endpoint) { b.fromCaller(out, d) }, out.flush, b.config.Log)
	})
	group.Go(func() {
		out := b.newOutboxes()
		readLoop(b.tunnel, func(d []byte, from flow.Endpoint) { b.fromAgent(out, d, from) }, out.flush, b.config.Log)
	})
	group.Go(b.watchAgents)
	group.Wait()
}

// Close ends Run.
func (b *Balancer) Close() {
	b.mu.Lock()
	b.searched = searchedPackets{armed: true} // no timer starts any more
	b.mu.Unlock()
	b.closeOnce.Do(func() { close(b.closed) })
	_ = b.packets.Close()
	_ = b.tunnel.Close()
}

// outboxes are the writers of one read loop.
type outboxes struct {
	agents  *outbox
	callers *outbox
}

func (b *Balancer) newOutboxes() *outboxes {
	return &outboxes{agents: newOutbox(b.tunnel), callers: newOutbox(b.packets)}
}

func (o *outboxes) flush() {
	o.agents.flush()
	o.callers.flush()
}

func (b *Balancer) fromCaller(out *outboxes, datagram []byte) {
	p, err := platform.DecodePacket(datagram)
	if err != nil {
		droppedUnreadable.Inc()
		return
	}
	started := b.clock.now()
	b.mu.Lock()
	d := b.dispatcher.HandleCallerPacket(&p, started)
	known := b.dispatcher.ConfirmedAt()
	b.mu.Unlock()
	b.act(out, &d, &p, datagram)
	b.hold(&d, &p, datagram, searchRepeats)
	if d.Cause != dispatch.CauseOpen {
		decisionTime.Update((b.clock.now() - started).Seconds())
		decisionViewAge.Update((started - known).Seconds())
	}
}

func (b *Balancer) fromAgent(out *outboxes, datagram []byte, from flow.Endpoint) {
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
		decode = platform.DecodeHeader // the end of a path returns no data
	}
	p, err := decode(packet)
	if err != nil {
		droppedUnreadable.Inc()
		return
	}
	switch {
	case h.Kind == encap.KindFound:
		b.found(out, &h, &p, from)
	case h.Search:
		b.pathEnded(out, &h, &p, from)
	default:
		b.returned(out, &h, &p, packet, from)
	}
}

// found ends the search for a flow and sends the packets that waited for it.
func (b *Balancer) found(out *outboxes, h *encap.Header, p *flow.Packet, from flow.Endpoint) {
	b.mu.Lock()
	took := b.dispatcher.HandleFound(from.IP, h, p, b.clock.now())
	b.searched.forget(p.KeyFromCaller())
	held := b.held.ofFlow(p.KeyFromCaller())
	b.mu.Unlock()
	if took > 0 {
		searchesFound.Update(took.Seconds())
	}
	for _, packet := range held {
		b.decideAgain(out, packet, 0, searchRepeats)
	}
}

// pathEnded goes on with a search of which one path ended without finding the flow.
func (b *Balancer) pathEnded(out *outboxes, h *encap.Header, p *flow.Packet, from flow.Endpoint) {
	b.mu.Lock()
	packet := b.searched.packet(p.KeyFromCaller())
	b.mu.Unlock()
	b.returned(out, h, p, packet, from)
}

// returned decides about a packet that an agent sent back.
func (b *Balancer) returned(out *outboxes, h *encap.Header, p *flow.Packet, packet []byte, from flow.Endpoint) {
	b.mu.Lock()
	d := b.dispatcher.HandleReturn(from.IP, h, p, b.clock.now())
	b.mu.Unlock()
	if b.config.Log.Enabled(context.Background(), slog.LevelDebug) {
		b.config.Log.Debug("packet_returned", "flow", p.KeyFromCaller(), "from", from.IP, "reason", h.Reason, "attempt", h.Attempt)
	}
	b.act(out, &d, p, packet)
	b.hold(&d, p, packet, searchRepeats)
}
