package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/fleetpb"
)

// selfRecord owns the record of this process. Nothing else raises the sequence of the record.
type selfRecord struct {
	mu              sync.Mutex
	record          fleet.MemberRecord
	suspects        []string
	publishedWeight uint16    // as published; the record has the weight limited by the ramp
	rampStart       time.Time // when this process refuted that it is down; zero without a ramp

	changed signal
}

func newSelfRecord(cfg Config) *selfRecord {
	return &selfRecord{record: fleet.MemberRecord{
		VM:          cfg.Self,
		Incarnation: cfg.Incarnation,
		Started:     uint64(cfg.Started.UnixMilli()),
		Sequence:    1,
		State:       fleet.StateStarting,
	}}
}

// publish copies state, service and weight from the record and reports whether they changed.
func (s *selfRecord) publish(record fleet.MemberRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.record
	next.State = record.State
	next.Service = record.Service
	s.publishedWeight = min(record.Weight, fleet.WeightFull)
	next.Weight = s.rampedWeight()
	if next == s.record {
		return false
	}
	s.record = next
	s.raiseSequenceLocked()
	return true
}

func (s *selfRecord) raiseSequenceLocked() {
	s.record.Sequence++
	s.changed.notify()
}

// raiseSequence raises the sequence, so that the record replaces older ones everywhere. This makes the relay that
// receives the next report the one through which the record is distributed.
func (s *selfRecord) raiseSequence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raiseSequenceLocked()
}

// raiseSequenceAbove raises the sequence above one that peers have. If they have declared this process down, the weight
// starts a ramp.
func (s *selfRecord) raiseSequenceAbove(sequence uint64, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.rampStart = time.Now()
		s.record.Weight = s.rampedWeight()
	}
	s.record.Sequence = max(s.record.Sequence, sequence)
	s.raiseSequenceLocked()
}

// rampedWeight returns the published weight, limited by the ramp if one is in progress. The caller holds mu.
func (s *selfRecord) rampedWeight() uint16 {
	if s.rampStart.IsZero() || s.publishedWeight == 0 {
		return s.publishedWeight
	}
	share := uint32(rampShare(time.Since(s.rampStart), returnRampDuration))
	return max(1, uint16(uint32(s.publishedWeight)*share/fleet.WeightFull))
}

// runRamp raises the weight once a second while a ramp is in progress, and calls onChange after each step. Steps of one
// second limit a ramp to ten records.
func (s *selfRecord) runRamp(ctx context.Context, onChange func()) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if s.stepRamp() {
				onChange()
			}
		}
	}
}

func (s *selfRecord) stepRamp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rampStart.IsZero() {
		return false
	}
	if time.Since(s.rampStart) >= returnRampDuration {
		s.rampStart = time.Time{}
	}
	weight := s.rampedWeight()
	if weight == s.record.Weight {
		return false
	}
	s.record.Weight = weight
	s.raiseSequenceLocked()
	return true
}

func (s *selfRecord) setSuspect(vm string, suspect bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.suspects, vm)
	if suspect == (at >= 0) || (suspect && len(s.suspects) >= fleetpb.MaxSuspects) {
		return false
	}
	next := slices.Clone(s.suspects)
	if suspect {
		next = append(next, vm)
	} else {
		next = slices.Delete(next, at, at+1)
	}
	s.suspects = next
	s.raiseSequenceLocked()
	return true
}

func (s *selfRecord) member() fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fleet.Member{Record: s.record, Suspects: s.suspects}
}
