package forward

import (
	"bytes"
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

const (
	// maxEarly bounds the packets that wait for the first view.
	maxEarly = 256
	// maxHeldFlows and maxHeldPackets bound the flows whose packets wait, and the packets of each: as many as a caller
	// sends without an answer.
	maxHeldFlows   = 512
	maxHeldPackets = 16
	// heldLife is how long packets of a flow wait. Their caller sends them again meanwhile.
	heldLife = time.Second
)

// heldPackets are packets about which a fresher view or the end of a search decides.
type heldPackets struct {
	early []heldPacket // before the first view
	flows map[flow.Key]*heldFlow
}

type heldFlow struct {
	packets [][]byte
	at      time.Duration
	unknown bool // no target holds the flow by the present view
}

// heldPacket is a packet and the steady time since when it is held.
type heldPacket struct {
	key    flow.Key
	packet []byte
	at     time.Duration
}

// untilView keeps a packet until there is a view. The latest packet of a flow takes the place of an earlier one.
func (h *heldPackets) untilView(key flow.Key, packet []byte, now time.Duration) {
	next := heldPacket{key: key, packet: bytes.Clone(packet), at: now}
	for i := range h.early {
		if h.early[i].key == key {
			h.early[i] = next
			return
		}
	}
	if len(h.early) < maxEarly {
		h.early = append(h.early, next)
	}
}

// untilFound keeps a packet until the search for its flow ends, or with unknown until the store confirms the view. Without a
// packet, those that are held already wait for that.
func (h *heldPackets) untilFound(key flow.Key, packet []byte, unknown bool, now time.Duration) {
	if h.flows == nil {
		h.flows = make(map[flow.Key]*heldFlow)
	}
	held := h.flows[key]
	if held == nil {
		if len(h.flows) >= maxHeldFlows {
			return
		}
		held = &heldFlow{at: now}
		h.flows[key] = held
	}
	held.unknown = held.unknown || unknown
	if len(packet) > 0 && len(held.packets) < maxHeldPackets {
		held.packets = append(held.packets, bytes.Clone(packet))
	}
}

// ofFlow takes the packets of a flow whose search ended.
func (h *heldPackets) ofFlow(key flow.Key) [][]byte {
	held := h.flows[key]
	if held == nil {
		return nil
	}
	delete(h.flows, key)
	return held.packets
}

// due takes the packets about which a view that was confirmed at the steady time known can decide, and forgets those
// that waited for too long.
func (h *heldPackets) due(hasView bool, known, now time.Duration) []heldPacket {
	if !hasView {
		return nil
	}
	list := slices.DeleteFunc(h.early, func(e heldPacket) bool { return now-e.at > heldLife })
	h.early = nil
	for key, held := range h.flows {
		switch {
		case now-held.at > heldLife:
			delete(h.flows, key)
		case held.unknown && known > held.at:
			for _, packet := range held.packets {
				list = append(list, heldPacket{key: key, packet: packet, at: held.at})
			}
			delete(h.flows, key)
		}
	}
	return list
}
