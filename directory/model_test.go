package directory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/directory"
)

// storeModel is the platform's store: its newest record of each entry, and all of its records in order.
type storeModel struct {
	revision uint64
	events   []directory.Record
	present  map[string]bool
	version  int64
}

// writeConfig writes a configuration with some of the routes, and some of them changed.
func (s *storeModel) writeConfig(present, priority []bool) {
	s.version++
	s.revision++
	config := &directory.Config{Version: s.version}
	for n := range present {
		route := directory.Route{Name: fmt.Sprintf("r-%d", n), Choices: []directory.Choice{{Service: "bench", Weight: 1}}}
		if priority[n] {
			route.Priority = 1
		}
		if present[n] {
			config.Routes = append(config.Routes, route)
		}
	}
	s.events = append(s.events, directory.Record{Kind: directory.KindConfig, Revision: s.revision, Config: config})
	s.present[""] = true // its record has no name
}

func (s *storeModel) write(n int, state directory.TargetState, removed bool) {
	r := added(fmt.Sprintf("i-%d", n), byte(n), s.revision+1)
	r.Target.State, r.Target.StartUnixMs = state, 1 // entries that say the same are written again and again
	if removed {
		r = directory.Record{Kind: directory.KindTarget, Name: r.Name, Revision: r.Revision, Removed: true}
	}
	s.revision++
	s.present[r.Name] = !removed
	s.events = append(s.events, r)
}

// after returns the records after a revision, as a watch does.
func (s *storeModel) after(revision uint64) []directory.Record {
	var list []directory.Record
	for _, r := range s.events {
		if r.Revision > revision {
			list = append(list, r)
		}
	}
	return list
}

// whole returns the newest record of each entry, as a read of all does.
func (s *storeModel) whole() []directory.Record {
	newest := make(map[string]directory.Record)
	for _, r := range s.events {
		newest[r.Name] = r
	}
	var list []directory.Record
	for name, r := range newest {
		if s.present[name] {
			list = append(list, r)
		}
	}
	return list
}

// entries returns the state of each entry that holds.
func (s *storeModel) entries() map[string]directory.TargetState {
	states := make(map[string]directory.TargetState)
	for _, r := range s.whole() {
		if r.Target != nil {
			states[r.Name] = r.Target.State
		}
	}
	return states
}

// routes returns the routes in force.
func (s *storeModel) routes() []directory.Route {
	for _, r := range slices.Backward(s.events) {
		if r.Config != nil {
			return r.Config.Routes
		}
	}
	return nil
}

func (p process) routes() []directory.Route {
	if p.Config() == nil {
		return nil
	}
	return p.Config().Routes
}

// process is one balancer's directory.
type process struct{ *directory.Directory }

// take merges records that reach up to a revision. While the store is just back, removals are lapses.
func (p process) take(records []directory.Record, revision uint64, lapses bool, now time.Duration) {
	for i := range records {
		records[i].Expired = records[i].Expired || (lapses && records[i].Removed)
		p.Apply(&records[i], now)
	}
	if !p.TakeBaseMismatch() {
		p.Advance(revision)
	}
	p.RemoveExpired(now)
}

// takeWhole merges a copy of all that holds as of a revision.
func (p process) takeWhole(records []directory.Record, revision uint64, lapses bool, now time.Duration) {
	p.take(append(records, p.SnapshotRemovals(records, revision)...), revision, lapses, now)
	p.AdvanceSnapshot(revision)
}

// push brings a peer what changed after a revision that it knows at least, or all where the process does not know that.
func (p process) push(to process, base uint64, now time.Duration) {
	switch {
	case to.Revision() < p.CompactRevision():
		to.takeWhole(p.ChangesSince(0, now), p.Revision(), false, now)
	case base <= to.Revision():
		to.take(p.ChangesSince(max(base, p.CompactRevision()), now), p.Revision(), false, now)
	}
}

// pushPart brings a peer some records only of what changed after a revision that it knows, as where the datagrams with the
// others are lost.
func (p process) pushPart(to process, base uint64, records int, now time.Duration) {
	list := p.ChangesSince(max(base, p.CompactRevision()), now)
	for i := range list[:min(records, len(list))] {
		to.Apply(&list[i], now)
	}
}

func (p process) entries() map[string]directory.TargetState {
	states := make(map[string]directory.TargetState)
	for _, t := range p.View().Targets("bench") {
		states[t.ID] = t.State
	}
	return states
}

// Whoever reads the store, in whatever way and however late, and whatever counts as a lapse: once one process has read
// all, its updates are through and lapses have ended, all processes know exactly the entries of the store,
// their states and the routes in force.
func TestModelOfTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, processes, routes = 4, 3, 5
		now := time.Second
		store := &storeModel{present: make(map[string]bool)}
		var all [processes]process
		for i := range all {
			all[i] = process{directory.New()}
		}
		any := func(name string) process { return all[rapid.IntRange(0, processes-1).Draw(t, name)] }
		t.Repeat(map[string]func(*rapid.T){
			"entry is written": func(t *rapid.T) {
				state := rapid.SampledFrom([]directory.TargetState{directory.TargetReady, directory.TargetDraining}).Draw(t, "state")
				store.write(rapid.IntRange(1, entries).Draw(t, "entry"), state, false)
			},
			"configuration is written": func(t *rapid.T) {
				flags := rapid.SliceOfN(rapid.Bool(), routes, routes)
				store.writeConfig(flags.Draw(t, "present"), flags.Draw(t, "priority"))
			},
			"entry is removed": func(t *rapid.T) { store.write(rapid.IntRange(1, entries).Draw(t, "entry"), 0, true) },
			"time passes":      func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond },
			"watch": func(t *rapid.T) {
				p := any("process")
				p.take(store.after(p.Revision()), store.revision, rapid.Bool().Draw(t, "lapses"), now)
			},
			"read of all": func(t *rapid.T) {
				any("process").takeWhole(store.whole(), store.revision, rapid.Bool().Draw(t, "lapses"), now)
			},
			"removals are forgotten": func(t *rapid.T) { any("process").PruneTombstones(0) },
			"push in parts": func(t *rapid.T) {
				from := any("from")
				base := uint64(rapid.IntRange(0, int(from.Revision())).Draw(t, "base"))
				from.pushPart(any("to"), base, rapid.IntRange(0, entries).Draw(t, "records"), now)
			},
			"push": func(t *rapid.T) {
				from := any("from")
				from.push(any("to"), uint64(rapid.IntRange(0, int(from.Revision())).Draw(t, "base")), now)
			},
		})
		reader := all[0]
		reader.take(store.after(reader.Revision()), store.revision, false, now)
		for _, p := range all[1:] {
			reader.push(p, p.Revision(), now)
		}
		now += 3 * time.Second
		for _, p := range all {
			p.RemoveExpired(now)
			require.Equal(t, store.entries(), p.entries())
			require.ElementsMatch(t, store.routes(), p.routes())
		}
	})
}
