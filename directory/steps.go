package directory

import "slices"

// maxSteps is how many of the latest changes of the configuration are told as such. A storm brings several within the time for
// which updates repeat what changed.
const maxSteps = 8

// configStep leads from one configuration to the next that came into force.
type configStep struct {
	revision uint64  // of the next configuration
	baseRev  uint64  // of the one before
	base     *Config // both nil once the change is known
	next     *Config
	change   *ConfigChange // nil where the whole configuration is no more than it
}

// told returns the change, nil where the step is told better by the whole configuration.
func (s *configStep) told() *ConfigChange {
	if s.base != nil {
		if change, ok := changeOf(s.base, s.baseRev, s.next); ok {
			s.change = change
		}
		s.base, s.next = nil, nil
	}
	return s.change
}

// noteStep remembers how the configuration in force became the next one.
func (d *Directory) noteStep(r *Record, next *Config) {
	if d.config == nil {
		return
	}
	step := configStep{revision: r.Revision, baseRev: d.configRev, change: r.Change}
	if r.Change == nil {
		step.base, step.next = d.config, next
	}
	if len(d.steps) == maxSteps {
		d.steps = slices.Delete(d.steps, 0, 1)
	}
	d.steps = append(d.steps, step)
}

// configRecords returns what a peer that knows all up to a revision lacks of the configuration in force: the changes since
// then in their order, or the whole where some of them are not known or together are no less.
func (d *Directory) configRecords(revision uint64) []Record {
	whole := []Record{{Kind: KindConfig, Revision: d.configRev, ContentRevision: d.configRev, Config: d.config}}
	var records []Record
	size := 0
	for i := range d.steps {
		step := &d.steps[i]
		if step.revision <= revision {
			continue
		}
		if len(records) == 0 && step.baseRev > revision {
			return whole
		}
		change := step.told()
		if change == nil {
			return whole
		}
		size += change.size()
		records = append(records, Record{Kind: KindConfig, Revision: step.revision, ContentRevision: step.revision, Change: change})
	}
	if len(records) == 0 || size >= len(d.config.Routes) {
		return whole
	}
	return records
}
