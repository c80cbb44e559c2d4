package viewsync

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/internal/wait"
)

var errOlderEra = errors.New("store responded in an earlier era than the known one")

var (
	eraChanges        = metrics.NewCounter("cowslip_store_era_changes_total")
	heldRecords       = metrics.NewCounter("cowslip_store_era_held_records_total")
	olderEraResponses = metrics.NewCounter("cowslip_store_era_older_responses_total")
	olderEraUpdates   = metrics.NewCounter("cowslip_peer_updates_older_era_total")
	olderEraFetches   = metrics.NewCounter("cowslip_peer_fetches_older_era_total")
)

// maxLoggedHeld bounds the records held back that are logged one by one.
const maxLoggedHeld = 16

// era returns the era of the store that the view follows. The caller must hold s.mu.
func (s *Syncer) era() uint16 { return s.directory.Revision().Era() }

// isNewEra reports whether a revision is of a later era than the view. A process without a view has none yet. The
// caller must hold s.mu.
func (s *Syncer) isNewEra(revision directory.Revision) bool {
	return s.directory.Revision() != 0 && revision.Era() > s.era()
}

// refuseOlderEra counts a response of the store in an earlier era. It confirms nothing.
func refuseOlderEra() error {
	olderEraResponses.Inc()
	return errOlderEra
}

// acceptsFetched reports whether the response of a peer can be merged: it is not of an earlier era, and changes do not
// cross eras. The caller must hold s.mu.
func (s *Syncer) acceptsFetched(r *fetchResponse) bool {
	if r.revision.Era() < s.era() {
		olderEraFetches.Inc()
		return false
	}
	isChangeAcrossEras := s.isNewEra(r.revision) && !r.snapshot
	s.needSnapshot = s.needSnapshot || isChangeAcrossEras
	return !isChangeAcrossEras
}

// onEraChange handles the first snapshot of a new era: a reader that is not known to have it is no longer followed. The
// caller must hold s.mu.
func (s *Syncer) onEraChange(change directory.EraChange) {
	eraChanges.Inc()
	s.publishedAt, s.eraPause, s.eraPauses = s.config.Now(), 0, 0
	s.config.Store.ObserveEra(change.To.Era())
	if s.readerEra < change.To.Era() {
		s.reader = netip.AddrPort{}
	}
	held := s.directory.HeldRecords()
	heldRecords.Add(len(held))
	s.config.Log.Warn("store_era_changed", "old_era", change.From.Era(), "old_revision", change.From.Number(),
		"new_era", change.To.Era(), "new_revision", change.To.Number(), "held_back", len(held))
	for i := range held[:min(len(held), maxLoggedHeld)] {
		r := &held[i]
		s.config.Log.Info("record_held_back", "kind", r.Kind.String(), "name", r.Name, "removed", r.Removed, "revision", r.Revision)
	}
}

// maxPublishGap is the longest time between two views that counts towards the periods after a restoration. A running
// process publishes more often. One that was paused finds old updates in its socket, and has to read first what was
// written again in the meantime.
const maxPublishGap = time.Second

// maxEraPauses bounds the gaps that do not count. They also occur while a process runs and the store does not answer, and
// must not prolong the periods without end.
const maxEraPauses = 2

// trackEraPause adds the time since the last view to the time that does not count. The caller must hold s.mu.
func (s *Syncer) trackEraPause(now time.Duration) {
	if gap := now - s.publishedAt; gap > maxPublishGap && s.eraPauses < maxEraPauses && s.directory.IsChangingEra() {
		s.eraPause += gap
		s.eraPauses++
	}
	s.publishedAt = now
}

// endEraChange merges the records that were held back if their time is over. The caller must hold s.mu.
func (s *Syncer) endEraChange(now time.Duration) {
	records := s.directory.EndEraChange(now-s.eraPause, now)
	for i := range records {
		logRecord(s.config.Log, &records[i], s.directory.Config())
	}
	if !s.directory.IsChangingEra() {
		s.eraPause, s.eraPauses = 0, 0
	}
}

// Fetches after the start. A process that starts while the store has the configuration of a backup learns the one in
// force from its peers.
const (
	startFetchDelay = 500 * time.Millisecond // peers have exchanged hello messages by then
	maxStartFetches = 2
)

func (s *Syncer) fetchAfterStart(ctx context.Context) {
	wait.For(ctx, startFetchDelay)
	s.mu.Lock()
	peers := s.members.fetchCandidates(s.config.Now())
	s.mu.Unlock()
	for _, peer := range first(peers, maxStartFetches) {
		if ctx.Err() != nil {
			return
		}
		s.fetch(ctx, peer)
	}
}
