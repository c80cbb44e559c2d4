package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/agent/upstream"
	"github.com/cowslipward/cowslipward/internal/peer"
	"github.com/cowslipward/cowslipward/ticket"
)

// Handoffs between agents of a service use this path of the control listener, followed by the path of the request.
const (
	handoffPath = "/handoff"

	headerHandoff = "Cowslip-Handoff"         // kind: handoffBalance or handoffTicket
	headerService = "Cowslip-Handoff-Service" // ID of the service that the caller requested
	headerFrom    = "Cowslip-Handoff-From"    // VM name of the sender
)

// Kinds of handoff, the values of headerHandoff.
const (
	handoffBalance = "balance" // the sender has more load than the receiver
	handoffTicket  = "ticket"  // the receiver issued the ticket
)

// peerDeadlineSlack is how long past the deadline the sender waits, so that it receives the peer's own refusal.
const peerDeadlineSlack = 50 * time.Millisecond

// peerReceiveWindow bounds the memory of a response that a peer sends faster than the caller reads it.
const peerReceiveWindow = 256 << 10

// newPeerClient returns the HTTP client for handoffs.
func newPeerClient(config Config) *http.Client {
	client := peer.NewClient(config.Keys, config.LocalIP)
	if transport, ok := client.Transport.(*http.Transport); ok && transport.HTTP2 != nil {
		transport.HTTP2.MaxReceiveBufferPerStream = peerReceiveWindow
	}
	return client
}

// handOff offers a request to a less loaded peer. It returns false if the request may still run locally.
func (a *Agent) handOff(ctx context.Context, w http.ResponseWriter, j *job, maxWork int) (outcome, bool) {
	if j.fromPeer || j.handoffTried {
		return outcome{}, false
	}
	chosen, ok := a.pool.Pick(maxWork)
	if !ok {
		return outcome{}, false
	}
	body, ok := j.body.newAttempt()
	if !ok {
		return outcome{}, false
	}
	j.handoffTried = true
	out, reached := a.sendToPeer(ctx, w, j, body, chosen.Control, handoffBalance)
	if !reached {
		a.pool.MarkUnreachable(chosen.Name)
	}
	countHandoff(handoffBalance, out, reached)
	return out, !a.mayRunLocally(j, out)
}

// mayRunLocally reports whether a request can run locally after a handoff that got no response: either it did
// not run at the peer, or it is repeatable and its deadline has not passed.
func (a *Agent) mayRunLocally(j *job, out outcome) bool {
	if out.refused == nil || !j.body.isUnread() {
		return false
	}
	if out.refused.outcome == OutcomeNotRun {
		return true
	}
	j.unknownAtPeer = out.refused
	return !j.atMostOnce && time.Now().Before(j.deadline)
}

// forwardToIssuer forwards a request to the agent that issued its ticket. Only that agent can tell whether the
// request has run, so the outcome is unknown if it cannot be reached.
func (a *Agent) forwardToIssuer(w http.ResponseWriter, j *job, t ticket.Ticket) outcome {
	if a.isInDomainOut(j, t.Control) {
		return outcome{refused: unknown(reasonIssuerDomainOut)}
	}
	body, ok := j.body.newAttempt()
	if !ok {
		return outcome{refused: unknown(reasonBodyPartlySent)}
	}
	ctx, release := a.detachFromConnection(j)
	defer release()
	out, reached := a.sendToPeer(ctx, w, j, body, t.Control, handoffTicket)
	countHandoff(handoffTicket, out, reached)
	if !reached {
		return outcome{refused: unknown(reasonIssuerGone)}
	}
	return out
}

// isInDomainOut reports whether the agent with a control address is in a failure domain that is out.
func (a *Agent) isInDomainOut(j *job, control netip.AddrPort) bool {
	view := a.config.Source.View()
	targets := view.Targets(j.service.ID)
	for i := range targets {
		if targets[i].VM.Control == control {
			return view.DomainOut(targets[i].Domain)
		}
	}
	return false
}

// sendToPeer sends a request to another agent, and the response to the caller. It reports whether the other
// agent was reached; if not, the outcome is OutcomeNotRun.
func (a *Agent) sendToPeer(ctx context.Context, w http.ResponseWriter, j *job, body io.ReadCloser,
	control netip.AddrPort, kind string,
) (outcome, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer a.outboundHandoffs.track(control, cancel)()
	timer := time.AfterFunc(time.Until(j.deadline)+peerDeadlineSlack, func() { cancel(context.DeadlineExceeded) })
	var reached atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
	})
	request := a.handoffRequest(j, body, control, kind).WithContext(traced)
	response, err := a.peers.Transport.RoundTrip(request)
	if err != nil && !reached.Load() {
		return outcome{refused: notRun(reasonPeerUnreachable)}, false
	}
	if err != nil || !timer.Stop() {
		return outcome{refused: refusalFromPeerFailure(ctx)}, true
	}
	defer response.Body.Close()
	if peerOutcome := response.Header.Get(HeaderOutcome); peerOutcome != "" {
		reason := response.Header.Get(HeaderReason)
		return outcome{refused: &refusal{status: response.StatusCode, outcome: peerOutcome, reason: reason}}, true
	}
	w.Header().Del(HeaderTarget)
	w.Header().Del(HeaderLoad)
	if err := sendAnswer(w, response, headerHandoff); err != nil {
		return outcome{truncated: true}, true
	}
	return outcome{}, true
}

// refusalFromPeerFailure returns the outcome of a request that was sent to a peer and got no response.
func refusalFromPeerFailure(ctx context.Context) *refusal {
	out := unknown(reasonPeerFailed)
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		out.status, out.reason = http.StatusGatewayTimeout, reasonDeadline
	case errors.Is(context.Cause(ctx), errPeerDomainOut):
		out.reason = reasonDomainOut
	}
	return out
}

func (a *Agent) handoffRequest(j *job, body io.ReadCloser, control netip.AddrPort, kind string) *http.Request {
	target := &url.URL{Scheme: "https", Host: control.String(), RawQuery: j.url.RawQuery}
	target.Path, target.RawPath = handoffPath+j.url.Path, handoffPath+j.url.EscapedPath()
	out := &http.Request{
		Method:        j.request.Method,
		URL:           target,
		Host:          j.request.Host,
		Header:        make(http.Header, len(j.request.Header)+4),
		Body:          body,
		ContentLength: j.contentLength(),
	}
	upstream.CopyHeaders(out.Header, j.request.Header, headerPrefix)
	out.Header.Set(headerHandoff, kind)
	out.Header.Set(headerService, strconv.Itoa(int(j.service.ID)))
	out.Header.Set(headerFrom, a.config.Self.Name)
	out.Header.Set(HeaderDeadline, formatTimeLeft(j.deadline, time.Now()))
	if kind == handoffTicket {
		out.Header.Set(HeaderTicket, j.request.Header.Get(HeaderTicket))
	}
	return out
}

// HandoffHandler returns the URL pattern and the handler for handoffs. Register it on the control listener,
// which requires mutual TLS.
func (a *Agent) HandoffHandler() (string, http.Handler) {
	return handoffPath + "/", http.HandlerFunc(a.serveHandoff)
}

// serveHandoff handles a request that another agent handed off. The request is not handed off again.
func (a *Agent) serveHandoff(w http.ResponseWriter, r *http.Request) {
	a.inboundHandoffs.Add(1)
	defer a.inboundHandoffs.Add(-1)
	a.setTargetHeaders(w)
	j, refused := a.newHandoffJob(r)
	if refused != nil {
		outcome{refused: refused}.respond(w)
		return
	}
	if r.Header.Get(headerHandoff) == handoffTicket {
		a.serveAtMostOnce(w, j).respond(w)
		return
	}
	a.execute(r.Context(), w, j).respond(w)
}

// newHandoffJob verifies that a handoff comes from a peer and is for the service of this agent.
func (a *Agent) newHandoffJob(r *http.Request) (*job, *refusal) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return nil, notRun(reasonInvalidHandoff)
	}
	j, refused := a.newJob(r)
	if refused != nil {
		return nil, refused
	}
	if r.Header.Get(headerService) != strconv.Itoa(int(j.service.ID)) {
		return nil, notRun(reasonWrongService)
	}
	j.fromPeer = true
	j.url = &url.URL{
		Path:     r.URL.Path[len(handoffPath):],
		RawPath:  r.URL.EscapedPath()[len(handoffPath):],
		RawQuery: r.URL.RawQuery,
	}
	return j, nil
}
