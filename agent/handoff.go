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

// Handoffs among the agents of a service go to this path of the control listener, followed by the path of the request.
const (
	handoffPath = "/handoff"

	headerHandoff = "Cowslip-Handoff"         // why: handoffBalance or handoffTicket
	headerService = "Cowslip-Handoff-Service" // ID of the service that the caller asked for
	headerFrom    = "Cowslip-Handoff-From"    // VM name of the sender
)

// Values of headerHandoff.
const (
	handoffBalance = "balance" // run it, the sender has more work
	handoffTicket  = "ticket"  // the receiver issued the ticket
)

// peerSlack is how much longer than the deadline the sender waits, so that it learns the receiver's own refusal.
const peerSlack = 50 * time.Millisecond

// peerWindow bounds the memory of an answer that comes from a peer faster than the caller takes it.
const peerWindow = 256 << 10

// newPeerClient returns the client for handoffs.
func newPeerClient(config Config) *http.Client {
	client := peer.NewClient(config.Keys, config.LocalIP)
	if transport, ok := client.Transport.(*http.Transport); ok && transport.HTTP2 != nil {
		transport.HTTP2.MaxReceiveBufferPerStream = peerWindow
	}
	return client
}

// handOver offers a request to a peer with less work. It reports false when the request may still run here.
func (a *Agent) handOver(ctx context.Context, w http.ResponseWriter, j *job, most int) (outcome, bool) {
	if j.handed || j.offered {
		return outcome{}, false
	}
	chosen, ok := a.pool.Pick(most)
	if !ok {
		return outcome{}, false
	}
	body, ok := j.body.take()
	if !ok {
		return outcome{}, false
	}
	j.offered = true
	out, reached := a.passOn(ctx, w, j, body, chosen.Control, handoffBalance)
	if !reached {
		a.pool.MarkUnreachable(chosen.Name)
	}
	countHandoff(handoffBalance, out, reached)
	return out, !a.mayRunHere(j, out)
}

// mayRunHere reports whether a request can run here after a handoff without an answer: it did not run there, or it may be
// repeated and has time left.
func (a *Agent) mayRunHere(j *job, out outcome) bool {
	if out.refused == nil || !j.body.isWhole() {
		return false
	}
	if out.refused.outcome == OutcomeNotRun {
		return true
	}
	j.uncertain = out.refused
	return !j.once && time.Now().Before(j.deadline)
}

// forwardToIssuer passes a request to the agent that issued its ticket. Only that agent knows whether it ran, so that
// the outcome is unknown when it cannot be reached.
func (a *Agent) forwardToIssuer(w http.ResponseWriter, j *job, t ticket.Ticket) outcome {
	if a.isOut(j, t.Control) {
		return outcome{refused: unknown(reasonIssuerOut)}
	}
	body, ok := j.body.take()
	if !ok {
		return outcome{refused: unknown(reasonBodyGone)}
	}
	ctx, release := a.outlive(j)
	defer release()
	out, reached := a.passOn(ctx, w, j, body, t.Control, handoffTicket)
	countHandoff(handoffTicket, out, reached)
	if !reached {
		return outcome{refused: unknown(reasonIssuerGone)}
	}
	return out
}

// isOut reports whether the agent with a control address is in a domain that is out.
func (a *Agent) isOut(j *job, control netip.AddrPort) bool {
	view := a.config.Source.View()
	targets := view.Targets(j.service.ID)
	for i := range targets {
		if targets[i].VM.Control == control {
			return view.DomainOut(targets[i].Domain)
		}
	}
	return false
}

// passOn sends a request to another agent and its answer to the caller. It reports whether the other agent was reached;
// when it was not, the outcome is not run.
func (a *Agent) passOn(ctx context.Context, w http.ResponseWriter, j *job, body io.ReadCloser,
	control netip.AddrPort, why string,
) (outcome, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer a.passings.begin(control, cancel)()
	timer := time.AfterFunc(time.Until(j.deadline)+peerSlack, func() { cancel(context.DeadlineExceeded) })
	var reached atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
	})
	request := a.handoffRequest(j, body, control, why).WithContext(traced)
	response, err := a.peers.Transport.RoundTrip(request)
	if err != nil && !reached.Load() {
		return outcome{refused: notRun(reasonPeerUnreached)}, false
	}
	if err != nil || !timer.Stop() {
		return outcome{refused: failedPeer(ctx)}, true
	}
	defer response.Body.Close()
	if known := response.Header.Get(HeaderOutcome); known != "" {
		reason := response.Header.Get(HeaderReason)
		return outcome{refused: &refusal{status: response.StatusCode, outcome: known, reason: reason}}, true
	}
	w.Header().Del(HeaderTarget)
	w.Header().Del(HeaderLoad)
	if err := sendAnswer(w, response, headerHandoff); err != nil {
		return outcome{cut: true}, true
	}
	return outcome{}, true
}

// failedPeer returns the outcome of a request that went to a peer and got no answer.
func failedPeer(ctx context.Context) *refusal {
	out := unknown(reasonPeerFailed)
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		out.status, out.reason = http.StatusGatewayTimeout, reasonDeadline
	case errors.Is(context.Cause(ctx), errPeerOut):
		out.reason = reasonDomainOut
	}
	return out
}

func (a *Agent) handoffRequest(j *job, body io.ReadCloser, control netip.AddrPort, why string) *http.Request {
	target := &url.URL{Scheme: "https", Host: control.String(), RawQuery: j.url.RawQuery}
	target.Path, target.RawPath = handoffPath+j.url.Path, handoffPath+j.url.EscapedPath()
	out := &http.Request{
		Method:        j.request.Method,
		URL:           target,
		Host:          j.request.Host,
		Header:        make(http.Header, len(j.request.Header)+4),
		Body:          body,
		ContentLength: j.length(),
	}
	upstream.CopyHeaders(out.Header, j.request.Header, headerPrefix)
	out.Header.Set(headerHandoff, why)
	out.Header.Set(headerService, strconv.Itoa(int(j.service.ID)))
	out.Header.Set(headerFrom, a.config.Self.Name)
	out.Header.Set(HeaderDeadline, formatLeft(j.deadline, time.Now()))
	if why == handoffTicket {
		out.Header.Set(HeaderTicket, j.request.Header.Get(HeaderTicket))
	}
	return out
}

// HandoffHandler returns the pattern and the handler of handoffs, for the control listener with mutual TLS.
func (a *Agent) HandoffHandler() (string, http.Handler) {
	return handoffPath + "/", http.HandlerFunc(a.serveHandoff)
}

// serveHandoff handles a request that another agent passed on. It goes no further.
func (a *Agent) serveHandoff(w http.ResponseWriter, r *http.Request) {
	a.handoffs.Add(1)
	defer a.handoffs.Add(-1)
	a.markAnswer(w)
	j, refused := a.newHandedJob(r)
	if refused != nil {
		outcome{refused: refused}.finish(w)
		return
	}
	if r.Header.Get(headerHandoff) == handoffTicket {
		a.serveOnce(w, j).finish(w)
		return
	}
	a.execute(r.Context(), w, j).finish(w)
}

// newHandedJob checks that a handoff comes from a peer and is for the service of this agent.
func (a *Agent) newHandedJob(r *http.Request) (*job, *refusal) {
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
	j.handed = true
	j.url = &url.URL{
		Path:     r.URL.Path[len(handoffPath):],
		RawPath:  r.URL.EscapedPath()[len(handoffPath):],
		RawQuery: r.URL.RawQuery,
	}
	return j, nil
}
