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
	signal(s.eraChanged)
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

// eraReadInterval is the pause between two attempts to read what ends a transition to a new era.
const eraReadInterval = 100 * time.Millisecond

// runEraChanges ends the transitions to new eras in time, whether or not another process reads the store meanwhile.
func (s *Syncer) runEraChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.eraChanged:
		}
		for s.awaitEraHold(ctx) {
			s.readForEraChange(ctx)
			wait.For(ctx, eraReadInterval)
		}
	}
}

// awaitEraHold waits until records have been held back for long enough, and reports whether the transition has to be ended
// then. It reports false if there is none or if ctx is done.
func (s *Syncer) awaitEraHold(ctx context.Context) bool {
	for ctx.Err() == nil {
		s.mu.Lock()
		until, isChanging := s.directory.HoldUntil()
		pause := until - s.config.Now()
		s.mu.Unlock()
		if !isChanging || pause <= 0 {
			return isChanging
		}
		wait.For(ctx, pause)
	}
	return false
}

// readForEraChange reads what the store contains now. If the store does not answer, the view of a peer does, the reader's
// first.
func (s *Syncer) readForEraChange(ctx context.Context) {
	if s.retryDelay() <= 0 {
		err := s.readChanges(ctx, time.Millisecond)
		if err == nil {
			return
		}
		s.onStoreFailure(err)
	}
	s.mu.Lock()
	reader := s.reader
	s.mu.Unlock()
	if !reader.IsValid() || !s.fetch(ctx, reader) {
		s.fetchFromAnyPeer(ctx)
	}
}

// expiryTime returns the time up to which expired targets are removed. During a transition to a new era that is the time up
// to which this process knows what was written again. The caller must hold s.mu.
func (s *Syncer) expiryTime(now time.Duration) time.Duration {
	if s.directory.IsChangingEra() {
		return s.readAt
	}
	return now
}

// endEraChange merges the records that were held back if they were not written again for eraHoldPeriod, as far as this
// process has read by requests of its own. Updates of the reader do not count: after a pause, old ones may be left in the
// socket. The caller must hold s.mu.
func (s *Syncer) endEraChange(now time.Duration) {
	change, records, ended := s.directory.EndEraChange(s.readAt, now)
	for i := range records {
		logRecord(s.config.Log, &records[i], s.directory.Config())
	}
	if ended {
		s.config.Log.Info("store_era_settled", "era", s.era(), "since_change", now-change, "read", now-s.readAt, "merged", len(records))
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
