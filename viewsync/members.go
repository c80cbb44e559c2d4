package viewsync

import (
	"net/netip"
	"slices"
	"time"
)

// memberLife is how long a peer counts as live after it was heard of.
const memberLife = 5 * time.Second

// maxListed bounds the peers that one message names.
const maxListed = 64

// members holds the peers of a process. It is not safe for concurrent use.
type members struct {
	self  netip.AddrPort
	seeds []netip.AddrPort
	heard map[netip.AddrPort]time.Duration // when a peer was heard of, directly or through another
}

func newMembers(self netip.AddrPort, seeds []netip.AddrPort) *members {
	return &members{self: self, seeds: seeds, heard: make(map[netip.AddrPort]time.Duration)}
}

// heardOf notes that a peer lived at the steady time.
func (m *members) heardOf(peer netip.AddrPort, at time.Duration) {
	if peer != m.self && at > m.heard[peer] {
		m.heard[peer] = at
	}
}

// live returns the peers that were heard of lately, in the order of their addresses, and forgets the others.
func (m *members) live(now time.Duration) []netip.AddrPort {
	var list []netip.AddrPort
	for peer, at := range m.heard {
		if now-at > memberLife {
			delete(m.heard, peer)
			continue
		}
		list = append(list, peer)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// contacts returns the live peers and the seeds.
func (m *members) contacts(now time.Duration) []netip.AddrPort {
	list := m.live(now)
	for _, seed := range m.seeds {
		if seed != m.self && !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	return list
}

// listed is a peer as a message names it.
type listed struct {
	Peer netip.AddrPort
	Age  int64 // since it was heard of, milliseconds
}

// list returns some of the live peers, for a message.
func (m *members) list(now time.Duration) []listed {
	var all []listed
	for peer, at := range m.heard { // in the random order of the map, so that all are named in time
		if now-at <= memberLife && len(all) < maxListed {
			all = append(all, listed{Peer: peer, Age: (now - at).Milliseconds()})
		}
	}
	return all
}
