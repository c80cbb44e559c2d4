package forward

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/logsink"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/targetgate"
)

// AgentConfig configures an Agent.
type AgentConfig struct {
	Service    string         // of the target on this VM
	Target     netip.AddrPort // where the target receives packets
	Outbound   netip.AddrPort // where the target sends its packets
	Tunnel     netip.AddrPort // packets from and to balancers
	CallerPort uint16         // on which callers receive packets
	Log        *slog.Logger
	Sampler    *logsink.Sampler
	Outcomes   *burn.Recorder[string] // by service
}

const (
	// reportPeriod is how often an agent reports to the balancers that send to it. Where more than reportsPerPeriod do, it
	// reports to half of them in turns, which stays below the time after which balancers take an agent for silent.
	reportPeriod     = 200 * time.Millisecond
	reportsPerPeriod = 50
	// balancerIdle is how long after its last packet a balancer gets reports.
	balancerIdle = time.Second
	// waitCheck is how often flows that wait are looked at beside the events that free a slot.
	waitCheck = 20 * time.Millisecond
	// maxBalancers bounds the balancers that an agent knows, by the width of their index in a token.
	maxBalancers = 1 << 12
)

// Agent passes packets between balancers, its target and callers.
type Agent struct {
	config   AgentConfig
	tag      uint32
	target   flow.Endpoint
	tunnel   *udpbatch.Conn
	outbound *udpbatch.Conn
	clock    clock
	boot     uint32 // distinguishes tokens of this process from those of the one before

	mu        sync.Mutex
	gate      *targetgate.Gate
	balancers []balancer
	index     map[flow.Endpoint]int
	parked    map[flow.Key]parked       // SYNs of flows that wait
	requests  map[flow.Key]*heldRequest // requests that wait
	searches  map[searchKey]passingSearch
	failing   bool // balancers avoid the target, since it fails requests
	probing   bool
	probed    time.Duration
	armed     bool // the timer for flows that wait runs
	timerOut  *agentBoxes
	closeOnce sync.Once
	closed    chan struct{}
}

// OpenAgent binds the sockets.
func OpenAgent(c AgentConfig) (*Agent, error) {
	tunnel, err := udpbatch.Listen(c.Tunnel)
	if err != nil {
		return nil, fmt.Errorf("open agent: %w", err)
	}
	outbound, err := udpbatch.Listen(c.Outbound)
	if err != nil {
		_ = tunnel.Close()
		return nil, fmt.Errorf("open agent: %w", err)
	}
	a := &Agent{
		config:   c,
		tag:      directory.NameHash(c.Service),
		target:   flow.EndpointOf(c.Target),
		tunnel:   tunnel,
		outbound: outbound,
		clock:    newClock(),
		boot:     rand.Uint32N(1<<12-1) + 1,
		gate:     targetgate.New(),
		index:    make(map[flow.Endpoint]int),
		parked:   make(map[flow.Key]parked),
		requests: make(map[flow.Key]*heldRequest),
		searches: make(map[searchKey]passingSearch),
		closed:   make(chan struct{}),
	}
	a.timerOut = a.newOutboxes()
	return a, nil
}

// Run passes packets until Close.
func (a *Agent) Run() {
	var group sync.WaitGroup
	group.Go(func() {
		out := a.newOutboxes()
		readLoop(a.tunnel, func(d []byte, from flow.Endpoint) { a.fromBalancer(out, d, from) }, out.flush, a.config.Log)
	})
	group.Go(func() {
		out := a.newOutboxes()
		readLoop(a.outbound, func(d []byte, _ flow.Endpoint) { a.fromTarget(out, d) }, out.flush, a.config.Log)
	})
	group.Go(a.report)
	group.Wait()
}

// Close ends Run.
func (a *Agent) Close() {
	a.closeOnce.Do(func() { close(a.closed) })
	_ = a.tunnel.Close()
	_ = a.outbound.Close()
}

// agentBoxes are the writers of one loop.
type agentBoxes struct {
	balancers *outbox
	local     *outbox // the target and callers
}

func (a *Agent) newOutboxes() *agentBoxes {
	return &agentBoxes{balancers: newOutbox(a.tunnel), local: newOutbox(a.outbound)}
}

func (o *agentBoxes) flush() {
	o.balancers.flush()
	o.local.flush()
}

func (a *Agent) fromBalancer(out *agentBoxes, datagram []byte, from flow.Endpoint) {
	h, packet, err := encap.Decode(datagram)
	if err == nil && h.Kind == encap.KindProbe {
		a.answerProbe(out, from)
		return
	}
	if err != nil || h.Kind != encap.KindForward {
		droppedForeign.Inc()
		return
	}
	p, err := platform.DecodePacket(packet)
	if err != nil {
		droppedUnreadable.Inc()
		return
	}
	now := a.clock.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.Origin != [4]byte{} {
		from.IP = h.Origin // another agent passed the packet on; balancers use one port for their tunnels
	}
	sender := a.balancerAt(from, now)
	a.probeIfSuspect(now)
	switch {
	case h.Service != a.tag && h.Search:
		a.searchOn(out, sender, &h, packet, now)
	case h.Service != a.tag:
		a.giveBack(out, from, h.Attempt, encap.ReasonOtherService, packet, now)
		a.logFlow("flow_of_other_service", p.KeyFromCaller(), "balancer", from, "service", a.config.Service)
	case p.OpensFlow():
		a.offer(out, &h, &p, packet, sender, now)
	default:
		a.pass(out, &h, &p, packet, sender, now)
	}
}

func (a *Agent) header(kind encap.Kind, now time.Duration) encap.Header {
	return encap.Header{
		Kind:          kind,
		Load:          encap.Clamp8(a.gate.Load()),
		Waiting:       encap.Clamp8(a.gate.Waiting()),
		FailedPercent: encap.Percent(a.gate.FailureRatio(now)),
		Silent:        a.gate.Silent(now),
	}
}

// giveBack returns a packet to its balancer.
func (a *Agent) giveBack(out *agentBoxes, to flow.Endpoint, attempt uint8, reason encap.Reason, packet []byte, now time.Duration) {
	h := a.header(encap.KindReturn, now)
	h.Reason, h.Attempt = reason, attempt
	platform.ClearReturned(packet)
	out.balancers.wrap(to, &h, packet)
	returned[reason].Inc()
}

func (a *Agent) fromTarget(out *agentBoxes, datagram []byte) {
	p, err := platform.DecodePacket(datagram)
	if err != nil {
		droppedUnreadable.Inc()
		return
	}
	now := a.clock.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Returned {
		a.returned(out, &p, datagram, now)
	} else {
		key := p.KeyFromTarget()
		p.ResponseStatus = platform.ResponseStatus(platform.Payload(datagram))
		asker, took := a.gate.FromTarget(key, &p, now)
		if p.Reset {
			delete(a.requests, key)
		}
		if took > 0 {
			a.answered(key, p.ResponseStatus, took)
		}
		if asker.IsValid() {
			delete(a.searches, searchKey{flow: key, balancer: a.index[asker]})
			a.found(out, asker, key, now)
		}
		out.local.send(flow.Endpoint{IP: key.Caller.IP, Port: a.config.CallerPort}, datagram)
	}
	a.release(out, now)
}

// returned sends a packet that the target does not take back to the balancer that sent it.
func (a *Agent) returned(out *agentBoxes, p *flow.Packet, packet []byte, now time.Duration) {
	sender, attempt, ok := a.senderOf(platform.Token(packet))
	if !ok {
		droppedToken.Inc()
		return
	}
	key := p.KeyFromCaller()
	a.gate.RecordReturn(key, now)
	search := searchKey{flow: key, balancer: sender}
	if passing, searched := a.searches[search]; searched {
		delete(a.searches, search)
		a.searchOn(out, sender, &passing.header, packet, now)
		return
	}
	a.giveBack(out, a.balancers[sender].address, attempt, encap.ReasonRefused, packet, now)
	a.logFlow("packet_refused_by_target", key, "balancer", a.balancers[sender].address, "load", a.gate.Load())
}

// logFlow writes a line about one flow, as far as the sampler allows.
func (a *Agent) logFlow(event string, key flow.Key, args ...any) {
	skipped, ok := a.config.Sampler.Allow()
	if !ok {
		return
	}
	a.config.Log.Info(event, append([]any{"flow", key.String(), "skipped", skipped}, args...)...)
}
