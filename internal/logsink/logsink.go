// Package logsink writes log lines without blocking the code that logs: lines are put into a bounded queue,
// one goroutine writes them, and lines that exceed the queue are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// queueLines is the capacity of the queue in lines.
const queueLines = 256

// reportPeriod is the minimum interval between reports of dropped lines in the output.
const reportPeriod = 5 * time.Second

// Sink is a writer that never blocks. Each call of Write must pass one complete line.
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

// Write queues a copy of the line, or drops it if the queue is full. It always reports success.
func (s *Sink) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case s.lines <- queued:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines, for limit at most. Write must not be called afterwards.
func (s *Sink) Close(limit time.Duration) {
	close(s.lines)
	select {
	case <-s.stopped:
	case <-time.After(limit):
	}
}

// run writes the queued lines, several at once if several are queued.
func (s *Sink) run() {
	defer close(s.stopped)
	var reported uint64
	reportedAt := time.Now()
	for line := range s.lines {
		line = s.appendQueued(line)
		if n := s.dropped.Load(); n != reported && time.Since(reportedAt) > reportPeriod {
			line = fmt.Appendf(line, "level=WARN msg=log_lines_dropped count=%d\n", n-reported)
			reported, reportedAt = n, time.Now()
		}
		_, _ = s.out.Write(line) // an error could only be reported through the same output
	}
}

// appendQueued appends the lines that are already queued, so that a burst needs only one write system call.
func (s *Sink) appendQueued(line []byte) []byte {
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

// Sampler limits the rate of log lines and counts the suppressed ones.
type Sampler struct {
	limiter *rate.Limiter
	skipped atomic.Uint64
}

// NewSampler returns a sampler that allows the given number of lines per second, and a burst of as many.
func NewSampler(lines float64) *Sampler {
	return &Sampler{limiter: rate.NewLimiter(rate.Limit(lines), max(1, int(lines)))}
}

// Allow reports whether a line may be written, and if so, how many lines were suppressed since the last
// allowed one.
func (s *Sampler) Allow() (skipped uint64, ok bool) {
	if !s.limiter.Allow() {
		s.skipped.Add(1)
		return 0, false
	}
	return s.skipped.Swap(0), true
}
