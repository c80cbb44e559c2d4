package link

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/wire"
)

// Limits of the per-peer state. It grows with the number of processes in the fleet, never with the number of
// flows.
const (
	maxPeers    = 16_384
	peerTimeout = time.Minute
	recentBits  = 5               // log2 of recentSlots; 128 slots per peer would take 8 MB for 7,100 peers
	recentSlots = 1 << recentBits // slots per peer of the table that detects exact duplicates
)

// maxReorder is how far the sequence of a data packet may lag behind the highest one of its sender, in
// sequence units (nanoseconds). QUIC itself discards duplicates; the limit prevents replayed old captures
// from making the sender appear alive.
const maxReorder = uint64(2 * time.Second)

// Peer is the state kept for a process that sends tunnel packets to this endpoint.
type Peer struct {
	Address      netip.AddrPort
	lastReceived atomic.Int64 // monotonic time of the last authentic packet, on the clock of Link.Now

	incarnation     atomic.Uint32 // current incarnation + 1; zero before the first packet
	previous        atomic.Uint32
	highest         atomic.Uint64                // highest sequence of any kind
	highestControl  [wire.NumKinds]atomic.Uint64 // highest sequence per control kind
	recentSequences [recentSlots]atomic.Uint64
	lastNotice      atomic.Int64 // when the last revision notice was sent to the peer
	lastRequest     atomic.Int64 // when a newer revision was last requested because of the peer
}

// LastReceived returns when the last authentic packet of the peer was received, on the clock of Link.Now.
func (p *Peer) LastReceived() time.Duration { return time.Duration(p.lastReceived.Load()) }

// recordSequence records the sequence of a packet and reports whether the packet is new, that is, not a replay.
func (p *Peer) recordSequence(h *wire.Header) bool {
	if !p.acceptIncarnation(h) {
		return false
	}
	highest := p.highest.Load()
	for h.Sequence > highest && !p.highest.CompareAndSwap(highest, h.Sequence) {
		highest = p.highest.Load()
	}
	if !h.Kind.IsData() {
		return p.advance(&p.highestControl[h.Kind], h.Sequence)
	}
	if h.Sequence+maxReorder < highest {
		return false
	}
	slot := (h.Sequence * 0x9E3779B97F4A7C15) >> (64 - recentBits)
	return p.recentSequences[slot].Swap(h.Sequence) != h.Sequence
}

// advance sets last to the sequence if that is higher, and reports whether it did.
func (p *Peer) advance(last *atomic.Uint64, sequence uint64) bool {
	for {
		old := last.Load()
		if sequence <= old {
			return false
		}
		if last.CompareAndSwap(old, sequence) {
			return true
		}
	}
}

// acceptIncarnation reports false for packets of the previous process at the address. The first packet of a
// new incarnation resets the highest sequences.
func (p *Peer) acceptIncarnation(h *wire.Header) bool {
	incarnation := uint32(h.Incarnation) + 1
	current := p.incarnation.Load()
	switch {
	case current == incarnation:
		return true
	case p.previous.Load() == incarnation:
		return false
	}
	if p.incarnation.CompareAndSwap(current, incarnation) {
		p.previous.Store(current)
		p.highest.Store(0)
		for i := range p.highestControl {
			p.highestControl[i].Store(0)
		}
	}
	return true
}

// peers maps advertised addresses to peers.
type peers struct {
	mu    sync.RWMutex
	table map[uint64]*Peer
}

// addressKey packs an IPv4 address and port; a map with netip.AddrPort keys is several times slower. All other
// addresses, at which there is no peer, have the key 0.
func addressKey(a netip.AddrPort) uint64 {
	if !a.Addr().Is4() {
		return 0
	}
	ip := a.Addr().As4()
	return uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(a.Port())
}

// Peer returns the state of the process at the address, or nil if there is none.
func (l *Link) Peer(address netip.AddrPort) *Peer {
	l.peers.mu.RLock()
	defer l.peers.mu.RUnlock()
	return l.peers.table[addressKey(address)]
}

// getOrAddPeer returns the peer that sent an authentic packet, adding it if needed, or nil if the table is full.
func (l *Link) getOrAddPeer(address netip.AddrPort, now time.Duration) *Peer {
	if p := l.Peer(address); p != nil {
		return p
	}
	l.peers.mu.Lock()
	defer l.peers.mu.Unlock()
	if p := l.peers.table[addressKey(address)]; p != nil {
		return p
	}
	if l.peers.table == nil {
		l.peers.table = make(map[uint64]*Peer)
	}
	if len(l.peers.table) >= maxPeers {
		l.peers.evictExpired(now)
	}
	if len(l.peers.table) >= maxPeers {
		return nil
	}
	p := &Peer{Address: address}
	l.peers.table[addressKey(address)] = p
	return p
}

// evictExpired removes peers that sent nothing within peerTimeout.
func (p *peers) evictExpired(now time.Duration) {
	for key, peer := range p.table {
		if now-peer.LastReceived() > peerTimeout {
			delete(p.table, key)
		}
	}
}
