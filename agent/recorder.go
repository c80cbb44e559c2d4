package agent

import (
	"net/http"

	"github.com/cowslipward/cowslipward/agent/upstream"
	"github.com/cowslipward/cowslipward/ticket"
)

// recorder passes an answer on and keeps a copy of it for retries, up to ticket.MaxResponseBytes. While it keeps a
// copy, a caller that is gone does not end the run.
type recorder struct {
	http.ResponseWriter
	status  int
	header  http.Header
	body    []byte
	partial bool  // the body is too large to keep
	lost    error // the caller is gone
}

func newRecorder(w http.ResponseWriter) *recorder { return &recorder{ResponseWriter: w} }

// WriteHeader passes the header on and keeps it.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.header = make(http.Header)
	upstream.CopyHeaders(r.header, r.Header(), headerPrefix)
	r.ResponseWriter.WriteHeader(status)
}

// Write passes a piece of the body on and keeps it.
func (r *recorder) Write(p []byte) (int, error) {
	if !r.partial && len(r.body)+len(p) > ticket.MaxResponseBytes {
		r.partial, r.body = true, nil
	}
	if !r.partial {
		r.body = append(r.body, p...)
	}
	if r.lost == nil {
		_, r.lost = r.ResponseWriter.Write(p)
	}
	return len(p), r.failure()
}

// Unwrap lets http.ResponseController set deadlines.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// FlushError sends what was written.
func (r *recorder) FlushError() error {
	if r.lost == nil {
		r.lost = http.NewResponseController(r.ResponseWriter).Flush()
	}
	return r.failure()
}

// failure returns the error of a caller that is gone, once there is no use in going on.
func (r *recorder) failure() error {
	if r.partial {
		return r.lost
	}
	return nil
}

func (r *recorder) answer() ticket.Response {
	return ticket.Response{Status: r.status, Header: r.header, Body: r.body, Partial: r.partial}
}

// sendStored sends the answer of a run that has ended.
func sendStored(w http.ResponseWriter, answer *ticket.Response) {
	upstream.CopyHeaders(w.Header(), answer.Header, headerPrefix)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
