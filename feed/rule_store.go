package feed

import (
	"errors"
	"log/slog"
	"sync"

	"github.com/cowslipward/cowslipward/rules"
)

// Limits of the deltas that are kept for peers that are a few revisions behind.
const (
	maxDeltas     = 64
	maxDeltaBytes = 256 << 10
)

// errBaseMismatch is returned for a change whose base is not the revision in force. The full text must be fetched.
var errBaseMismatch = errors.New("rule change does not apply to the revision in force")

// ruleStore holds the rules in force. The revision never decreases, and a file is applied as a whole or not at all.
type ruleStore struct {
	log *slog.Logger

	mu             sync.Mutex
	set            *rules.Set // nil before the first rules
	hash           uint64
	deltas         []rules.Delta // the last changes, oldest first; each one's base is the revision before it
	deltaBytes     int
	highestRefused rules.Revision // highest rejected revision; a faulty file is parsed and logged once

	changed signal
}

func newRuleStore(log *slog.Logger) *ruleStore {
	return &ruleStore{log: log}
}

// current returns the rules in force, nil before the first rules.
func (s *ruleStore) current() *rules.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// revisionAndHash returns the revision in force and the hash of its text.
func (s *ruleStore) revisionAndHash() (rules.Revision, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisionLocked(), s.hash
}

func (s *ruleStore) revisionLocked() rules.Revision {
	if s.set == nil {
		return 0
	}
	return s.set.Revision
}

// isNewer reports whether the revision is higher than the one in force and than all rejected ones.
func (s *ruleStore) isNewer(revision rules.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isNewerLocked(revision)
}

func (s *ruleStore) isNewerLocked(revision rules.Revision) bool {
	return revision > s.revisionLocked() && revision > s.highestRefused
}

// applyText puts the text into force if its revision is newer and it parses. It reports whether it did.
func (s *ruleStore) applyText(text string, revision rules.Revision, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isNewerLocked(revision) {
		return false
	}
	set, err := rules.Parse(text, revision)
	if err != nil {
		s.highestRefused = revision
		s.log.Error("rules_refused", "revision", revision, "source", source, "in_force", s.revisionLocked(), "error", err)
		return false
	}
	s.replaceLocked(set, source)
	return true
}

func (s *ruleStore) replaceLocked(set *rules.Set, source string) {
	if s.set != nil {
		s.addDeltaLocked(rules.NewDelta(s.set, set))
	}
	s.log.Info("rules_in_force", "revision", set.Revision, "before", s.revisionLocked(), "source", source)
	s.set = set
	s.hash = rules.HashText(set.Text)
	s.changed.notify()
}

func (s *ruleStore) addDeltaLocked(delta rules.Delta) {
	s.deltas = append(s.deltas, delta)
	s.deltaBytes += delta.Size()
	for len(s.deltas) > maxDeltas || (s.deltaBytes > maxDeltaBytes && len(s.deltas) > 0) {
		s.deltaBytes -= s.deltas[0].Size()
		s.deltas = s.deltas[1:]
	}
}

// applyChange puts a change from a peer into force: the full text, or the delta if text is empty. A change that is not
// newer is skipped. It returns errBaseMismatch if the delta does not apply to the revision in force.
func (s *ruleStore) applyChange(change *rules.Delta, text, source string) error {
	if text != "" {
		s.applyText(text, change.Revision, source)
		return nil
	}
	if !s.isNewer(change.Revision) {
		return nil
	}
	set := s.current()
	if set == nil || set.Revision != change.Base {
		return errBaseMismatch
	}
	next, err := change.Apply(set.Text)
	if err != nil {
		return errors.Join(errBaseMismatch, err)
	}
	s.applyText(next, change.Revision, source)
	return nil
}

// deltasSince returns the deltas from the revision to the one in force, or the whole set if a delta is missing or the
// hash does not match. Both results are nil if the revision is not lower than the one in force.
func (s *ruleStore) deltasSince(revision rules.Revision, hash uint64) ([]rules.Delta, *rules.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == nil || revision >= s.set.Revision {
		return nil, nil
	}
	for i := range s.deltas {
		if s.deltas[i].Base != revision {
			continue
		}
		if i > 0 && s.deltas[i-1].Hash != hash {
			break
		}
		return append([]rules.Delta(nil), s.deltas[i:]...), nil
	}
	return nil, s.set
}
