package pool

import (
	"golang.org/x/crypto/cryptobyte"

	"github.com/cowslipward/cowslipward/fleet"
)

// heartbeatVersion is the first byte of the body of a PoolHeartbeat.
const heartbeatVersion = 1

// Heartbeat is what an agent tells the other agents of its service ten times a second.
type Heartbeat struct {
	State       fleet.State
	Incarnation uint16
	InProgress  uint16 // requests at the target
	Queued      uint16 // requests that wait for a slot
	Limit       uint16 // requests that may be at the target now
	Connections uint32 // open connections of callers
	// ReferenceMicros is the usual service time of the target once it has borne all its slots, in microseconds; zero before.
	ReferenceMicros uint32
}

// Work returns the requests that the agent has taken on.
func (h *Heartbeat) Work() int { return int(h.InProgress) + int(h.Queued) }

// Append encodes the heartbeat, 18 bytes.
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

// ParseHeartbeat decodes a body. It accepts no other length and no other version.
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
