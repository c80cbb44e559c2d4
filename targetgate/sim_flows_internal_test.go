package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// sendRequest starts the next attempt of a request, on an open flow or a new one.
func (r *overloadRun) sendRequest(request *simRequest) {
	if request.ended != 0 {
		return
	}
	request.attempts++
	if request.attempts == 1 && r.rng.Float64() < request.kind.openFlows {
		s := r.servers[r.rng.IntN(len(r.servers))]
		if len(s.opened) > 0 {
			key := s.opened[0]
			s.opened = s.opened[1:]
			a := r.flows[key]
			a.request, a.number, a.sent, a.over, a.serving = request, a.number+1, r.now, false, false
			r.after(r.roundTrip/2, func() { r.deliver(a) })
			return
		}
	}
	r.nextPort++
	a := &attempt{request: request, sent: r.now, key: flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{10, 0, 0, byte(request.caller)}, Port: uint16(r.nextPort)},
		Service: flow.Endpoint{IP: [4]byte{198, 18, 0, request.kind.name[0]}, Port: 443},
	}}
	r.flows[a.key] = a
	for number := range retransmissionAge {
		r.after(retransmissionAge[number]+r.roundTrip/2, func() { r.place(a, number) })
	}
	r.after(1400*ms, func() { r.retry(a) })
}

// retry ends an attempt that has not opened its flow, and starts the next one.
func (r *overloadRun) retry(a *attempt) {
	if a.over || a.open {
		return
	}
	a.over = true
	if a.request.attempts > 2 {
		r.finish(a.request, false)
		return
	}
	r.after(ms, func() { r.sendRequest(a.request) })
}

func (r *overloadRun) finish(request *simRequest, answered bool) {
	if request.ended != 0 {
		return
	}
	request.ended = r.now
	if answered {
		request.answered = r.now
	}
}

func (r *overloadRun) offer(a *attempt, s *server, number int, last bool) bool {
	rate := 0.0
	if r.coldRate != nil {
		rate = r.coldRate(s.index, r.now-runStart)
	}
	k := a.request.kind
	verdict, reason := s.gate.Offer(&Offer{
		Key: a.key, Retransmission: number, Last: last, Slots: r.slots, ColdRate: rate, Priority: k.priority, LatencyObjective: k.objective,
	}, r.now)
	if reason == encap.ReasonOverloaded {
		s.overloaded = r.now
	}
	if verdict == Refuse {
		return false
	}
	a.target = s
	if verdict == Accept {
		r.openFlow(a)
	}
	return true
}

// place offers a flow to targets, resets it or leaves it to the next SYN.
func (r *overloadRun) place(a *attempt, number int) {
	if a.over || a.open || a.target != nil {
		return
	}
	order := r.rng.Perm(len(r.servers))
	tried := order[:min(8, len(order))]
	if r.policy != nil {
		tried = order[:3]
	}
	best := 0
	for i, index := range tried {
		if r.offer(a, r.servers[index], number, false) {
			return
		}
		if r.servers[index].load < r.servers[tried[best]].load {
			best = i
		}
	}
	if r.policy == nil {
		if !r.offer(a, r.servers[tried[best]], number, true) && number == 2 {
			r.reset(a)
		}
		return
	}
	tried[0], tried[best] = tried[best], tried[0]
	for _, index := range tried {
		if r.offer(a, r.servers[index], number, true) {
			return
		}
	}
	overloaded := 0
	for _, s := range r.servers {
		if s.overloaded > 0 && r.now-s.overloaded < 500*ms {
			overloaded++
		}
	}
	if 4*overloaded >= 3*len(r.servers) || number == 2 {
		r.reset(a)
	}
}

func (r *overloadRun) reset(a *attempt) { r.after(r.roundTrip/2, func() { r.retry(a) }) }

// openFlow lets the target acknowledge the SYN of a flow, and the caller send the request.
func (r *overloadRun) openFlow(a *attempt) {
	a.open = true
	a.target.gate.FromTarget(a.key, &flow.Packet{Syn: true, AckFlag: true}, r.now)
	r.after(r.roundTrip, func() { r.deliver(a) })
}

func (r *overloadRun) deliver(a *attempt) {
	left := a.request.sent + a.request.kind.deadline - a.sent
	_, action := a.target.gate.FromCaller(a.key, &flow.Packet{
		Seq: uint32(1 + 100*a.number), AckFlag: true, DataLen: 100, Ack: 1 + uint32(500*a.number), Budget: left,
	}, flow.Endpoint{}, r.now)
	if action == ActionStartRequest {
		r.serve(a)
	}
}

func (r *overloadRun) serve(a *attempt) {
	if a.serving {
		return
	}
	a.serving = true
	if a.request.attempts > 1 {
		a.request.retries++
	}
	work := a.request.kind.work.Seconds() * (0.5 + 0.5*r.rng.ExpFloat64())
	if r.rng.Float64() < r.longShare {
		work *= 7
	}
	duration := time.Duration(work / r.speed(a.target.index, r.now) * float64(time.Second))
	r.after(duration, func() { r.answer(a) })
}

func (r *overloadRun) answer(a *attempt) {
	s := a.target
	s.gate.FromTarget(a.key, &flow.Packet{AckFlag: true, Seq: 1 + uint32(500*a.number), DataLen: 500}, r.now)
	a.over = true
	r.after(r.roundTrip/2, func() { r.finish(a.request, true) })
	if a.request.kind.openFlows > 0 {
		s.opened = append(s.opened, a.key)
	}
	r.release(s)
}

func (r *overloadRun) release(s *server) {
	for {
		key, ok := s.gate.NextRequest(r.now)
		if !ok {
			break
		}
		r.serve(r.flows[key])
	}
	for {
		key, ok := s.gate.NextFlow(r.now)
		if !ok {
			return
		}
		r.openFlow(r.flows[key])
	}
}
