package forward

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

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
}

const (
	// reportPeriod is how often an agent reports to the balancers that send to it.
	reportPeriod = 200 * time.Millisecond
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
	parked    map[flow.Key]parked
	searches  map[searchKey]passingSearch
	probing   bool
	probed    time.Duration
	armed     bool // the timer for flows that wait runs
	timerOut  *agentBoxes
	closed    chan struct{}
}

// balancer is a sender of packets.
type balancer struct {
	address flow.Endpoint
	seen    time.Duration
}

// searchKey identifies a search that passes this agent: the flow and the balancer that searches it.
type searchKey struct {
	flow     flow.Key
	balancer int
}

// passingSearch is a search whose packet was given to the target.
type passingSearch struct {
	header encap.Header
	packet []byte // kept where the target was not heard of lately
}

// maxSearches bounds the searches that an agent remembers. It forgets all of them beyond that; callers send their
// packets again.
const maxSearches = 4096

// parked is the SYN of a flow that waits.
type parked struct {
	packet   [platform.HeaderBytes]byte
	balancer int
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
		tag:      directory.ServiceTag(c.Service),
		target:   flow.EndpointOf(c.Target),
		tunnel:   tunnel,
		outbound: outbound,
		clock:    newClock(),
		boot:     rand.Uint32N(1<<12-1) + 1,
		gate:     targetgate.New(),
		index:    make(map[flow.Endpoint]int),
		parked:   make(map[flow.Key]parked),
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
	close(a.closed)
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

// token marks packets on their way to the target, so that a returned one leads back to its balancer.
func (a *Agent) token(balancer int, attempt uint8) uint32 {
	return a.boot<<20 | uint32(balancer)<<8 | uint32(attempt)
}

// senderOf reads a token. It reports false for a token of another process.
func (a *Agent) senderOf(token uint32) (balancer int, attempt uint8, ok bool) {
	balancer = int(token >> 8 & (maxBalancers - 1))
	return balancer, uint8(token), token>>20 == a.boot && balancer < len(a.balancers)
}

// balancerAt returns the index of a balancer, a new one where it is not known.
func (a *Agent) balancerAt(address flow.Endpoint, now time.Duration) int {
	i, known := a.index[address]
	if !known {
		i = a.freeIndex(now)
		delete(a.index, a.balancers[i].address)
		a.index[address] = i
	}
	a.balancers[i] = balancer{address: address, seen: now}
	return i
}

// freeIndex returns an index for a new balancer. Where all are taken, the one that was silent for longest goes.
func (a *Agent) freeIndex(now time.Duration) int {
	if len(a.balancers) < maxBalancers {
		a.balancers = append(a.balancers, balancer{})
		return len(a.balancers) - 1
	}
	oldest := 0
	for i := range a.balancers {
		if a.balancers[i].seen < a.balancers[oldest].seen {
			oldest = i
		}
	}
	return oldest
}

func (a *Agent) fromBalancer(out *agentBoxes, datagram []byte, from flow.Endpoint) {
	h, packet, err := encap.Decode(datagram)
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
	case h.Service != a.tag && h.Searches:
		a.searchOn(out, sender, &h, packet, now)
	case h.Service != a.tag:
		a.giveBack(out, from, h.Attempt, encap.ReasonOtherService, packet, now)
		a.logFlow("flow_of_other_service", p.FromCaller(), "balancer", from, "service", a.config.Service)
	case p.Opens():
		a.offer(out, &h, &p, packet, sender, now)
	default:
		a.pass(out, &h, &p, packet, sender, now)
	}
}

// offer decides about a new flow.
func (a *Agent) offer(out *agentBoxes, h *encap.Header, p *flow.Packet, packet []byte, sender int, now time.Duration) {
	key := p.FromCaller()
	verdict, reason := a.gate.Offer(&targetgate.Offer{
		Key:      key,
		Copy:     p.Copy,
		Last:     h.Last,
		Slots:    int(h.Slots),
		ColdRate: float64(h.ColdRate) / 10,
		Priority: h.Priority,
		Aim:      time.Duration(h.Aim) * time.Millisecond,
		Held:     time.Duration(h.Held) * time.Millisecond,
	}, now)
	newFlows[verdict].Inc()
	switch verdict {
	case targetgate.Accept:
		a.toTarget(out, packet, a.token(sender, h.Attempt))
	case targetgate.Refuse:
		a.giveBack(out, a.balancers[sender].address, h.Attempt, reason, packet, now)
	case targetgate.Wait:
		held := parked{balancer: sender}
		copy(held.packet[:], packet)
		a.parked[key] = held
		a.armTimer()
	}
	a.logFlow("flow_offered", key, "verdict", verdict.String(), "reason", reason.String(), "copy", p.Copy,
		"load", a.gate.Load(), "slots", a.gate.Slots(), "waiting", a.gate.Waiting(), "balancer", a.balancers[sender].address)
}

// pass hands a packet of an open flow to the target.
func (a *Agent) pass(out *agentBoxes, h *encap.Header, p *flow.Packet, packet []byte, sender int, now time.Duration) {
	asker := flow.Endpoint{}
	key := p.FromCaller()
	switch {
	case a.gate.Down() && h.Searches:
		a.searchOn(out, sender, h, packet, now)
		return
	case a.gate.Down():
		a.giveBack(out, a.balancers[sender].address, h.Attempt, encap.ReasonSilent, packet, now)
		return
	case h.Searches:
		asker = a.balancers[sender].address
		a.rememberSearch(searchKey{flow: key, balancer: sender}, h, packet, now)
		a.gate.Asked(now)
	}
	known, begins := a.gate.FromCaller(key, p, asker, now)
	if begins {
		a.logFlow("request_forwarded", key, "request", platform.RequestID(platform.Payload(packet)), "load", a.gate.Load(),
			"balancer", a.balancers[sender].address)
	}
	if h.Searches {
		a.logFlow("flow_searched", key, "request", platform.RequestID(platform.Payload(packet)), "known", known,
			"attempt", h.Attempt, "balancer", asker)
	}
	if known && h.Searches {
		a.found(out, asker, key, now)
	}
	a.toTarget(out, packet, a.token(sender, h.Attempt))
}

func (a *Agent) toTarget(out *agentBoxes, packet []byte, token uint32) {
	platform.SetToken(packet, token)
	out.local.send(a.target, packet)
}

func (a *Agent) rememberSearch(key searchKey, h *encap.Header, packet []byte, now time.Duration) {
	if len(a.searches) >= maxSearches {
		clear(a.searches)
	}
	passing := passingSearch{header: *h}
	if a.gate.Quiet(quietLimit, now) {
		passing.packet = bytes.Clone(packet)
	}
	a.searches[key] = passing
}

// searchOn passes a packet whose flow the target does not hold to the next agent of the search, or back to the balancer
// where there is none.
func (a *Agent) searchOn(out *agentBoxes, sender int, h *encap.Header, packet []byte, now time.Duration) {
	platform.ClearReturned(packet)
	origin := a.balancers[sender].address
	next, more := h.Path.Next()
	if !more {
		answer := a.header(encap.KindReturn, now)
		answer.Reason, answer.Searches, answer.Round = encap.ReasonRefused, true, h.Round
		out.balancers.wrap(origin, &answer, packet)
		return
	}
	h.Origin = origin.IP
	h.Attempt++
	out.balancers.wrap(flow.Endpoint{IP: next, Port: a.config.Tunnel.Port()}, h, packet)
}

// found tells a balancer that the target holds a flow.
func (a *Agent) found(out *agentBoxes, to flow.Endpoint, key flow.Key, now time.Duration) {
	h := a.header(encap.KindFound, now)
	out.balancers.wrapOwned(to, &h, platform.AppendReset(nil, key.Reversed(), 0))
}

func (a *Agent) header(kind encap.Kind, now time.Duration) encap.Header {
	return encap.Header{
		Kind:    kind,
		Load:    encap.Clamp8(a.gate.Load()),
		Waiting: encap.Clamp8(a.gate.Waiting()),
		Silent:  a.gate.Silent(now),
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
		key := p.FromTarget()
		asker, took := a.gate.FromTarget(key, &p, now)
		if took > 0 {
			a.answered(key, platform.AnswerStatus(platform.Payload(datagram)), took)
		}
		if asker.IsValid() {
			delete(a.searches, searchKey{flow: key, balancer: a.index[asker]})
			a.found(out, asker, key, now)
		}
		out.local.send(flow.Endpoint{IP: key.Caller.IP, Port: a.config.CallerPort}, datagram)
	}
	a.release(out, now)
}

// answered counts the first bytes of an answer.
func (a *Agent) answered(key flow.Key, status int, took time.Duration) {
	answerTime.Update(took.Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowslip_answers_total{class="%dxx"}`, status/100)).Inc()
	if status >= 500 || took > slowAnswer {
		a.logFlow("request_answered", key, "status", status, "took", took, "load", a.gate.Load())
	}
}

// slowAnswer is the time of a request above which its answer is logged.
const slowAnswer = 500 * time.Millisecond

// returned sends a packet that the target does not take back to the balancer that sent it.
func (a *Agent) returned(out *agentBoxes, p *flow.Packet, packet []byte, now time.Duration) {
	sender, attempt, ok := a.senderOf(platform.Token(packet))
	if !ok {
		droppedToken.Inc()
		return
	}
	key := p.FromCaller()
	a.gate.Returned(key, now)
	search := searchKey{flow: key, balancer: sender}
	if passing, searched := a.searches[search]; searched {
		delete(a.searches, search)
		a.searchOn(out, sender, &passing.header, packet, now)
		return
	}
	a.giveBack(out, a.balancers[sender].address, attempt, encap.ReasonRefused, packet, now)
	a.logFlow("packet_refused_by_target", key, "balancer", a.balancers[sender].address, "load", a.gate.Load())
}

// release hands flows that waited to the target while it has room.
func (a *Agent) release(out *agentBoxes, now time.Duration) {
	for {
		key, ok := a.gate.Next(now)
		if !ok {
			break
		}
		held, known := a.parked[key]
		if !known {
			continue
		}
		delete(a.parked, key)
		platform.SetToken(held.packet[:], a.token(held.balancer, 0))
		out.local.sendOwned(a.target, held.packet[:])
		a.logFlow("flow_released", key, "load", a.gate.Load(), "waiting", a.gate.Waiting())
	}
	if a.gate.Waiting() == 0 {
		clear(a.parked)
		return
	}
	a.armTimer()
}

// armTimer looks at the flows that wait again a little later.
func (a *Agent) armTimer() {
	if a.armed {
		return
	}
	a.armed = true
	time.AfterFunc(waitCheck, a.checkWaiting)
}

func (a *Agent) checkWaiting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.armed = false
	a.release(a.timerOut, a.clock.now())
	a.timerOut.flush()
}

// report tells the balancers that send to this agent of the work of its target.
func (a *Agent) report() {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	out := a.newOutboxes()
	for {
		select {
		case <-a.closed:
			return
		case <-ticker.C:
		}
		now := a.clock.now()
		a.mu.Lock()
		a.gate.Expire(now)
		a.probeIfSuspect(now)
		h := a.header(encap.KindReport, now)
		for i := range a.balancers {
			if now-a.balancers[i].seen < balancerIdle {
				out.balancers.wrap(a.balancers[i].address, &h, nil)
			}
		}
		a.mu.Unlock()
		out.flush()
	}
}

// logFlow writes a line about one flow, as far as the sampler allows.
func (a *Agent) logFlow(event string, key flow.Key, args ...any) {
	skipped, ok := a.config.Sampler.Allow()
	if !ok {
		return
	}
	a.config.Log.Info(event, append([]any{"flow", key.String(), "skipped", skipped}, args...)...)
}

var (
	answerTime   = metrics.NewHistogram("cowslip_first_answer_seconds")
	droppedToken = metrics.NewCounter(`cowslip_dropped_datagrams_total{cause="unknown_token"}`)
	newFlows     = map[targetgate.Verdict]*metrics.Counter{
		targetgate.Accept: metrics.NewCounter(`cowslip_new_flows_total{verdict="accept"}`),
		targetgate.Refuse: metrics.NewCounter(`cowslip_new_flows_total{verdict="refuse"}`),
		targetgate.Wait:   metrics.NewCounter(`cowslip_new_flows_total{verdict="wait"}`),
	}
	returned = newReturnCounters()
)

func newReturnCounters() map[encap.Reason]*metrics.Counter {
	counters := make(map[encap.Reason]*metrics.Counter)
	for reason := encap.ReasonRefused; reason <= encap.ReasonSilent; reason++ {
		counters[reason] = metrics.NewCounter(fmt.Sprintf("cowslip_returned_packets_total{reason=%q}", reason.String()))
	}
	return counters
}
