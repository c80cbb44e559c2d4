package viewsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/internal/wait"
	"github.com/cowslipward/cowslipward/platform"
)

const (
	// readTimeout bounds a call of the store that does not wait.
	readTimeout = 400 * time.Millisecond
	// watchWait is how long a watch waits for a change.
	watchWait = 500 * time.Millisecond
	// watchPause is the time between two watches, in which changes gather.
	watchPause = 100 * time.Millisecond
	// retryMin and retryMax bound the pause after failed calls, which doubles with each.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// startRetry is the shortest pause between two calls of a process without any view, which can serve nothing.
	startRetry = 40 * time.Millisecond
	// confirmPause is the least time between two confirmations that were asked for.
	confirmPause = 40 * time.Millisecond
	// readerAnswer is how long a process waits for the reader to confirm the view. The reader may be in its pause.
	readerAnswer = confirmPause + 30*time.Millisecond
)

// Run keeps the view current until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	s.start(ctx)
	go s.runConfirm(ctx)
	for ctx.Err() == nil {
		if pause := s.untilRead(); pause > 0 {
			s.waitForChange(ctx, pause)
			continue
		}
		s.step(ctx)
	}
}

// start reads the whole store. Where it is out of reach, a peer's view serves until it returns.
func (s *Syncer) start(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.readWhole(ctx)
		if err == nil {
			s.push() // peers that started without the store wait for it too
			return
		}
		s.noteFailure(err)
		if s.fetchFromAnyPeer(ctx) {
			return
		}
		wait.For(ctx, startRetry+rand.N(startRetry))
		if s.revision() > 0 {
			return // a peer sent its view
		}
	}
}

// untilRead returns how long the process may still rely on its peers.
func (s *Syncer) untilRead() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading {
		return 0
	}
	return s.known + s.patience - s.config.Now()
}

func (s *Syncer) waitForChange(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.changed:
	}
}

// step makes one call of the store and passes the answer on.
func (s *Syncer) step(ctx context.Context) {
	begin := s.config.Now()
	if err := s.readChanges(ctx, watchWait); err != nil {
		s.stopReading()
		s.noteFailure(err)
		s.waitForChange(ctx, s.untilRetry())
		return
	}
	s.takeOver(begin)
	s.push()
	wait.For(ctx, watchPause)
}

// readChanges takes over what changed in the store. Where it no longer has the changes, all of it is read.
func (s *Syncer) readChanges(ctx context.Context, limit time.Duration) error {
	err := s.watch(ctx, limit)
	if errors.Is(err, platform.ErrHistoryGone) {
		s.config.Log.Warn("store_history_gone", "revision", s.revision())
		return s.readWhole(ctx)
	}
	return err
}

// takeOver makes the process the reader, unless it yielded to another one during its call.
func (s *Syncer) takeOver(begin time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.yieldedAt < begin {
		s.setReading(true)
	}
}

func (s *Syncer) stopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setReading(false)
}

// setReading notes whether the process reads for its peers. The caller holds the lock.
func (s *Syncer) setReading(reading bool) {
	if s.reading != reading {
		s.reading = reading
		s.config.Log.Info("reading_for_peers", "reading", reading, "peers", s.members.live(s.config.Now()))
	}
}

func (s *Syncer) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Revision()
}

// readWhole reads all records.
func (s *Syncer) readWhole(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := s.config.Now()
	answer, err := s.config.Store.Read(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteAnswer(answer.Revision)
	s.mergeWhole(answer.Records, answer.Revision, asked)
	return nil
}

// watch waits for changes. A watch that ends without one confirms the view as of its end.
func (s *Syncer) watch(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit+readTimeout)
	defer cancel()
	asked := s.config.Now()
	answer, err := s.config.Store.Watch(ctx, s.revision(), limit)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if elapsed := s.config.Now() - asked; len(answer.Records) == 0 && answer.Ignored == 0 && elapsed >= limit {
		asked += limit
	}
	s.noteAnswer(answer.Revision)
	if s.config.Now() < s.graceTill {
		markLapses(answer.Records)
	}
	s.merge(answer.Records, answer.Revision, asked)
	return nil
}

// noteAnswer notes that the store answered. The caller holds the lock.
func (s *Syncer) noteAnswer(revision uint64) {
	now := s.config.Now()
	if s.readAt != 0 {
		s.noteReturn(max(s.readAt, s.known), now)
	}
	if s.failures > 0 {
		s.config.Log.Info("store_regained", "away", now-s.readAt, "failures", s.failures, "revision", revision)
	}
	s.failures, s.retryAt = 0, 0
	s.readAt = now
}

// noteReturn gives entries time to come back where the store has been away since the last news of it.
func (s *Syncer) noteReturn(last, now time.Duration) {
	if now-last > awayLimit {
		s.graceTill = now + returnGrace
	}
}

// markLapses notes that entries which are missing may come back, since the store was away.
func markLapses(records []directory.Record) {
	for i := range records {
		records[i].Expired = records[i].Removed && records[i].Kind == directory.KindTarget
	}
}

func (s *Syncer) noteFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if s.failures == 0 {
		s.config.Log.Warn("store_lost", "error", err, "view_age", now-s.known)
	}
	s.failures++
	s.retryAt = now + retryPause(s.failures)
}

// retryPause returns the pause after so many failed calls in a row. Its random half keeps the calls of all processes, each
// of which has a price, from coming at once.
func retryPause(failures int) time.Duration {
	pause := min(retryMax, retryMin<<min(failures-1, maxDoublings))
	return pause/2 + rand.N(pause/2)
}

// maxDoublings keeps the pause from overflowing.
const maxDoublings = 8

// untilRetry returns how long the process leaves the store alone after failed calls, zero or less where it does not.
func (s *Syncer) untilRetry() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryAt - s.config.Now()
}

// runConfirm makes the confirmations that were asked for. The reader makes them for all; where it does not answer, the
// process asks the store itself.
func (s *Syncer) runConfirm(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.confirm:
		}
		asked := s.config.Now()
		if s.askReader() {
			wait.For(ctx, readerAnswer)
		}
		if s.knownAt() < asked && s.untilRetry() <= 0 {
			s.confirmNow(ctx)
		}
		wait.For(ctx, confirmPause)
	}
}

// confirmNow asks the store. Where no other process reads for this one, or a peer asked for the confirmation, it becomes the
// reader, so that its peers need not ask for themselves.
func (s *Syncer) confirmNow(ctx context.Context) {
	begin := s.config.Now()
	if err := s.readChanges(ctx, time.Millisecond); err != nil {
		s.noteFailure(err)
		s.config.Log.Warn("confirmation_failed", "error", err, "view_age", s.ViewAge())
		return
	}
	if s.lacksReader() {
		s.takeOver(begin)
		signal(s.changed)
	}
	s.mu.Lock()
	reading := s.reading
	s.mu.Unlock()
	if reading {
		s.push()
	}
}

// lacksReader reports whether a peer takes this process for the reader, or no update of a reader came within the patience.
func (s *Syncer) lacksReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.asked
	s.asked = false
	return asked || !s.reader.IsValid() || s.config.Now()-s.updated >= s.patience
}

func (s *Syncer) knownAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}
