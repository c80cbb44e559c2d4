package agent

import (
	"net/http"
	"strconv"
)

// serveCaller handles a request from a caller.
func (a *Agent) serveCaller(w http.ResponseWriter, r *http.Request) {
	a.setTargetHeaders(w)
	w.Header().Set(HeaderNextTicket, a.issuer.Issue())
	j, refused := a.newJob(r)
	if refused != nil {
		outcome{refused: refused}.respond(w)
		return
	}
	var out outcome
	if j.atMostOnce {
		out = a.serveAtMostOnce(w, j)
	} else {
		out = a.execute(r.Context(), w, j)
	}
	if r.Context().Err() == nil {
		a.recordOutcome(j.service.ID, out)
	}
	out.respond(w)
}

// setTargetHeaders adds the name and the load of this target to the response.
func (a *Agent) setTargetHeaders(w http.ResponseWriter) {
	snapshot := a.limiter.Snapshot()
	w.Header().Set(HeaderTarget, a.config.Self.Name)
	w.Header().Set(HeaderLoad, strconv.Itoa(snapshot.InProgress)+"/"+strconv.Itoa(snapshot.Limit))
}
