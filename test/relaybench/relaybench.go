// Package relaybench compares a data path with a plain relay, in turns within one run.
package relaybench

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/cowslipward/cowslipward/internal/udpbatch"
)

// Listen opens a socket until the end of the test.
func Listen(tb testing.TB, address netip.AddrPort) *udpbatch.Conn {
	tb.Helper()
	conn, err := udpbatch.Listen(address)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Drain reads from a socket until it is closed.
func Drain(conn *udpbatch.Conn) {
	batch := udpbatch.GetBatch()
	for {
		if _, err := conn.Read(batch); err != nil {
			return
		}
	}
}

// Meter counts packets and the processor time of this thread that they cost. Its caller has locked the thread.
type Meter struct {
	Packets int
	busy    time.Duration
}

// Run processes some packets and counts those that it names.
func (m *Meter) Run(process func() int) {
	start := threadTime()
	m.Packets += process()
	m.busy += threadTime() - start
}

// Rate returns packets a second of processor time.
func (m *Meter) Rate() float64 { return float64(m.Packets) / m.busy.Seconds() }

// Report adds the rates of the path and the relay, and their quotient, to the figures of a benchmark.
func Report(b *testing.B, path, relay *Meter) {
	b.Helper()
	b.ReportMetric(path.Rate(), "pkts/s/core")
	b.ReportMetric(relay.Rate(), "relay-pkts/s/core")
	b.ReportMetric(path.Rate()/relay.Rate(), "of-relay")
}

func threadTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_THREAD, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
