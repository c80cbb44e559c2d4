package agent

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/agent/upstream"
)

// copyBufferBytes is the size of the buffer through which a body is copied. It bounds the memory of a large
// transfer.
const copyBufferBytes = 16 << 10

// smallBodyBytes is the largest stated body length for which the header is not flushed on its own, so that
// header and body are sent together.
const smallBodyBytes = 4096

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// errAnswerTruncated is the error of a response that the target or the peer did not complete.
var errAnswerTruncated = errors.New("response truncated")

// sendAnswer streams a response to the caller, without the headers that begin with skipPrefix.
func sendAnswer(w http.ResponseWriter, response *http.Response, skipPrefix string) error {
	upstream.CopyHeaders(w.Header(), response.Header, skipPrefix)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}

func copyBody(w http.ResponseWriter, response *http.Response) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	out := &flushWriter{ResponseWriter: w, stallTimeout: writeStallTimeout}
	out.flush = response.ContentLength < 0 || response.ContentLength > smallBodyBytes
	if _, err := out.Write(nil); err != nil {
		return err
	}
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 {
			if _, err := out.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("%w: %w", errAnswerTruncated, readErr)
		}
	}
}

// writeStallTimeout is how long a caller may go without reading any of a response. Without a bound, a caller
// that stops reading would occupy the target's slot forever, since keep-alives keep its connection open.
const writeStallTimeout = 30 * time.Second

// flushWriter can flush after each write, so that events of a stream are sent without waiting for later ones.
type flushWriter struct {
	http.ResponseWriter
	flush        bool
	stallTimeout time.Duration
}

// Write writes p and, if flush is set, flushes. An empty write then sends the header.
func (f *flushWriter) Write(p []byte) (int, error) {
	control := http.NewResponseController(f.ResponseWriter)
	_ = control.SetWriteDeadline(time.Now().Add(f.stallTimeout))
	if len(p) > 0 {
		if n, err := f.ResponseWriter.Write(p); err != nil {
			return n, err
		}
	}
	if !f.flush {
		return len(p), nil
	}
	return len(p), control.Flush()
}

func mediaType(header string) string {
	kind, _, err := mime.ParseMediaType(header)
	if err != nil {
		return ""
	}
	return kind
}
