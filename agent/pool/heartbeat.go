package pool

import (
	"golang.org/x/crypto/cryptobyte"

	"github.com/cowslipward/cowslipward/fleet"
)

// heartbeatVersion is the version of the encoding, the first byte of the body of a PoolHeartbeat packet.
const heartbeatVersion = 1

// Heartbeat is the state and load that an agent sends to other agents of its service, once per Period.
type Heartbeat struct {
	State       fleet.State
	Incarnation uint16
	InProgress  uint16 // requests that the target is processing
	Queued      uint16 // requests that wait for a slot
	Limit       uint16 // requests that the target may process at once now
	Connections uint32 // open caller connections
	// ReferenceMicros is the reference service time of the target in microseconds. It is zero until the target has run
	// with all its slots in use.
	ReferenceMicros uint32
}

// Work returns the number of requests in progress or queued at the agent.
func (h *Heartbeat) Work() int { return int(h.InProgress) + int(h.Queued) }

// Append appends the encoded heartbeat, 18 bytes, to dst.
func (h *Heartbeat) Append(dst []byte) []byte {
	b := cryptobyte.NewBuilder(dst)
	b.AddUint8(heartbeatVersion)
	b.AddUint8(uint8(h.State))
	b.AddUint16(h.Incarnation)
	b.AddUint16(h.InProgress)
	b.AddUint16(h.Queued)
	b.AddUint16(h.Limit)
	b.AddUint32(h.Connections)
	b.AddUint32(h.ReferenceMicros)
	return b.BytesOrPanic()
}

// ParseHeartbeat decodes the body of a PoolHeartbeat packet. It returns false if the length, version or state is
// invalid.
func ParseHeartbeat(body []byte) (Heartbeat, bool) {
	var h Heartbeat
	var version, state uint8
	s := cryptobyte.String(body)
	ok := s.ReadUint8(&version) && s.ReadUint8(&state) && s.ReadUint16(&h.Incarnation) &&
		s.ReadUint16(&h.InProgress) && s.ReadUint16(&h.Queued) && s.ReadUint16(&h.Limit) &&
		s.ReadUint32(&h.Connections) && s.ReadUint32(&h.ReferenceMicros) && s.Empty()
	h.State = fleet.State(state)
	return h, ok && version == heartbeatVersion && h.State <= fleet.StateDown
}
