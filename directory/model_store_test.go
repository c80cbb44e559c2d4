package directory_test

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cowslipward/cowslipward/directory"
)

// storeModel models the platform's store: all records written, in order, and which entries are present.
type storeModel struct {
	revision directory.Revision
	records  []directory.Record
	present  map[string]bool
	version  int64 // latest configuration that the operator wrote, also if the store lost it
	backup   *storeModel
	restored directory.Revision          // latest revision of the backup from which the store was restored
	lost     map[string]directory.Record // by name, writes that the store lost and that are not written again yet
}

// add adds a record. What was lost of its entry before is not written again. Records of configurations have no name.
func (s *storeModel) add(r directory.Record) {
	delete(s.lost, r.Name)
	s.present[r.Name] = !r.Removed
	s.records = append(s.records, r)
}

// writeConfig writes a configuration. present and priority select the routes that it contains and those with
// priority 1.
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
	s.add(directory.Record{Kind: directory.KindConfig, Revision: s.revision, Config: config})
}

func (s *storeModel) write(n int, state directory.TargetState, removed bool) {
	r := targetRecord(fmt.Sprintf("i-%d", n), byte(n), s.revision+1)
	r.Target.State, r.Target.StartUnixMs = state, 1 // entries are rewritten repeatedly with the same content
	if removed {
		r = directory.Record{Kind: directory.KindTarget, Name: r.Name, Revision: r.Revision, Removed: true}
	}
	s.revision++
	s.add(r)
}

// writeUnusable replaces entry n by one that cannot be used.
func (s *storeModel) writeUnusable(n int) {
	s.revision++
	name := fmt.Sprintf("i-%d", n)
	s.add(directory.Record{
		Kind: directory.KindTarget, Name: name, Revision: s.revision, Refusal: &directory.Refusal{Reason: directory.RefusedState},
	})
}

// writeDomain takes failure domain d-n out, or returns it.
func (s *storeModel) writeDomain(n int, removed bool) {
	s.revision++
	r := directory.Record{Kind: directory.KindDomainOut, Name: fmt.Sprintf("d-%d", n), Revision: s.revision, Removed: removed}
	s.add(r)
}

func (s *storeModel) takeBackup() {
	s.backup = &storeModel{revision: s.revision, records: slices.Clone(s.records), present: maps.Clone(s.present)}
}

// restore puts the backup in place: the era rises, and revisions are assigned again.
func (s *storeModel) restore() {
	const era = directory.Revision(1 << 48)
	for _, r := range s.after(s.backup.revision) {
		s.lost[r.Name] = r
	}
	next := (s.revision/era + 1) * era
	s.revision, s.records, s.present = next+s.backup.revision%era, slices.Clone(s.backup.records), maps.Clone(s.backup.present)
	for i := range s.records {
		s.records[i].Revision = next + s.records[i].Revision%era
	}
	s.restored = s.revision
	s.takeBackup() // the next backup has the revisions of the new era
}

// writeLost writes the lost entries again that are selected.
func (s *storeModel) writeLost(selected func(name string) bool) {
	for _, name := range slices.Sorted(maps.Keys(s.lost)) {
		r := s.lost[name]
		if !selected(name) {
			continue
		}
		s.revision++
		r.Revision = s.revision
		s.add(r)
	}
}

// isWrittenAnew reports whether the entry was written since the store was restored.
func (s *storeModel) isWrittenAnew(name string) bool {
	return slices.ContainsFunc(s.after(s.restored), func(r directory.Record) bool { return r.Name == name })
}

// outDomains returns the failure domains that are out of service, in order.
func (s *storeModel) outDomains() []string {
	var domains []string
	for _, r := range s.snapshot() {
		if r.Kind == directory.KindDomainOut {
			domains = append(domains, r.Name)
		}
	}
	return domains
}

// after returns the records after a revision, as a watch of the store does.
func (s *storeModel) after(revision directory.Revision) []directory.Record {
	var list []directory.Record
	for _, r := range s.records {
		if r.Revision > revision {
			list = append(list, r)
		}
	}
	return list
}

// snapshot returns the newest record of each present entry, as a full read of the store does.
func (s *storeModel) snapshot() []directory.Record {
	newest := make(map[string]directory.Record)
	for _, r := range s.records {
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

// entries returns the state of the target of each present entry, by ID.
func (s *storeModel) entries() map[string]directory.TargetState {
	states := make(map[string]directory.TargetState)
	for _, r := range s.snapshot() {
		if r.Target != nil {
			states[r.Name] = r.Target.State
		}
	}
	return states
}

// routes returns the routes in force.
func (s *storeModel) routes() []directory.Route {
	for _, r := range slices.Backward(s.records) {
		if r.Config != nil {
			return r.Config.Routes
		}
	}
	return nil
}
