package viewsync

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// helloPeriod is the interval between the hello messages (heartbeats) of a process.
	helloPeriod = time.Second
	// memberTimeout is how long a peer counts as live after its last message to this process, and
	// indirectMemberTimeout after its last message to a process that reported it. The peers that would
	// replace the relays of a failure domain are known only from the reports of these relays, so their
	// entries must outlive those of the relays.
	memberTimeout         = 3 * time.Second
	indirectMemberTimeout = 2 * memberTimeout
	// relaysPerDomain is the number of processes of a failure domain that forward updates to the others
	// there. With two relays, the loss of one does not delay updates.
	relaysPerDomain = 2
	// seedQueryPeriod is the interval at which a relay that knows peers queries the seeds for others.
	seedQueryPeriod = 4 * time.Second
	// startupDuration is how long after its start a process sends a hello every startupHelloPeriod; during
	// this time a relay queries the seeds and sends its list of peers to the other processes of its domain
	// with each hello. When all processes start at once, some of the first messages are lost. Without the
	// additional hellos, separate groups, each with its own reader, would last until the next regular hellos
	// and seed queries.
	startupDuration = 2 * time.Second
	// membersPerDomain is the number of peers per failure domain listed in a message: its relays and the
	// peers that would replace them.
	membersPerDomain = 4
)

// peer is the membership entry of another process.
type peer struct {
	domain    uint32        // tag of its failure domain
	lastHeard time.Duration // monotonic time of its last message to this process or to the one that reported it
	expiresAt time.Duration // monotonic time until which it counts as live
}

// membership tracks the live peers and selects the recipients of messages. In each failure domain the live
// processes with the lowest addresses are relays: they exchange messages with the relays of the other
// domains, and the other processes of their domain receive messages only from them. Therefore no process
// needs to know the whole fleet. membership does not use the network and is not safe for concurrent use.
type membership struct {
	self           netip.AddrPort
	domain         uint32
	seeds          []netip.AddrPort
	peers          map[netip.AddrPort]peer
	membersSentAt  time.Duration // when the process last sent localMembers to the others of its domain
	seedsQueriedAt time.Duration // when the process last queried the seeds
	startupUntil   time.Duration // end of the startup phase; 0 before the first hello
	lastForwarded  updatePart
}

// updatePart identifies one message of an update.
type updatePart struct {
	reader   netip.AddrPort
	sequence uint32
	part     uint8
}

func newMembership(self netip.AddrPort, domain uint32, seeds []netip.AddrPort) *membership {
	return &membership{self: self, domain: domain, seeds: seeds, peers: make(map[netip.AddrPort]peer)}
}

// envelope contains the recipients of a message and the fields of the message that differ by recipient.
type envelope struct {
	to         []netip.AddrPort
	forward    bool // the recipients forward an update within their failure domain
	wantsPeers bool // the recipients reply with the peers that they know
	members    []member
}

// member is a peer as listed in a message.
type member struct {
	Address netip.AddrPort
	Domain  uint32
	Age     time.Duration // time since its last message
}

// observe updates the membership from a received message: its sender, the tag of the sender's failure domain,
// and the peers that it lists. It reports whether the relays of the local failure domain changed.
func (m *membership) observe(from netip.AddrPort, domain uint32, members []member, now time.Duration) bool {
	before := m.relays(now)
	m.updatePeer(from, peer{domain: domain, lastHeard: now, expiresAt: now + memberTimeout})
	for _, reported := range members {
		m.updatePeer(reported.Address, peer{domain: reported.Domain, lastHeard: now - reported.Age, expiresAt: now - reported.Age + indirectMemberTimeout})
	}
	return !slices.Equal(before, m.relays(now))
}

// updatePeer stores an observation of a peer if it is newer than the current entry.
func (m *membership) updatePeer(address netip.AddrPort, observed peer) {
	current, known := m.peers[address]
	if address != m.self && (!known || observed.lastHeard > current.lastHeard) {
		m.peers[address] = observed
	}
}

// expire removes peers that have timed out.
func (m *membership) expire(now time.Duration) {
	for address, p := range m.peers {
		if now >= p.expiresAt {
			delete(m.peers, address)
		}
	}
}

// liveCount returns the number of live peers.
func (m *membership) liveCount(now time.Duration) int {
	m.expire(now)
	return len(m.peers)
}

// byDomain returns the live processes of each failure domain, including this one, sorted by address.
func (m *membership) byDomain(now time.Duration) map[uint32][]netip.AddrPort {
	m.expire(now)
	domains := map[uint32][]netip.AddrPort{m.domain: {m.self}}
	for address, p := range m.peers {
		domains[p.domain] = append(domains[p.domain], address)
	}
	for _, addresses := range domains {
		slices.SortFunc(addresses, netip.AddrPort.Compare)
	}
	return domains
}

// relays returns the relays of the local failure domain, including this process if it is one.
func (m *membership) relays(now time.Duration) []netip.AddrPort {
	lowest := make([]netip.AddrPort, 1, relaysPerDomain+1)
	lowest[0] = m.self
	for address, p := range m.peers {
		if p.domain != m.domain || now >= p.expiresAt {
			continue
		}
		at, _ := slices.BinarySearchFunc(lowest, address, netip.AddrPort.Compare)
		lowest = first(slices.Insert(lowest, at, address), relaysPerDomain)
	}
	return lowest
}

func first(addresses []netip.AddrPort, count int) []netip.AddrPort {
	return addresses[:min(count, len(addresses))]
}

// helloEnvelopes returns the recipients of a hello. Relays also query the seeds for peers, so that groups
// that have not discovered each other merge.
func (m *membership) helloEnvelopes(now time.Duration) []envelope {
	domains := m.byDomain(now)
	local := domains[m.domain]
	relays := first(local, relaysPerDomain)
	if !slices.Contains(relays, m.self) {
		return []envelope{{to: relays}}
	}
	envelopes := []envelope{{to: m.without(append(m.remoteRelays(domains), relays...), m.self), members: m.localMembers(domains, now)}}
	if m.isStarting(now) || len(m.peers) == 0 || now-m.seedsQueriedAt >= seedQueryPeriod {
		m.seedsQueriedAt = now
		envelopes = append(envelopes, envelope{to: m.without(m.seeds, m.self), wantsPeers: true, members: m.localMembers(domains, now)})
	}
	if list := m.dueMembers(domains, now); list != nil {
		envelopes = append(envelopes, envelope{to: local[len(relays):], members: list})
	}
	return envelopes
}

// isStarting reports whether the process is within startupDuration of its start. The first call counts as the
// start.
func (m *membership) isStarting(now time.Duration) bool {
	if m.startupUntil == 0 {
		m.startupUntil = now + startupDuration
	}
	return now < m.startupUntil
}

// dueMembers returns localMembers if the period for sending them to the local failure domain has elapsed, and
// nil otherwise. It records the time of sending.
func (m *membership) dueMembers(domains map[uint32][]netip.AddrPort, now time.Duration) []member {
	period := helloPeriod
	if m.isStarting(now) {
		period = startupHelloPeriod
	}
	if now-m.membersSentAt < period {
		return nil
	}
	m.membersSentAt = now
	return m.localMembers(domains, now)
}

// replyEnvelope returns the reply to a process that requested a list of peers.
func (m *membership) replyEnvelope(to netip.AddrPort, now time.Duration) envelope {
	return envelope{to: []netip.AddrPort{to}, members: m.allMembers(m.byDomain(now), now)}
}

// updateEnvelopes returns the recipients of an update that originates from this process. A process that is
// not a relay sends it to the relays of its failure domain only, which forward it.
func (m *membership) updateEnvelopes(now time.Duration) []envelope {
	domains := m.byDomain(now)
	if relays := first(domains[m.domain], relaysPerDomain); !slices.Contains(relays, m.self) {
		return []envelope{{to: relays, forward: true, members: m.localMembers(domains, now)}}
	}
	return m.forwardEnvelopes(m.self, m.domain, now)
}

// forwardEnvelopes returns the recipients to which an update of reader is forwarded: the other processes of
// the local failure domain and, if it was received from within the local domain, the relays of the other domains.
func (m *membership) forwardEnvelopes(reader netip.AddrPort, senderDomain uint32, now time.Duration) []envelope {
	domains := m.byDomain(now)
	envelopes := []envelope{{to: m.without(domains[m.domain], m.self, reader), members: m.dueMembers(domains, now)}}
	if senderDomain == m.domain {
		remote := envelope{to: m.remoteRelays(domains), forward: true, members: m.localMembers(domains, now)}
		envelopes = append(envelopes, remote)
	}
	return envelopes
}

// markForwarded marks a part of an update as forwarded. It returns false if the part was forwarded before,
// which happens because two relays send each part.
func (m *membership) markForwarded(reader netip.AddrPort, sequence uint32, part uint8) bool {
	next := updatePart{reader: reader, sequence: sequence, part: part}
	if m.lastForwarded.reader == reader && m.lastForwarded.sequence == sequence && part <= m.lastForwarded.part {
		return false
	}
	m.lastForwarded = next
	return true
}

func (m *membership) remoteRelays(domains map[uint32][]netip.AddrPort) []netip.AddrPort {
	var relays []netip.AddrPort
	for domain, addresses := range domains {
		if domain != m.domain {
			relays = append(relays, first(addresses, relaysPerDomain)...)
		}
	}
	return relays
}

// without returns a copy of addresses without the excluded ones.
func (m *membership) without(addresses []netip.AddrPort, excluded ...netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(addresses), func(a netip.AddrPort) bool { return slices.Contains(excluded, a) })
}

// allMembers returns the first live peers of each failure domain for use in a message, at most maxMembers in
// total.
func (m *membership) allMembers(domains map[uint32][]netip.AddrPort, now time.Duration) []member {
	var all []member
	for _, addresses := range domains {
		all = m.appendMembers(all, addresses, now)
	}
	return all[:min(len(all), maxMembers)]
}

// localMembers returns the first live peers of the local failure domain for use in a message.
func (m *membership) localMembers(domains map[uint32][]netip.AddrPort, now time.Duration) []member {
	return m.appendMembers(nil, domains[m.domain], now)
}

func (m *membership) appendMembers(list []member, addresses []netip.AddrPort, now time.Duration) []member {
	for _, address := range first(addresses, membersPerDomain) {
		if p, known := m.peers[address]; known && now-p.lastHeard < memberTimeout {
			list = append(list, member{Address: address, Domain: p.domain, Age: now - p.lastHeard})
		}
	}
	return list
}

// fetchCandidates returns the peers from which a view can be fetched: the first live peers of the local failure
// domain, the relays of the other domains and the seeds.
func (m *membership) fetchCandidates(now time.Duration) []netip.AddrPort {
	domains := m.byDomain(now)
	list := m.without(slices.Concat(first(domains[m.domain], membersPerDomain), m.remoteRelays(domains)), m.self)
	for _, seed := range m.seeds {
		if seed != m.self && !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	return list
}
