package feed

import (
	"errors"
	"log/slog"
	"sync"

	"github.com/cowslipward/cowslipward/rules"
)

// Limits of the deltas that a process keeps for peers that are a few revisions behind.
const (
	maxDeltas     = 64
	maxDeltaBytes = 256 << 10
)

// errGap is returned for a change whose base is not the revision in force; the full text must be fetched.
var errBaseMismatch = errors.New("a rule change does not follow from the revision in force")

// rulebook owns the rules in force. The revision only rises, and a file is taken as a whole or not at all.
type ruleStore struct {
	log *slog.Logger

	mu             sync.Mutex
	set            *rules.Set // nil before the first rules
	hash           uint64
	deltas         []rules.Delta // the last changes, oldest first; each one's base is the revision before it
	deltaBytes     int
	highestRefused rules.Revision // highest refused revision, so that a fault is logged once

	changed signal
}

func newRuleStore(log *slog.Logger) *ruleStore {
	return &ruleStore{log: log}
}

// current returns the rules in force, nil before the first.
func (s *ruleStore) current() *rules.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// stamp returns the revision in force and the hash of its text.
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

// wants reports whether a text of the revision could come into force.
func (s *ruleStore) isNewer(revision rules.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isNewerLocked(revision)
}

func (s *ruleStore) isNewerLocked(revision rules.Revision) bool {
	return revision > s.revisionLocked() && revision > s.highestRefused
}

// offer puts a file into force when its revision is higher and it has no faults. It reports whether it did.
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
	s.deltaBytes += delta.Bytes()
	for len(s.deltas) > maxDeltas || (s.deltaBytes > maxDeltaBytes && len(s.deltas) > 0) {
		s.deltaBytes -= s.deltas[0].Bytes()
		s.deltas = s.deltas[1:]
	}
}

// apply puts a change from a peer into force. A change that is no news is skipped; errGap asks for the full text.
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

// since returns the deltas from the revision to the one in force, or the whole set where a delta is missing. Both are
// empty when the revision is in force already or higher.
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
