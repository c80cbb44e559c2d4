package agent

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
)

// Guards against a response that the target truncates but that ends normally for the caller.
func TestTruncatedResponseResetsStream(t *testing.T) {
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "100000")
		}
		_, _ = w.Write(make([]byte, 50000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	r := startTestAgent(t, target)
	for _, path := range []string{"/length", "/chunked"} {
		response, err := r.caller.Do(newRequest(t, http.MethodGet, path, nil))
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		var reset *http3.Error // the reset may arrive before the header
		require.ErrorAs(t, err, &reset)
		require.Equal(t, http3.ErrCodeInternalError, reset.ErrorCode)
	}
}

// Guards against memory use that grows with the length of an upload or a download.
func TestLargeBodiesUseBoundedMemory(t *testing.T) {
	const size = 64 << 20
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Got", fmt.Sprint(n))
		chunk := make([]byte, 64<<10)
		for range size / len(chunk) {
			_, _ = w.Write(chunk)
		}
	})
	r := startTestAgent(t, target)
	request := newRequest(t, http.MethodGet, "/", io.LimitReader(zeros{}, size))
	request.Header.Set(HeaderDeadline, "60000")
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	response, err := r.caller.Do(request)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, n)
	require.Equal(t, fmt.Sprint(size), response.Header.Get("X-Got"))
	runtime.GC()
	runtime.ReadMemStats(&now)
	require.Less(t, int64(now.HeapSys)-int64(before.HeapSys), int64(32<<20), "caller, agent and target are in one process")
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against a body that a failed attempt and the next attempt both read.
func TestBodyHasOneReader(t *testing.T) {
	b := &sharedBody{source: strings.NewReader("paste")}
	first, ok := b.newAttempt()
	require.True(t, ok)
	second, ok := b.newAttempt()
	require.True(t, ok)
	_, err := first.Read(make([]byte, 9))
	require.ErrorIs(t, err, errBodySuperseded)
	whole, err := io.ReadAll(second)
	require.NoError(t, err)
	require.Equal(t, "paste", string(whole))
	_, ok = b.newAttempt()
	require.False(t, ok)
	empty := &sharedBody{source: strings.NewReader("")}
	for range 2 {
		body, ok := empty.newAttempt()
		require.True(t, ok)
		_, err = body.Read(make([]byte, 9))
		require.True(t, errors.Is(err, io.EOF))
	}
}
