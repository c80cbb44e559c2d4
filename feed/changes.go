package feed

import (
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
	"github.com/cowslipward/cowslipward/internal/fleetpb"
	"github.com/cowslipward/cowslipward/rules"
)

// changesSince returns the changes that bring a peer from its revision to the one in force: deltas, or the full text if
// a delta is missing.
func (s *ruleStore) changesSince(revision rules.Revision, hash uint64) []*fleetv1.RulesChange {
	deltas, full := s.deltasSince(revision, hash)
	if full != nil {
		return []*fleetv1.RulesChange{{
			Revision: uint64(full.Revision), Hash: rules.HashText(full.Text), Text: full.Text,
		}}
	}
	var changes []*fleetv1.RulesChange
	for i := range deltas {
		changes = append(changes, fleetpb.FromDelta(&deltas[i]))
	}
	return changes
}

// applyChanges applies the changes that a peer sent, in order. It stops at the first one that does not apply to the
// revision in force.
func (s *ruleStore) applyChanges(changes []*fleetv1.RulesChange, source string) error {
	for _, change := range changes {
		if err := s.applyChange(fleetpb.ToDelta(change), change.GetText(), source); err != nil {
			return err
		}
	}
	return nil
}
