package logsink_test

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/logsink"
)

// Guards against logging that blocks while the reader of the log output does not read.
func TestLogNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	sink := logsink.New(writer)
	log := slog.New(slog.NewTextHandler(sink, nil))
	started := time.Now()
	for n := range 10_000 {
		log.Info("flow_decision", "n", n)
	}
	require.Less(t, time.Since(started), 2*time.Second)
	require.Greater(t, sink.Dropped(), uint64(9000))
	sink.Close(10 * time.Millisecond)
	_ = reader.Close()
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func TestLinesAreWrittenWholeAndInOrder(t *testing.T) {
	out := &lockedBuffer{}
	sink := logsink.New(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := sink.Write([]byte(line))
		require.NoError(t, err)
	}
	sink.Close(time.Second)
	require.Equal(t, "a\nb\nc\n", out.b.String())
}

func TestSamplerReportsSkippedLines(t *testing.T) {
	sampler := logsink.NewSampler(5)
	passed := 0
	for range 100 {
		if _, ok := sampler.Allow(); ok {
			passed++
		}
	}
	require.Equal(t, 5, passed)
	require.Eventually(t, func() bool {
		skipped, ok := sampler.Allow()
		return ok && skipped >= 95
	}, time.Second, 10*time.Millisecond)
}
