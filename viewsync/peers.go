package viewsync

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/internal/wait"
)

// repeatFor is how long updates repeat a change, so that a lost datagram costs nothing.
const repeatFor = 700 * time.Millisecond

var (
	sentMessages = metrics.NewCounter("cowslip_peer_messages_sent_total")
	sentBytes    = metrics.NewCounter("cowslip_peer_bytes_sent_total")
)

// push sends what changed lately to the relays, and from there to all live peers.
func (s *Syncer) push() {
	s.mu.Lock()
	now := s.config.Now()
	s.updates++
	m := message{
		Kind: kindUpdate, Reader: s.config.Self, Number: s.updates,
		Base: s.base(), Revision: s.directory.Revision(), Age: now - s.known,
	}
	records := s.directory.ChangesSince(m.Base, now)
	envelopes := s.members.spread(now)
	s.mu.Unlock()
	parts, fits := split(records)
	if !fits {
		m.Partial, parts = true, [][]directory.Record{nil}
	}
	m.Parts = uint8(len(parts))
	for i := range parts {
		m.Part, m.Records = uint8(i), parts[i]
		s.sendAll(&m, envelopes)
	}
}

// passOn passes the update of a reader on, which came some time ago.
func (s *Syncer) passOn(m *message, came time.Duration) {
	s.mu.Lock()
	now := s.config.Now()
	passed := *m
	passed.Age += now - came
	var envelopes []envelope
	if s.members.isNews(m.Reader, m.Number, m.Part) {
		envelopes = s.members.passOn(m.Reader, m.Domain, now)
	}
	s.mu.Unlock()
	s.sendAll(&passed, envelopes)
}

// hello tells the contacts that this process lives.
func (s *Syncer) hello() {
	s.mu.Lock()
	envelopes := s.members.hellos(s.config.Now())
	s.mu.Unlock()
	s.sendAll(&message{Kind: kindHello}, envelopes)
}

// answer names the known peers to a process that asked for them.
func (s *Syncer) answer(to netip.AddrPort) {
	s.mu.Lock()
	known := s.members.answer(to, s.config.Now())
	s.mu.Unlock()
	s.sendAll(&message{Kind: kindHello}, []envelope{known})
}

// askReader asks the process that reads the store for a confirmed view. It reports false where none is known.
func (s *Syncer) askReader() bool {
	s.mu.Lock()
	now := s.config.Now()
	ok := !s.reading && s.reader.IsValid() && now-s.known < s.patience
	reader := s.reader
	s.mu.Unlock()
	if ok {
		s.sendAll(&message{Kind: kindConfirm}, []envelope{{to: []netip.AddrPort{reader}}})
	}
	return ok
}

// sendAll sends the message in each envelope. It sets what all messages of this process have.
func (s *Syncer) sendAll(m *message, envelopes []envelope) {
	m.Domain = s.members.domain
	for i := range envelopes {
		m.Pass, m.Asks, m.Members = envelopes[i].pass, envelopes[i].asks, envelopes[i].members
		s.send(m, envelopes[i].to)
	}
}

func (s *Syncer) send(m *message, peers []netip.AddrPort) {
	if len(peers) == 0 {
		return
	}
	datagram, err := m.encode()
	if err != nil {
		s.config.Log.Error("message_not_encoded", "error", err)
		return
	}
	for _, peer := range peers {
		if _, err := s.socket.WriteToUDPAddrPort(datagram, peer); err != nil {
			s.config.Log.Debug("message_not_sent", "peer", peer, "error", err)
			continue
		}
		sentMessages.Inc()
		sentBytes.Add(len(datagram))
	}
}

// RunPeers exchanges messages with peers until the context ends.
func (s *Syncer) RunPeers(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	go s.runHello(ctx)
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.config.Log.Warn("peer_socket_read_failed", "error", err)
			wait.For(ctx, retryMin)
			continue
		}
		m, err := decodeMessage(buffer[:n])
		if err != nil {
			s.config.Log.Warn("peer_message_unreadable", "peer", from, "error", err)
			continue
		}
		s.receive(ctx, m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// runHello says hello each period, and at once where the relays of the failure domain changed. A process that knows nobody
// asks its seeds more often: all of a fleet may have started at the same moment.
func (s *Syncer) runHello(ctx context.Context) {
	for ctx.Err() == nil {
		s.hello()
		period := s.helloPeriod()
		timer := time.NewTimer(period)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.regroup:
			wait.For(ctx, regroupPause)
		}
		timer.Stop()
	}
}

const (
	// lonelyPeriod is the time between two hellos of a process that knows no peer, and youngPeriod that of one that started a
	// moment ago.
	lonelyPeriod = 100 * time.Millisecond
	youngPeriod  = 200 * time.Millisecond
)

// helloPeriod returns the time until the next hello.
func (s *Syncer) helloPeriod() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	switch {
	case s.members.live(now) == 0:
		return lonelyPeriod
	case s.members.isYoung(now):
		return youngPeriod
	default:
		return helloPeriod
	}
}

// regroupPause is the least time between two hellos.
const regroupPause = 50 * time.Millisecond

// receive takes over a message.
func (s *Syncer) receive(ctx context.Context, m *message, from netip.AddrPort) {
	s.mu.Lock()
	changed := s.members.learn(from, m.Domain, m.Members, s.config.Now())
	s.asked = s.asked || m.Kind == kindConfirm
	s.mu.Unlock()
	if changed {
		signal(s.regroup)
	}
	if m.Asks {
		s.answer(from)
	}
	switch m.Kind {
	case kindConfirm:
		s.RequestConfirmation()
	case kindUpdate:
		s.update(ctx, m, from)
	}
}

// update takes over what a reader learned and passes it on where the sender asks for it.
func (s *Syncer) update(ctx context.Context, m *message, from netip.AddrPort) {
	if m.Reader == s.config.Self {
		return
	}
	s.mu.Lock()
	now := s.config.Now()
	s.noteReader(m.Reader, now)
	known := now - m.Age - transitMargin
	yields := m.Reader.Compare(s.config.Self) < 0 && known > s.known-patience
	state := s.parts.take(m)
	isWhole := state == progressDone && !m.Partial && m.Base <= s.directory.Revision()
	isBehind := s.directory.Revision() < m.Revision
	merged := false
	if isWhole || !isBehind {
		merged = s.merge(m.Records, m.Revision, known)
	} else {
		s.apply(m.Records) // as far as they are known; the others follow or are fetched
	}
	if yields {
		s.yieldedAt = now
		s.setReading(false)
	}
	s.mu.Unlock()
	if merged || state == progressWaiting {
		s.finishUpdate(m, now)
		return
	}
	s.fetchInBackground(ctx, m, from, now)
}

// noteReader takes over which process reads the store. Of several that do, the one with the lowest address goes on, so that
// confirmations are asked of that one. The caller holds the lock.
func (s *Syncer) noteReader(reader netip.AddrPort, now time.Duration) {
	goesOn := s.reader.IsValid() && now-s.updated < s.patience
	if goesOn && s.reader.Compare(reader) < 0 {
		return
	}
	s.reader, s.updated = reader, now
}

// fetchInBackground fetches what an update lacks, unless a fetch runs: messages that come meanwhile must not wait.
func (s *Syncer) fetchInBackground(ctx context.Context, m *message, from netip.AddrPort, came time.Duration) {
	if !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		s.fetch(ctx, from)
		s.fetching.Store(false)
		s.finishUpdate(m, came)
	}()
}

// finishUpdate passes an update on, now that this process has what it tells, and wakes the loop.
func (s *Syncer) finishUpdate(m *message, came time.Duration) {
	if m.Pass {
		s.passOn(m, came)
	}
	signal(s.changed)
}
