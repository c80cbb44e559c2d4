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
	"github.com/cowslipward/cowslipward/loadcontrol"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/targetgate"
)

// AgentConfig configures an Agent.
type AgentConfig struct {
	Service    string         // service of the target on this VM
	Target     netip.AddrPort // address at which the target receives packets
	Outbound   netip.AddrPort // address to which the target sends its packets
	Tunnel     netip.AddrPort // address for packets from and to balancers
	CallerPort uint16         // port on which callers receive packets
	Log        *slog.Logger
	Sampler    *logsink.Sampler
	Outcomes   *burn.Recorder[string] // request outcomes by service
	// LoadControl applies to the target if its service is selected. The zero value is off.
	LoadControl loadcontrol.Settings
	// ResetEndedFlows makes the agent reset the flows of its target when it learns that the target has lost them.
	ResetEndedFlows bool
	// FlowTTL is the age from which the target may discard a flow.
	FlowTTL time.Duration
}

const (
	// reportInterval is the interval at which an agent reports to the balancers that send to it. With more
	// than alternateReportsAbove of them, each gets a report in every second interval, which is still shorter
	// than the time after which balancers consider an agent silent.
	reportInterval        = 200 * time.Millisecond
	alternateReportsAbove = 50
	// balancerIdleTimeout is how long an agent keeps reporting to a balancer after its last packet.
	balancerIdleTimeout = time.Second
	// queuePollInterval is how often the queues are checked, in addition to each event that frees a slot.
	queuePollInterval = 20 * time.Millisecond
	// maxBalancers bounds the balancers that an agent tracks: a token has 12 bits for the balancer's index.
	maxBalancers = 1 << 12
)

// Agent forwards packets between balancers, its target and callers.
type Agent struct {
	config      AgentConfig
	serviceTag  uint32
	target      flow.Endpoint
	tunnel      *udpbatch.Conn
	outbound    *udpbatch.Conn
	clock       clock
	incarnation uint32 // distinguishes tokens of this process from those of its predecessor

	mu             sync.Mutex
	gate           *targetgate.Gate
	balancers      []balancerPeer
	balancerIndex  map[flow.Endpoint]int
	queuedSYNs     map[flow.Key]queuedSYN      // SYNs of new flows that wait for a slot
	queuedRequests map[flow.Key]*queuedRequest // requests that wait for a slot
	searches       map[searchKey]encap.Header  // that the target has not answered
	overload       overloadStatus
	targetFailing  bool           // balancers avoid the target because it fails too many requests
	loggedLimit    int            // limit of the target that was last logged
	repeated       encap.Capacity // to be repeated in the next report
	probing        bool
	lastProbe      time.Duration
	timerArmed     bool // the timer that polls the queues is running
	timerOutboxes  *agentOutboxes
	ended          endedFlows
	closeOnce      sync.Once
	closed         chan struct{}
}

// OpenAgent returns an agent whose sockets are bound. Run starts it.
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
		config:         c,
		serviceTag:     directory.NameHash(c.Service),
		target:         flow.EndpointOf(c.Target),
		tunnel:         tunnel,
		outbound:       outbound,
		clock:          newClock(),
		incarnation:    rand.Uint32N(1<<12-1) + 1,
		gate:           targetgate.New(),
		balancerIndex:  make(map[flow.Endpoint]int),
		queuedSYNs:     make(map[flow.Key]queuedSYN),
		queuedRequests: make(map[flow.Key]*queuedRequest),
		searches:       make(map[searchKey]encap.Header),
		closed:         make(chan struct{}),
	}
	a.gate.BeginRecovery()
	a.gate.SetLoadControl(c.LoadControl, c.Service)
	if c.ResetEndedFlows {
		a.gate.ReportEndedFlows(c.FlowTTL)
	}
	a.timerOutboxes = a.newOutboxes()
	return a, nil
}

// Run forwards packets until Close is called.
func (a *Agent) Run() {
	var group sync.WaitGroup
	group.Go(func() {
		out := a.newOutboxes()
		readLoop(a.tunnel, func(d []byte, from flow.Endpoint) { a.handleBalancerDatagram(out, d, from) }, out.flush, a.config.Log)
	})
	group.Go(func() {
		out := a.newOutboxes()
		readLoop(a.outbound, func(d []byte, _ flow.Endpoint) { a.handleTargetDatagram(out, d) }, out.flush, a.config.Log)
	})
	group.Go(a.sendReports)
	if a.config.ResetEndedFlows {
		group.Go(a.watchTarget)
	}
	group.Wait()
}

// Close closes the sockets and makes Run return.
func (a *Agent) Close() {
	a.closeOnce.Do(func() { close(a.closed) })
	_ = a.tunnel.Close()
	_ = a.outbound.Close()
}

// agentOutboxes holds the outboxes for datagrams to balancers and to the target and callers.
type agentOutboxes struct {
	balancers *outbox
	local     *outbox // to the target and to callers
}

func (a *Agent) newOutboxes() *agentOutboxes {
	return &agentOutboxes{balancers: newOutbox(a.tunnel), local: newOutbox(a.outbound)}
}

func (o *agentOutboxes) flush() {
	o.balancers.flush()
	o.local.flush()
}

func (a *Agent) handleBalancerDatagram(out *agentOutboxes, datagram []byte, from flow.Endpoint) {
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
		from.IP = h.Origin // forwarded by another agent; all balancers use the same tunnel port
	}
	sender := a.registerBalancer(from, now)
	a.probeIfSuspect(now)
	switch {
	case h.Service != a.serviceTag && h.Search:
		a.continueSearch(out, sender, &h, packet, now)
	case h.Service != a.serviceTag:
		a.returnPacket(out, from, h.Attempt, encap.ReasonOtherService, packet, now)
		a.logFlow("flow_of_other_service", p.KeyFromCaller(), "balancer", from, "service", a.config.Service)
	case p.OpensFlow():
		a.handleNewFlow(out, &h, &p, packet, sender, now)
	default:
		a.handleOpenFlow(out, &h, &p, packet, sender, now)
	}
}

func (a *Agent) statusHeader(kind encap.Kind, now time.Duration) encap.Header {
	h := encap.Header{
		Kind:          kind,
		Load:          encap.Clamp8(a.gate.Load()),
		Waiting:       encap.Clamp8(a.gate.Waiting()),
		FailedPercent: encap.Percent(a.gate.FailureRatio(now)),
		Silent:        a.gate.Silent(now),
	}
	if kind == encap.KindReport && a.gate.ReportsWait() {
		h.Capacity.WaitCode = encap.WaitCode(a.gate.ReportedWait(now))
	}
	return h
}

// reportHeader returns the header of the next periodic report. It has the learned capacity if it is due, which answers to
// single balancers do not: the others would miss it.
func (a *Agent) reportHeader(now time.Duration) encap.Header {
	h := a.statusHeader(encap.KindReport, now)
	wait := h.Capacity.WaitCode
	h.Capacity = a.nextCapacity(now)
	h.Capacity.WaitCode = wait
	return h
}

// returnPacket returns a packet to its balancer with the reason why the target does not take it.
func (a *Agent) returnPacket(out *agentOutboxes, to flow.Endpoint, attempt uint8, reason encap.Reason, packet []byte, now time.Duration) {
	h := a.statusHeader(encap.KindReturn, now)
	h.Reason, h.Attempt = reason, attempt
	platform.ClearReturned(packet)
	out.balancers.sendEncapsulated(to, &h, packet)
	returnedPackets[reason].Inc()
}

func (a *Agent) handleTargetDatagram(out *agentOutboxes, datagram []byte) {
	p, err := platform.DecodePacket(datagram)
	if err != nil {
		droppedUnreadable.Inc()
		return
	}
	now := a.clock.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Returned {
		a.handleReturned(out, &p, datagram, now)
	} else {
		key := p.KeyFromTarget()
		p.ResponseStatus = platform.ResponseStatus(platform.Payload(datagram))
		searcher, latency := a.gate.FromTarget(key, &p, now)
		if p.Reset {
			delete(a.queuedRequests, key)
		}
		if latency > 0 {
			a.recordResponse(key, p.ResponseStatus, latency)
		}
		if searcher.IsValid() {
			delete(a.searches, searchKey{flow: key, balancer: a.balancerIndex[searcher]})
			a.sendFound(out, searcher, key, now)
		}
		out.local.send(flow.Endpoint{IP: key.Caller.IP, Port: a.config.CallerPort}, datagram)
	}
	a.releaseQueued(out, now)
}

// handleReturned handles a packet that the target rejected: it returns the packet to the balancer that sent
// it or, if the balancer searches for the flow, continues the search.
func (a *Agent) handleReturned(out *agentOutboxes, p *flow.Packet, packet []byte, now time.Duration) {
	sender, attempt, valid := a.decodeToken(platform.Token(packet))
	if !valid {
		droppedUnknownToken.Inc()
		return
	}
	key := p.KeyFromCaller()
	a.checkPause(now)
	a.gate.RecordReturn(key, now)
	a.logProofs()
	a.resetEndedFlows(now)
	search := searchKey{flow: key, balancer: sender}
	if h, found := a.searches[search]; found {
		delete(a.searches, search)
		a.continueSearch(out, sender, &h, packet, now)
		return
	}
	a.returnPacket(out, a.balancers[sender].address, attempt, encap.ReasonRefused, packet, now)
	a.logFlow("packet_refused_by_target", key, "balancer", a.balancers[sender].address, "load", a.gate.Load())
}

// logFlow logs an event of one flow, unless the sampler's rate limit is exceeded.
func (a *Agent) logFlow(event string, key flow.Key, args ...any) {
	skipped, ok := a.config.Sampler.Allow()
	if !ok {
		return
	}
	a.config.Log.Info(event, append([]any{"flow", key.String(), "skipped", skipped}, args...)...)
}
