package upstream

import (
	"io"
	"net/http"
)

// nonRewindableBody hides the concrete type of a request body from net/http, which may retry a request by itself if the
// body is absent or can be rewound.
type nonRewindableBody struct {
	io.ReadCloser
}

// preventResend returns a body that net/http cannot rewind, even for a request without a body. Otherwise net/http would
// resend a GET, or a POST with an Idempotency-Key header, after the connection closed, although the target may already
// have processed it.
func preventResend(body io.ReadCloser) io.ReadCloser {
	if body == nil {
		body = http.NoBody
	}
	return nonRewindableBody{body}
}
