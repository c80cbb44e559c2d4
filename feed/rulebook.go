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
var errGap = errors.New("a rule change does not follow from the revision in force")

// rulebook owns the rules in force. The revision only rises, and a file is taken as a whole or not at all.
type rulebook struct {
	log *slog.Logger

	mu      sync.Mutex
	set     *rules.Set // nil before the first rules
	hash    uint64
	deltas  []rules.Delta // the last changes, oldest first; each one's base is the revision before it
	bytes   int
	refused rules.Revision // highest refused revision, so that a fault is logged once

	changed signal
}

func newRulebook(log *slog.Logger) *rulebook {
	return &rulebook{log: log}
}

// current returns the rules in force, nil before the first.
func (b *rulebook) current() *rules.Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set
}

// stamp returns the revision in force and the hash of its text.
func (b *rulebook) stamp() (rules.Revision, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision(), b.hash
}

func (b *rulebook) revision() rules.Revision {
	if b.set == nil {
		return 0
	}
	return b.set.Revision
}

// wants reports whether a text of the revision could come into force.
func (b *rulebook) wants(revision rules.Revision) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isNews(revision)
}

func (b *rulebook) isNews(revision rules.Revision) bool {
	return revision > b.revision() && revision > b.refused
}

// offer puts a file into force when its revision is higher and it has no faults. It reports whether it did.
func (b *rulebook) offer(text string, revision rules.Revision, source string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isNews(revision) {
		return false
	}
	set, err := rules.Parse(text, revision)
	if err != nil {
		b.refused = revision
		b.log.Error("rules_refused", "revision", revision, "source", source, "in_force", b.revision(), "error", err)
		return false
	}
	b.replace(set, source)
	return true
}

func (b *rulebook) replace(set *rules.Set, source string) {
	if b.set != nil {
		b.remember(rules.NewDelta(b.set, set))
	}
	b.log.Info("rules_in_force", "revision", set.Revision, "before", b.revision(), "source", source)
	b.set = set
	b.hash = rules.HashText(set.Text)
	b.changed.fire()
}

func (b *rulebook) remember(delta rules.Delta) {
	b.deltas = append(b.deltas, delta)
	b.bytes += delta.Size()
	for len(b.deltas) > maxDeltas || (b.bytes > maxDeltaBytes && len(b.deltas) > 0) {
		b.bytes -= b.deltas[0].Size()
		b.deltas = b.deltas[1:]
	}
}

// apply puts a change from a peer into force. A change that is no news is skipped; errGap asks for the full text.
func (b *rulebook) apply(change *rules.Delta, text, source string) error {
	if text != "" {
		b.offer(text, change.Revision, source)
		return nil
	}
	if !b.wants(change.Revision) {
		return nil
	}
	set := b.current()
	if set == nil || set.Revision != change.Base {
		return errGap
	}
	next, err := change.Apply(set.Text)
	if err != nil {
		return errors.Join(errGap, err)
	}
	b.offer(next, change.Revision, source)
	return nil
}

// since returns the deltas from the revision to the one in force, or the whole set where a delta is missing. Both are
// empty when the revision is in force already or higher.
func (b *rulebook) since(revision rules.Revision, hash uint64) ([]rules.Delta, *rules.Set) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.set == nil || revision >= b.set.Revision {
		return nil, nil
	}
	for i := range b.deltas {
		if b.deltas[i].Base != revision {
			continue
		}
		if i > 0 && b.deltas[i-1].Hash != hash {
			break
		}
		return append([]rules.Delta(nil), b.deltas[i:]...), nil
	}
	return nil, b.set
}
