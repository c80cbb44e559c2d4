// Package forward receives and sends the packets of flows. Balancer runs on entry VMs and forwards packets as
// package dispatch decides; Agent runs next to each target and forwards packets as package targetgate
// decides.
//
// A balancer that does not know the target of an open flow searches for it: it sends the packet along one or
// more paths of agents, each of which passes it to its target. The agent whose target owns the flow notifies
// the balancer; the last agent of a path without success reports the end of the path.
package forward

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/boottime"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
)

// clock measures monotonic time. It starts at one second, so that zero can mark times that are not set.
type clock struct {
	start     time.Time
	bootStart time.Duration // time since the boot of the VM, at start
}

func newClock() clock {
	return clock{start: time.Now().Add(-time.Second), bootStart: boottime.Now() - time.Second}
}

// now returns the monotonic time.
func (c clock) now() time.Duration { return time.Since(c.start) }

// suspended returns for how long the VM was suspended since the start: monotonic time does not count that.
func (c clock) suspended() time.Duration { return boottime.Now() - c.bootStart - c.now() }

// datagramHandler handles one datagram. It adds the packets to send to the outboxes of its read loop.
type datagramHandler func(datagram []byte, from flow.Endpoint)

// readLoop reads datagrams from a socket until it is closed. It calls flush after each batch.
func readLoop(conn *udpbatch.Conn, handle datagramHandler, flush func(), log *slog.Logger) {
	batch := udpbatch.GetBatch()
	defer batch.Release()
	for {
		n, err := conn.Read(batch)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Error("socket_read_failed", "address", conn.Address(), "error", err)
			time.Sleep(readRetryDelay)
			continue
		}
		for i := range n {
			datagram, complete := batch.Packet(i)
			if !complete {
				droppedTooLong.Inc()
				continue
			}
			handle(datagram, flow.EndpointOf(batch.From(i)))
		}
		flush()
	}
}

// readRetryDelay is the delay after a failed read.
const readRetryDelay = 10 * time.Millisecond

var droppedTooLong = metrics.NewCounter(`cowslip_dropped_datagrams_total{cause="too_long"}`)
