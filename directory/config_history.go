package directory

import "slices"

// maxConfigHistory is how many of the latest configuration changes are kept to be sent to peers as changes. A burst
// brings several changes within the period for which updates to peers repeat recent changes.
const maxConfigHistory = 8

// configTransition is a step from one configuration in force to the next.
type configTransition struct {
	revision     Revision // store revision of the new configuration
	baseRevision Revision // store revision of the previous configuration
	baseUntil    Revision // up to this store revision, the previous configuration was certainly the current one
	base         *Config  // nil, like next, once change has been computed
	next         *Config
	change       *ConfigChange // nil if the full configuration is sent instead
}

// delta returns the change of the transition, or nil if the full configuration is to be sent instead. The change is
// computed on the first call.
func (t *configTransition) delta() *ConfigChange {
	if t.base != nil {
		if change, ok := diffConfigs(t.base, t.baseRevision, t.next); ok {
			t.change = change
		}
		t.base, t.next = nil, nil
	}
	return t.change
}

// recordTransition appends the transition from the current configuration to the next to the history.
func (d *Directory) recordTransition(r *Record, next *Config) {
	if d.config == nil {
		return
	}
	transition := configTransition{
		revision:     r.Revision,
		baseRevision: d.configRevision,
		baseUntil:    max(d.configRevision, min(d.revision, r.Revision)),
		change:       r.Change,
	}
	if r.Change == nil {
		transition.base, transition.next = d.config, next
	}
	if len(d.history) == maxConfigHistory {
		d.history = slices.Delete(d.history, 0, 1)
	}
	d.history = append(d.history, transition)
}

// startsAt reports whether a process that has merged all changes up to a revision has the base of the transition. After
// baseUntil another configuration may have been in force that this process skipped.
func (t *configTransition) startsAt(revision Revision) bool {
	return t.baseRevision <= revision && revision <= t.baseUntil
}

// configRecords returns the records that bring a peer from a revision to the current configuration: the changes since
// that revision in order, or the full configuration if the history does not cover them or they are not smaller.
func (d *Directory) configRecords(revision Revision) []Record {
	full := []Record{{Kind: KindConfig, Revision: d.configRevision, ContentRevision: d.configRevision, Config: d.config}}
	var records []Record
	size := 0
	for i := range d.history {
		transition := &d.history[i]
		if transition.revision <= revision {
			continue
		}
		if len(records) == 0 && !transition.startsAt(revision) {
			return full
		}
		change := transition.delta()
		if change == nil {
			return full
		}
		size += change.size()
		records = append(records, Record{Kind: KindConfig, Revision: transition.revision, ContentRevision: transition.revision, Change: change})
	}
	if len(records) == 0 || size >= len(d.config.Routes) {
		return full
	}
	return records
}
