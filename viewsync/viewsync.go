// Package viewsync keeps a balancer's view of the deployment current.
package viewsync

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/platform"
)

const (
	// readTimeout bounds a read of the whole store.
	readTimeout = 400 * time.Millisecond
	// watchWait is how long a watch waits for a change.
	watchWait = 800 * time.Millisecond
	// watchPause is the time between two watches, in which changes gather.
	watchPause = 150 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// awayLimit is how long the store must have been out of reach for lapsed entries to be given time to come back.
	awayLimit = 2 * time.Second
	// returnGrace is how long after the return of the store a removal counts as a lapse.
	returnGrace = 2 * time.Second
)

// Publish takes a view that the store confirmed at the steady time known.
type Publish func(view *directory.View, known time.Duration)

// Syncer reads the store and publishes views.
type Syncer struct {
	store     *platform.Store
	now       func() time.Duration
	publish   Publish
	log       *slog.Logger
	directory *directory.Directory
	known     time.Duration
	graceTill time.Duration
	failing   bool
}

// New returns a syncer. The function now is the steady clock by which views are dated.
func New(store *platform.Store, now func() time.Duration, publish Publish, log *slog.Logger) *Syncer {
	return &Syncer{store: store, now: now, publish: publish, log: log, directory: directory.New()}
}

// Run keeps the view current until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		asked := s.now()
		err := s.read(ctx, whole)
		if errors.Is(err, platform.ErrHistoryGone) {
			s.log.Warn("store_history_gone", "revision", s.directory.Revision())
			whole = true
			continue
		}
		if err != nil {
			s.noteFailure(err)
			sleep(ctx, retryMin+rand.N(retryMax-retryMin))
			continue
		}
		whole = false
		s.noteSuccess(asked)
		sleep(ctx, watchPause)
	}
}

func (s *Syncer) read(ctx context.Context, whole bool) error {
	if whole {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		answer, err := s.store.Read(ctx)
		if err != nil {
			return err
		}
		s.noteRecords(s.directory.Replace(answer.Records, answer.Revision, s.now(), s.isReturning()))
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	answer, err := s.store.Watch(ctx, s.directory.Revision(), watchWait)
	if err != nil {
		return err
	}
	s.apply(answer)
	return nil
}

func (s *Syncer) apply(answer *platform.Answer) {
	var changed []directory.Record
	for i := range answer.Records {
		if s.directory.Apply(&answer.Records[i], s.now(), s.isReturning()) {
			changed = append(changed, answer.Records[i])
		}
	}
	s.directory.Advance(answer.Revision)
	s.noteRecords(changed)
}

// isReturning reports whether the store came back a moment ago, so that entries may have lapsed meanwhile.
func (s *Syncer) isReturning() bool {
	now := s.now()
	if s.known != 0 && now-s.known > awayLimit {
		s.graceTill = now + returnGrace
	}
	return now < s.graceTill
}

func (s *Syncer) noteSuccess(asked time.Duration) {
	if s.failing {
		s.failing = false
		s.log.Info("store_regained", "away", s.now()-s.known, "revision", s.directory.Revision())
	}
	s.known = max(s.known, asked)
	for _, id := range s.directory.DropLapsed(s.now()) {
		s.log.Info("target_lapsed", "target", id)
	}
	s.publish(s.directory.View(), s.known)
}

func (s *Syncer) noteFailure(err error) {
	if !s.failing {
		s.failing = true
		s.log.Warn("store_lost", "error", err, "view_age", s.now()-s.known)
	}
	s.directory.DropLapsed(s.now())
}

func (s *Syncer) noteRecords(changed []directory.Record) {
	for i := range changed {
		logRecord(s.log, &changed[i])
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
