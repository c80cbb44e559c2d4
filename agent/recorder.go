package agent

import (
	"net/http"

	"github.com/cowslipward/cowslipward/agent/upstream"
	"github.com/cowslipward/cowslipward/ticket"
)

// recorder forwards a response and keeps a copy of it for retries, up to ticket.MaxResponseBytes. While it keeps a
// copy, the loss of the caller does not end the run.
type recorder struct {
	http.ResponseWriter
	status   int
	header   http.Header
	body     []byte
	tooLarge bool  // the body is too large to store
	writeErr error // error of writing to a caller that was lost
}

func newRecorder(w http.ResponseWriter) *recorder { return &recorder{ResponseWriter: w} }

// WriteHeader forwards the header and keeps a copy.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.header = make(http.Header)
	upstream.CopyHeaders(r.header, r.Header(), headerPrefix)
	r.ResponseWriter.WriteHeader(status)
}

// Write forwards a part of the body and keeps a copy.
func (r *recorder) Write(p []byte) (int, error) {
	if !r.tooLarge && len(r.body)+len(p) > ticket.MaxResponseBytes {
		r.tooLarge, r.body = true, nil
	}
	if !r.tooLarge {
		r.body = append(r.body, p...)
	}
	if r.writeErr == nil {
		_, r.writeErr = r.ResponseWriter.Write(p)
	}
	return len(p), r.callerErr()
}

// Unwrap allows http.ResponseController to set deadlines.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// FlushError sends the data written so far.
func (r *recorder) FlushError() error {
	if r.writeErr == nil {
		r.writeErr = http.NewResponseController(r.ResponseWriter).Flush()
	}
	return r.callerErr()
}

// callerErr returns the error of a lost caller if no copy is kept for retries, so that the run can end.
func (r *recorder) callerErr() error {
	if r.tooLarge {
		return r.writeErr
	}
	return nil
}

func (r *recorder) answer() ticket.Response {
	return ticket.Response{Status: r.status, Header: r.header, Body: r.body, Partial: r.tooLarge}
}

// sendStoredAnswer sends the stored response of a completed run.
func sendStoredAnswer(w http.ResponseWriter, answer *ticket.Response) {
	upstream.CopyHeaders(w.Header(), answer.Header, headerPrefix)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
