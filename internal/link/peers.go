package link

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/wire"
)

// Bounds of the state kept about peers. It grows with the processes of the fleet, never with flows.
const (
	maxPeers    = 16_384
	peerExpiry  = time.Minute
	recentBits  = 5 // of the table of sequences per peer for exact duplicates; 128 entries cost 8 MB for 7,100 peers
	recentSlots = 1 << recentBits
)

// maxLate is how far a data packet may lag behind the newest one of its sender, in sequence units (nanoseconds). QUIC
// itself discards duplicates; the bound keeps an old capture from passing as a sign of life.
const maxLate = uint64(2 * time.Second)

// Peer is what this end knows of a process that sends it tunnel packets.
type Peer struct {
	Address netip.AddrPort
	heard   atomic.Int64 // monotonic, of the last authentic packet

	incarnation atomic.Uint32 // current one, plus one; zero before the first packet
	previous    atomic.Uint32
	newest      atomic.Uint64             // highest sequence
	control     [wire.Kinds]atomic.Uint64 // highest sequence by control kind
	recent      [recentSlots]atomic.Uint64
	noticed     atomic.Int64 // when the last revision notice went out
	asked       atomic.Int64 // when the last question about a newer revision went out
}

// LastReceived returns when the peer was last heard, on the link's clock.
func (p *Peer) LastReceived() time.Duration { return time.Duration(p.heard.Load()) }

// fresh reports whether a packet is new, that is no replay. It updates the memory of the peer.
func (p *Peer) fresh(h *wire.Header) bool {
	if !p.sameProcess(h) {
		return false
	}
	newest := p.newest.Load()
	for h.Sequence > newest && !p.newest.CompareAndSwap(newest, h.Sequence) {
		newest = p.newest.Load()
	}
	if !h.Kind.IsData() {
		return p.rises(&p.control[h.Kind], h.Sequence)
	}
	if h.Sequence+maxLate < newest {
		return false
	}
	slot := (h.Sequence * 0x9E3779B97F4A7C15) >> (64 - recentBits)
	return p.recent[slot].Swap(h.Sequence) != h.Sequence
}

// rises stores the sequence if it is higher than the last one.
func (p *Peer) rises(last *atomic.Uint64, sequence uint64) bool {
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

// sameProcess tells packets of the process at the address from those of its predecessor there.
func (p *Peer) sameProcess(h *wire.Header) bool {
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
		p.newest.Store(0)
		for i := range p.control {
			p.control[i].Store(0)
		}
	}
	return true
}

// peers finds peers by their advertised address.
type peers struct {
	mu    sync.RWMutex
	table map[uint64]*Peer
}

// addressKey packs an IPv4 address and port; a map with netip.AddrPort keys is several times slower.
func addressKey(a netip.AddrPort) uint64 {
	ip := a.Addr().As4()
	return uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(a.Port())
}

// Peer returns what is known of the process at the address, or nil.
func (l *Link) Peer(address netip.AddrPort) *Peer {
	l.peers.mu.RLock()
	defer l.peers.mu.RUnlock()
	return l.peers.table[addressKey(address)]
}

// peer returns the peer of an authentic packet, nil when the table is full.
func (l *Link) peer(address netip.AddrPort, now time.Duration) *Peer {
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
		l.peers.prune(now)
	}
	if len(l.peers.table) >= maxPeers {
		return nil
	}
	p := &Peer{Address: address}
	l.peers.table[addressKey(address)] = p
	return p
}

// prune forgets peers that have been silent.
func (p *peers) prune(now time.Duration) {
	for key, peer := range p.table {
		if now-peer.LastReceived() > peerExpiry {
			delete(p.table, key)
		}
	}
}
