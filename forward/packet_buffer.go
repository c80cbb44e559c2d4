package forward

import (
	"bytes"
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

const (
	// maxAwaitingView bounds the packets that are buffered until the first view.
	maxAwaitingView = 256
	// maxBufferedFlows bounds the flows with buffered packets, and maxPacketsPerFlow the packets of each: as
	// many as a caller sends without a response.
	maxBufferedFlows  = 512
	maxPacketsPerFlow = 16
	// maxBufferAge is how long packets are buffered. Callers retransmit them in the meantime.
	maxBufferAge = time.Second
)

// packetBuffer holds packets whose decision depends on a later view or on the result of a search.
type packetBuffer struct {
	awaitingView []bufferedPacket // received before the first view
	flows        map[flow.Key]*bufferedFlow
}

type bufferedFlow struct {
	packets           [][]byte
	bufferedAt        time.Duration
	needsConfirmation bool // no target of the current view owns the flow; the store has to confirm the view
}

// bufferedPacket is a packet and the monotonic time at which it was buffered.
type bufferedPacket struct {
	key        flow.Key
	packet     []byte
	bufferedAt time.Duration
}

// addUntilView buffers a packet until the first view. It replaces an earlier packet of the same flow.
func (b *packetBuffer) addUntilView(key flow.Key, packet []byte, now time.Duration) {
	next := bufferedPacket{key: key, packet: bytes.Clone(packet), bufferedAt: now}
	for i := range b.awaitingView {
		if b.awaitingView[i].key == key {
			b.awaitingView[i] = next
			return
		}
	}
	if len(b.awaitingView) < maxAwaitingView {
		b.awaitingView = append(b.awaitingView, next)
	}
}

// addUntilFound buffers a packet until the search for its flow ends or, with needsConfirmation, until the
// store confirms a view. An empty packet is not added; needsConfirmation then applies to the packets that are
// buffered already.
func (b *packetBuffer) addUntilFound(key flow.Key, packet []byte, needsConfirmation bool, now time.Duration) {
	if b.flows == nil {
		b.flows = make(map[flow.Key]*bufferedFlow)
	}
	buffered := b.flows[key]
	if buffered == nil {
		if len(b.flows) >= maxBufferedFlows {
			return
		}
		buffered = &bufferedFlow{bufferedAt: now}
		b.flows[key] = buffered
	}
	buffered.needsConfirmation = buffered.needsConfirmation || needsConfirmation
	if len(packet) > 0 && len(buffered.packets) < maxPacketsPerFlow {
		buffered.packets = append(buffered.packets, bytes.Clone(packet))
	}
}

// takeFlow removes and returns the packets of a flow whose search ended.
func (b *packetBuffer) takeFlow(key flow.Key) [][]byte {
	buffered := b.flows[key]
	if buffered == nil {
		return nil
	}
	delete(b.flows, key)
	return buffered.packets
}

// takeDue removes and returns the packets that a view confirmed at the monotonic time confirmedAt can decide,
// and drops those that exceed maxBufferAge.
func (b *packetBuffer) takeDue(hasView bool, confirmedAt, now time.Duration) []bufferedPacket {
	if !hasView {
		return nil
	}
	list := slices.DeleteFunc(b.awaitingView, func(e bufferedPacket) bool { return now-e.bufferedAt > maxBufferAge })
	b.awaitingView = nil
	for key, buffered := range b.flows {
		switch {
		case now-buffered.bufferedAt > maxBufferAge:
			delete(b.flows, key)
		case buffered.needsConfirmation && confirmedAt > buffered.bufferedAt:
			for _, packet := range buffered.packets {
				list = append(list, bufferedPacket{key: key, packet: packet, bufferedAt: buffered.bufferedAt})
			}
			delete(b.flows, key)
		}
	}
	return list
}
