package viewsync

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/internal/wait"
)

// changeRepeatDuration is how long updates repeat a change, so that the loss of a datagram has no effect.
const changeRepeatDuration = 700 * time.Millisecond

var (
	sentMessages = metrics.NewCounter("cowslip_peer_messages_sent_total")
	sentBytes    = metrics.NewCounter("cowslip_peer_bytes_sent_total")

	unencodableRecords = metrics.NewCounter("cowslip_records_not_encoded_total")
)

// sendUpdate sends the recent changes to the peers; relays forward them to the rest of the fleet.
func (s *Syncer) sendUpdate() {
	s.mu.Lock()
	now := s.config.Now()
	s.sequence++
	m := message{
		Kind: kindUpdate, Reader: s.config.Self, Sequence: s.sequence,
		Base: s.baseRevision(), Revision: s.directory.Revision(), Age: now - s.confirmedAt,
	}
	records := s.directory.ChangesSince(m.Base, now)
	envelopes := s.members.updateEnvelopes(now)
	s.mu.Unlock()
	parts, failed, fits := splitRecords(records)
	s.reportUnencodable(failed)
	if !fits {
		m.RecordsOmitted, parts = true, [][]directory.Record{nil}
	}
	m.Parts = uint8(len(parts))
	for i := range parts {
		m.Part, m.Records = uint8(i), parts[i]
		s.sendAll(&m, envelopes)
	}
}

// reportUnencodable logs and counts the records that are left out of a message.
func (s *Syncer) reportUnencodable(failed []error) {
	for _, err := range failed {
		unencodableRecords.Inc()
		s.config.Log.Error("record_not_encoded", "error", err)
	}
}

// forwardUpdate forwards an update received at receivedAt, unless it was forwarded before. It adds the time
// since then to the age of the view.
func (s *Syncer) forwardUpdate(m *message, receivedAt time.Duration) {
	s.mu.Lock()
	now := s.config.Now()
	forwarded := *m
	forwarded.Age += now - receivedAt
	var envelopes []envelope
	if s.members.markForwarded(m.Reader, m.Sequence, m.Part) {
		envelopes = s.members.forwardEnvelopes(m.Reader, m.Domain, now)
	}
	s.mu.Unlock()
	s.sendAll(&forwarded, envelopes)
}

// sendHello sends a heartbeat to peers.
func (s *Syncer) sendHello() {
	s.mu.Lock()
	envelopes := s.members.helloEnvelopes(s.config.Now())
	s.mu.Unlock()
	s.sendAll(&message{Kind: kindHello}, envelopes)
}

// sendPeers replies to a request for a list of peers.
func (s *Syncer) sendPeers(to netip.AddrPort) {
	s.mu.Lock()
	reply := s.members.replyEnvelope(to, s.config.Now())
	s.mu.Unlock()
	s.sendAll(&message{Kind: kindHello}, []envelope{reply})
}

// requestReaderConfirmation asks the current reader to confirm the view. It returns false if this process
// is the reader, no reader is known or the view is older than the reader timeout.
func (s *Syncer) requestReaderConfirmation() bool {
	s.mu.Lock()
	now := s.config.Now()
	ok := !s.isReader && s.reader.IsValid() && now-s.confirmedAt < s.readerTimeout
	reader := s.reader
	s.mu.Unlock()
	if ok {
		s.sendAll(&message{Kind: kindConfirm}, []envelope{{to: []netip.AddrPort{reader}}})
	}
	return ok
}

// sendAll sends the message to the recipients of each envelope. It sets the fields of the message that the
// envelope determines, and the failure domain.
func (s *Syncer) sendAll(m *message, envelopes []envelope) {
	m.Domain = s.members.domain
	for i := range envelopes {
		m.Forward, m.WantsPeers, m.Members = envelopes[i].forward, envelopes[i].wantsPeers, envelopes[i].members
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

// RunPeers exchanges messages with peers until ctx is done. It then closes the UDP socket.
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
		s.handleMessage(ctx, m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// runHello sends a hello periodically, and minHelloPeriod after the relays of the failure domain changed. A
// process without peers queries its seeds more often, since the whole fleet may have started at the same
// time.
func (s *Syncer) runHello(ctx context.Context) {
	for ctx.Err() == nil {
		s.sendHello()
		period := s.nextHelloPeriod()
		timer := time.NewTimer(period)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.relaysChanged:
			wait.For(ctx, minHelloPeriod)
		}
		timer.Stop()
	}
}

const (
	// isolatedHelloPeriod is the interval between the hellos of a process without peers, and
	// startupHelloPeriod that of a process within startupDuration of its start.
	isolatedHelloPeriod = 100 * time.Millisecond
	startupHelloPeriod  = 200 * time.Millisecond
)

// nextHelloPeriod returns the time until the next hello.
func (s *Syncer) nextHelloPeriod() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	switch {
	case s.members.liveCount(now) == 0:
		return isolatedHelloPeriod
	case s.members.isStarting(now):
		return startupHelloPeriod
	default:
		return helloPeriod
	}
}

// minHelloPeriod is the minimum interval between two hellos.
const minHelloPeriod = 50 * time.Millisecond

// handleMessage processes a message received from a peer.
func (s *Syncer) handleMessage(ctx context.Context, m *message, from netip.AddrPort) {
	s.mu.Lock()
	changed := s.members.observe(from, m.Domain, m.Members, s.config.Now())
	s.confirmRequested = s.confirmRequested || m.Kind == kindConfirm
	s.mu.Unlock()
	if changed {
		signal(s.relaysChanged)
	}
	if m.WantsPeers {
		s.sendPeers(from)
	}
	switch m.Kind {
	case kindConfirm:
		s.RequestConfirmation()
	case kindUpdate:
		s.handleUpdate(ctx, m, from)
	}
}

// handleUpdate applies an update and forwards it if the sender requested that. It fetches records that are
// missing, and yields the reader role to a reader with a lower address whose view is current.
func (s *Syncer) handleUpdate(ctx context.Context, m *message, from netip.AddrPort) {
	if m.Reader == s.config.Self {
		return
	}
	s.mu.Lock()
	now := s.config.Now()
	if era := m.Revision.Era(); era < s.era() {
		s.mu.Unlock()
		olderEraUpdates.Inc()
		if m.Forward {
			s.forwardUpdate(m, now) // processes of versions without eras use it
		}
		return
	}
	s.updateReader(m.Reader, m.Revision.Era(), now)
	confirmedAt := now - m.Age - networkDelayMargin
	if s.isDraining() {
		confirmedAt = 0
	}
	yield := m.Reader.Compare(s.config.Self) < 0 && confirmedAt > s.confirmedAt-readerTimeout
	state := s.parts.track(m)
	isNewEra := s.isNewEra(m.Revision)
	s.needSnapshot = s.needSnapshot || isNewEra
	isComplete := !isNewEra && state == partsComplete && !m.RecordsOmitted && m.Base <= s.directory.Revision()
	isBehind := s.directory.Revision() < m.Revision
	merged := false
	if isComplete || !isBehind {
		merged = s.mergeChanges(m.Records, m.Revision, confirmedAt)
	} else {
		s.apply(m.Records) // the remaining records are in later parts or are fetched
	}
	if yield {
		s.resignedAt = now
		s.setReader(false)
	}
	s.mu.Unlock()
	if merged || (state == partsPending && !isNewEra) {
		s.finishUpdate(m, now)
		return
	}
	s.fetchInBackground(ctx, m, from, now)
}

// updateReader records the originator of an update as the current reader. Of several live readers, the one with
// the lowest address remains the reader, so confirmations are requested from that one; a reader of a newer era of the
// store replaces it. The caller must hold s.mu.
func (s *Syncer) updateReader(reader netip.AddrPort, era uint16, now time.Duration) {
	readerAlive := era <= s.readerEra && s.reader.IsValid() && now-s.readerSeenAt < s.readerTimeout
	if readerAlive && s.reader.Compare(reader) < 0 {
		return
	}
	s.reader, s.readerEra, s.readerSeenAt = reader, era, now
}

// fetchInBackground fetches the records missing from an update, unless a fetch is already running. It does
// not block, so that messages arriving in the meantime are not delayed.
func (s *Syncer) fetchInBackground(ctx context.Context, m *message, from netip.AddrPort, receivedAt time.Duration) {
	if !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		s.fetch(ctx, from)
		s.fetching.Store(false)
		s.finishUpdate(m, receivedAt)
	}()
}

// finishUpdate forwards an update if the sender requested that, and wakes Run. It is called after the update
// was applied, so that peers can fetch its records from this process.
func (s *Syncer) finishUpdate(m *message, receivedAt time.Duration) {
	if m.Forward {
		s.forwardUpdate(m, receivedAt)
	}
	signal(s.wake)
}
