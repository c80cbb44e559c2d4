package agent

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

var errPeerDomainOut = errors.New("failure domain of the peer is out")

// Periods after a failure domain goes out. Traffic into it must stop within 4 s of the rule, which may take a second to
// arrive.
const (
	// handoffGrace is how long requests may continue to run at peers in the domain. Most finish within it.
	handoffGrace = 1500 * time.Millisecond
	// closeIdlePeriod is how long idle connections to peers are closed, since HTTP/2 sends pings on them.
	// Canceled requests release their connections slightly after handoffGrace.
	closeIdlePeriod = handoffGrace + time.Second
)

// outboundHandoffs tracks the running requests that this agent has sent to peers, and cancels those to peers in
// a failure domain that goes out.
type outboundHandoffs struct {
	mu       sync.Mutex
	active   map[*outboundHandoff]struct{}
	outSince map[rules.DomainID]time.Time // when each domain that is out went out
}

// outboundHandoff is a request that runs at a peer.
type outboundHandoff struct {
	control netip.AddrPort
	cancel  context.CancelCauseFunc
}

// track adds a request and returns the function that removes it.
func (p *outboundHandoffs) track(control netip.AddrPort, cancel context.CancelCauseFunc) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active == nil {
		p.active = make(map[*outboundHandoff]struct{})
	}
	handoff := &outboundHandoff{control: control, cancel: cancel}
	p.active[handoff] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.active, handoff)
	}
}

// cancelDomainsOut cancels the requests that still run in failure domains handoffGrace after these went out. It
// reports whether idle connections must be closed.
func (p *outboundHandoffs) cancelDomainsOut(view *fleet.View, service rules.ServiceID, now time.Time) (closeIdle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outSince := make(map[rules.DomainID]time.Time)
	for _, domain := range view.Rules().Domains {
		if !domain.Out {
			continue
		}
		since, known := p.outSince[domain.ID]
		if !known {
			since = now
		}
		outSince[domain.ID] = since
		closeIdle = closeIdle || now.Sub(since) < closeIdlePeriod
	}
	p.outSince = outSince
	targets := view.Targets(service)
	for i := range targets {
		since, out := outSince[targets[i].Domain]
		if out && now.Sub(since) >= handoffGrace {
			p.cancelTo(targets[i].VM.Control)
		}
	}
	return closeIdle
}

func (p *outboundHandoffs) cancelTo(control netip.AddrPort) {
	for handoff := range p.active {
		if handoff.control == control {
			handoff.cancel(errPeerDomainOut)
		}
	}
}
