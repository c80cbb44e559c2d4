package viewsync

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// helloPeriod is how often a process tells its contacts that it lives.
	helloPeriod = time.Second
	// memberLife is how long a peer counts as live after it was heard, and hearsayLife after another one named it. The peers
	// that follow the relays of a failure domain are known by hearsay; they must outlive the relays that named them.
	memberLife  = 3 * time.Second
	hearsayLife = 2 * memberLife
	// relaysPerDomain is how many processes of a failure domain pass updates on to the others there. With two of them the
	// loss of one delays nothing.
	relaysPerDomain = 2
	// seedPeriod is how often a relay that knows peers asks the seeds for others.
	seedPeriod = 4 * time.Second
	// youngLife is how long after its start a process says hello each youngPeriod, and a relay asks the seeds and names peers to
	// the others with each. Where all processes start at once, the first messages of some are lost, and groups form that would
	// not know of each other until the next ones, each with a reader of its own.
	youngLife = 2 * time.Second
	// listedPerDomain is how many peers of a failure domain a message names: its relays and those that would follow them.
	listedPerDomain = 4
)

// peer is what a process knows of another one.
type peer struct {
	domain uint32        // tag of its failure domain
	heard  time.Duration // steady time at which it was heard, by this process or by the one that named it
	until  time.Duration // it counts as live until then
}

// membership decides which peers a process talks to. In each failure domain the live processes with the lowest addresses
// are relays: they exchange messages with the relays of the other domains, and the others of their domain hear from them
// only. So no process has to know the whole fleet. It uses no network and is not safe for concurrent use.
type membership struct {
	self   netip.AddrPort
	domain uint32
	seeds  []netip.AddrPort
	peers  map[netip.AddrPort]peer
	told   time.Duration // when the process last named the first peers of its domain to all others there
	asked  time.Duration // when it last asked the seeds
	young  time.Duration // until when the process counts as just started; 0: it has not said hello
	passed passed
}

// passed is the message of an update that a relay passed on last.
type passed struct {
	reader netip.AddrPort
	number uint32
	part   uint8
}

func newMembership(self netip.AddrPort, domain uint32, seeds []netip.AddrPort) *membership {
	return &membership{self: self, domain: domain, seeds: seeds, peers: make(map[netip.AddrPort]peer)}
}

// envelope is a message's part that depends on who gets it.
type envelope struct {
	to      []netip.AddrPort
	pass    bool // the receivers are relays and pass an update on in their failure domain
	asks    bool // the receivers name the peers that they know
	members []listed
}

// listed is a peer as a message names it.
type listed struct {
	Peer   netip.AddrPort
	Domain uint32
	Age    time.Duration // since it was heard of
}

// learn takes over what a message says of peers. It reports whether the relays of the own failure domain changed.
func (m *membership) learn(from netip.AddrPort, domain uint32, members []listed, now time.Duration) bool {
	before := m.relays(now)
	m.note(from, peer{domain: domain, heard: now, until: now + memberLife})
	for _, l := range members {
		m.note(l.Peer, peer{domain: l.Domain, heard: now - l.Age, until: now - l.Age + hearsayLife})
	}
	return !slices.Equal(before, m.relays(now))
}

// note takes over later news of a peer.
func (m *membership) note(address netip.AddrPort, news peer) {
	held, known := m.peers[address]
	if address != m.self && (!known || news.heard > held.heard) {
		m.peers[address] = news
	}
}

// expire forgets peers that were not heard of for long.
func (m *membership) expire(now time.Duration) {
	for address, held := range m.peers {
		if now >= held.until {
			delete(m.peers, address)
		}
	}
}

// live returns the number of peers that were heard of lately.
func (m *membership) live(now time.Duration) int {
	m.expire(now)
	return len(m.peers)
}

// byDomain returns the live processes of each failure domain in the order of their addresses, this one included.
func (m *membership) byDomain(now time.Duration) map[uint32][]netip.AddrPort {
	m.expire(now)
	domains := map[uint32][]netip.AddrPort{m.domain: {m.self}}
	for address, held := range m.peers {
		domains[held.domain] = append(domains[held.domain], address)
	}
	for _, addresses := range domains {
		slices.SortFunc(addresses, netip.AddrPort.Compare)
	}
	return domains
}

// relays returns the relays of the own failure domain, this process included.
func (m *membership) relays(now time.Duration) []netip.AddrPort {
	lowest := make([]netip.AddrPort, 1, relaysPerDomain+1)
	lowest[0] = m.self
	for address, held := range m.peers {
		if held.domain != m.domain || now >= held.until {
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

// hellos returns whom the process tells that it lives. Relays also ask the seeds for peers, by which groups that do not
// know of each other meet.
func (m *membership) hellos(now time.Duration) []envelope {
	domains := m.byDomain(now)
	own := domains[m.domain]
	relays := first(own, relaysPerDomain)
	if !slices.Contains(relays, m.self) {
		return []envelope{{to: relays}}
	}
	envelopes := []envelope{{to: m.without(append(m.remoteRelays(domains), relays...), m.self), members: m.localList(domains, now)}}
	if m.isYoung(now) || len(m.peers) == 0 || now-m.asked >= seedPeriod {
		m.asked = now
		envelopes = append(envelopes, envelope{to: m.without(m.seeds, m.self), asks: true, members: m.localList(domains, now)})
	}
	if list := m.dueList(domains, now); list != nil {
		envelopes = append(envelopes, envelope{to: own[len(relays):], members: list})
	}
	return envelopes
}

// isYoung reports whether the process started a moment ago, which the first call says.
func (m *membership) isYoung(now time.Duration) bool {
	if m.young == 0 {
		m.young = now + youngLife
	}
	return now < m.young
}

// dueList returns the first peers of the own failure domain, where its other processes were not told of them lately.
func (m *membership) dueList(domains map[uint32][]netip.AddrPort, now time.Duration) []listed {
	period := helloPeriod
	if m.isYoung(now) {
		period = youngPeriod
	}
	if now-m.told < period {
		return nil
	}
	m.told = now
	return m.localList(domains, now)
}

// answer returns what a process that asks for peers gets.
func (m *membership) answer(to netip.AddrPort, now time.Duration) envelope {
	return envelope{to: []netip.AddrPort{to}, members: m.list(m.byDomain(now), now)}
}

// spread returns who gets an update that this process read. One that is no relay leaves it to those of its domain.
func (m *membership) spread(now time.Duration) []envelope {
	domains := m.byDomain(now)
	if relays := first(domains[m.domain], relaysPerDomain); !slices.Contains(relays, m.self) {
		return []envelope{{to: relays, pass: true, members: m.localList(domains, now)}}
	}
	return m.passOn(m.self, m.domain, now)
}

// passOn returns who gets an update of a reader that came from a process of a failure domain and is to be passed on. From
// the own domain it goes to the relays of the others too.
func (m *membership) passOn(reader netip.AddrPort, from uint32, now time.Duration) []envelope {
	domains := m.byDomain(now)
	envelopes := []envelope{{to: m.without(domains[m.domain], m.self, reader), members: m.dueList(domains, now)}}
	if from == m.domain {
		remote := envelope{to: m.remoteRelays(domains), pass: true, members: m.localList(domains, now)}
		envelopes = append(envelopes, remote)
	}
	return envelopes
}

// isNews reports whether an update was not passed on before, as those are that come through two relays.
func (m *membership) isNews(reader netip.AddrPort, number uint32, part uint8) bool {
	next := passed{reader: reader, number: number, part: part}
	if m.passed.reader == reader && m.passed.number == number && part <= m.passed.part {
		return false
	}
	m.passed = next
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

// without returns a copy of the addresses that lacks some.
func (m *membership) without(addresses []netip.AddrPort, lacks ...netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(addresses), func(a netip.AddrPort) bool { return slices.Contains(lacks, a) })
}

// list names the first peers of each failure domain, localList those of the own one.
func (m *membership) list(domains map[uint32][]netip.AddrPort, now time.Duration) []listed {
	var all []listed
	for _, addresses := range domains {
		all = m.appendListed(all, addresses, now)
	}
	return all[:min(len(all), maxListed)]
}

func (m *membership) localList(domains map[uint32][]netip.AddrPort, now time.Duration) []listed {
	return m.appendListed(nil, domains[m.domain], now)
}

func (m *membership) appendListed(list []listed, addresses []netip.AddrPort, now time.Duration) []listed {
	for _, address := range first(addresses, listedPerDomain) {
		if held, known := m.peers[address]; known && now-held.heard < memberLife {
			list = append(list, listed{Peer: address, Domain: held.domain, Age: now - held.heard})
		}
	}
	return list
}

// contacts returns the live peers that this process exchanges messages with, and the seeds.
func (m *membership) contacts(now time.Duration) []netip.AddrPort {
	domains := m.byDomain(now)
	list := m.without(slices.Concat(first(domains[m.domain], listedPerDomain), m.remoteRelays(domains)), m.self)
	for _, seed := range m.seeds {
		if seed != m.self && !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	return list
}
