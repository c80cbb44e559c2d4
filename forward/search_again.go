package forward

import (
	"bytes"
	"time"

	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/flow"
)

const (
	// searchAgainAfter is how long a search may stay without an end before its packet is searched anew. It is above the
	// time in which answers count.
	searchAgainAfter = dispatch.SearchTimeout + 10*time.Millisecond
	// searchRepeats is how often a balancer searches a packet anew by itself. The last search asks each target alone.
	searchRepeats = 2
	// repeatsPerSecond bounds the searches that a balancer repeats. Where far more do not end, as after a loss of power, they
	// would take the links from what can be served; callers repeat their packets later.
	repeatsPerSecond = 20
	// maxSearched bounds the packets that are kept for it.
	maxSearched = 1024
)

// searchedPacket is a packet whose flow is searched.
type searchedPacket struct {
	packet []byte
	at     time.Duration // of the search
	left   int           // searches that may follow
}

// searchedPackets keeps the packets of searches that have not ended. A target on the path of a search may not answer; its
// caller repeats the packet, but routers may hand that to another balancer, which begins anew.
type searchedPackets struct {
	flows map[flow.Key]searchedPacket
	armed bool // the timer runs, or the balancer is closed
}

func (s *searchedPackets) keep(key flow.Key, packet []byte, left int, now time.Duration) {
	if s.flows == nil {
		s.flows = make(map[flow.Key]searchedPacket)
	}
	if len(s.flows) < maxSearched {
		s.flows[key] = searchedPacket{packet: bytes.Clone(packet), at: now, left: left}
	}
}

// packet returns the packet whose flow is searched, or nil where there was no room for it.
func (s *searchedPackets) packet(key flow.Key) []byte { return s.flows[key].packet }

func (s *searchedPackets) forget(key flow.Key) { delete(s.flows, key) }

// due takes the packets whose searches did not end and may be repeated.
func (s *searchedPackets) due(now time.Duration) []searchedPacket {
	var list []searchedPacket
	for key, searched := range s.flows {
		if now-searched.at < searchAgainAfter {
			continue
		}
		delete(s.flows, key)
		if searched.left > 0 {
			list = append(list, searched)
		}
	}
	return list
}

// keepSearched keeps a packet whose search begins.
func (b *Balancer) keepSearched(key flow.Key, packet []byte, left int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searched.keep(key, packet, left, b.clock.now())
	b.armSearchTimer()
}

// armSearchTimer has the searches looked at, while there are any. The caller holds the lock.
func (b *Balancer) armSearchTimer() {
	if b.searched.armed || len(b.searched.flows) == 0 {
		return
	}
	b.searched.armed = true
	time.AfterFunc(searchAgainAfter/2, b.searchAgain)
}

// searchAgain searches the packets anew whose searches did not end.
func (b *Balancer) searchAgain() {
	b.mu.Lock()
	list := b.searched.due(b.clock.now())
	b.searched.armed = false
	b.armSearchTimer()
	b.mu.Unlock()
	b.heldMu.Lock()
	defer b.heldMu.Unlock()
	for _, searched := range list {
		if !b.repeats.Allow() {
			searchesGivenUp.Inc()
			continue
		}
		b.decideAgain(b.heldOut, searched.packet, 0, searched.left-1)
	}
	b.heldOut.flush()
}
