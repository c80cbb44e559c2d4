package ticket

import "net/http"

// Response is the target's response to a request that ran with a ticket.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Partial means that the body is incomplete. Such a response is not stored, and a retry gets
	// ErrResponseUnavailable.
	Partial bool
}

// size returns the size of the headers and the body in bytes.
func (a *Response) size() int {
	n := len(a.Body)
	for key, values := range a.Header {
		for _, value := range values {
			n += len(key) + len(value)
		}
	}
	return n
}
