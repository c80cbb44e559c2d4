// Package logsink writes log lines without ever holding up the code that logs: lines queue up to a bound, one goroutine
// writes them, and what does not fit is counted and dropped.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// queueLines bounds the lines that wait to be written.
const queueLines = 256

// reportPeriod is how often the number of dropped lines is written.
const reportPeriod = 5 * time.Second

// Sink is a writer that never blocks. Each Write is one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stopped chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), stopped: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line. It drops the line where the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	held := append([]byte(nil), line...)
	select {
	case s.lines <- held:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits, for as long as the writer takes it within the limit. No Write may follow.
func (s *Sink) Close(limit time.Duration) {
	close(s.lines)
	select {
	case <-s.stopped:
	case <-time.After(limit):
	}
}

// run writes lines, several at once where several wait.
func (s *Sink) run() {
	defer close(s.stopped)
	var reported uint64
	reportedAt := time.Now()
	for line := range s.lines {
		line = s.gather(line)
		if n := s.dropped.Load(); n != reported && time.Since(reportedAt) > reportPeriod {
			line = fmt.Appendf(line, "level=WARN msg=log_lines_dropped count=%d\n", n-reported)
			reported, reportedAt = n, time.Now()
		}
		_, _ = s.out.Write(line) // there is nowhere to report that standard output is closed
	}
}

// gather appends the lines that wait already, so that a burst costs one system call.
func (s *Sink) gather(line []byte) []byte {
	for {
		select {
		case next, open := <-s.lines:
			if !open {
				return line
			}
			line = append(line, next...)
		default:
			return line
		}
	}
}

// Sampler lets a bounded number of lines a second pass and counts the others.
type Sampler struct {
	limiter *rate.Limiter
	skipped atomic.Uint64
}

// NewSampler returns a sampler for lines a second.
func NewSampler(lines float64) *Sampler {
	return &Sampler{limiter: rate.NewLimiter(rate.Limit(lines), max(1, int(lines)))}
}

// Allow reports whether a line may be written. skipped is the number of lines that were held back since the last.
func (s *Sampler) Allow() (skipped uint64, ok bool) {
	if !s.limiter.Allow() {
		s.skipped.Add(1)
		return 0, false
	}
	return s.skipped.Swap(0), true
}
