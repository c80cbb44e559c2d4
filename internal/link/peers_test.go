package link

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/wire"
)

// Guards against replayed packets that make a peer appear alive: late packets, control packets out of order
// and packets of the previous process at the address.
func TestRecordSequenceRejectsReplays(t *testing.T) {
	var p Peer
	fresh := func(kind wire.Kind, incarnation uint16, sequence uint64) bool {
		return p.recordSequence(&wire.Header{Kind: kind, Incarnation: incarnation, Sequence: sequence})
	}
	now := uint64(1 << 60)
	require.True(t, fresh(wire.Forward, 1, now))
	require.False(t, fresh(wire.Forward, 1, now), "repeated")
	require.True(t, fresh(wire.Forward, 1, now-maxReorder), "reordered")
	require.False(t, fresh(wire.Forward, 1, now-maxReorder-1), "late")
	require.True(t, fresh(wire.ProbeAck, 1, now-5))
	require.False(t, fresh(wire.ProbeAck, 1, now-6), "control packet out of order")
	require.True(t, fresh(wire.Probe, 1, now-6), "control kinds are tracked separately")
	require.True(t, fresh(wire.Forward, 2, now-2*maxReorder), "a restarted process whose clock is behind")
	require.False(t, fresh(wire.Forward, 1, now+1), "the previous process")
}
