package forward

import (
	"bytes"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

const (
	// maxHeld bounds the packets that wait for the first view, and the flows that wait for a confirmed one.
	maxHeld = 256
	// heldLife is how long a packet of an unknown flow waits. Its caller sends it again meanwhile.
	heldLife = time.Second
)

// heldPackets are packets about which a fresher view decides.
type heldPackets struct {
	early   [][]byte // before the first view
	unknown map[flow.Key]heldPacket
}

type heldPacket struct {
	packet []byte
	at     time.Duration
}

// untilView keeps a packet until there is a view.
func (h *heldPackets) untilView(packet []byte) {
	if len(h.early) < maxHeld {
		h.early = append(h.early, bytes.Clone(packet))
	}
}

// untilConfirmed keeps a packet of a flow that no target holds until the store confirms the view. One of each flow is
// enough to find or to reset it.
func (h *heldPackets) untilConfirmed(key flow.Key, packet []byte, now time.Duration) {
	if h.unknown == nil {
		h.unknown = make(map[flow.Key]heldPacket)
	}
	if _, held := h.unknown[key]; !held && len(h.unknown) < maxHeld {
		h.unknown[key] = heldPacket{packet: bytes.Clone(packet), at: now}
	}
}

// due returns the packets about which a view that was confirmed at the steady time known can decide.
func (h *heldPackets) due(hasView bool, known time.Duration) [][]byte {
	if !hasView {
		return nil
	}
	list := h.early
	h.early = nil
	for key, held := range h.unknown {
		if known <= held.at {
			continue
		}
		if known-held.at < heldLife {
			list = append(list, held.packet)
		}
		delete(h.unknown, key)
	}
	return list
}
