package ticket

import "net/http"

// Response is what the target answered to a request that ran under a ticket.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Partial says that the body was not kept whole; a retry gets ErrResponseUnavailable.
	Partial bool
}

// size is the cost of a stored answer in bytes.
func (a *Response) size() int {
	n := len(a.Body)
	for key, values := range a.Header {
		for _, value := range values {
			n += len(key) + len(value)
		}
	}
	return n
}
