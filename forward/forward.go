// Package forward moves packets between sockets as packages dispatch and targetgate decide: Balancer on entry VMs, Agent
// beside each target.
package forward

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
)

// clock is the steady time since the process started.
type clock struct{ begin time.Time }

func newClock() clock { return clock{begin: time.Now().Add(-time.Second)} }

// now returns the steady time. It is never zero, which marks times that are not set.
func (c clock) now() time.Duration { return time.Since(c.begin) }

// handle decides about one datagram. It adds what is to be sent to the writers of its loop.
type handle func(datagram []byte, from flow.Endpoint)

// readLoop reads a socket until it is closed. It calls flush after the datagrams at hand.
func readLoop(conn *udpbatch.Conn, each handle, flush func(), log *slog.Logger) {
	batch := udpbatch.GetBatch()
	defer batch.Release()
	for {
		n, err := conn.Read(batch)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Error("socket_read_failed", "address", conn.Address(), "error", err)
			time.Sleep(readRetry)
			continue
		}
		for i := range n {
			datagram, whole := batch.Packet(i)
			if !whole {
				droppedLong.Inc()
				continue
			}
			each(datagram, flow.EndpointOf(batch.From(i)))
		}
		flush()
	}
}

// readRetry is the wait after a failed read.
const readRetry = 10 * time.Millisecond

var droppedLong = metrics.NewCounter(`cowslip_dropped_datagrams_total{cause="too_long"}`)
