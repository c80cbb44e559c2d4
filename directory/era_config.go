package directory

// version returns the version of the configuration that the record describes. It reports false if there is none.
func (r *Record) version() (int64, bool) {
	switch {
	case r.Change != nil:
		return r.Change.Next.Version, true
	case r.Config != nil:
		return r.Config.Version, true
	default:
		return 0, false
	}
}

// noteStoreConfig notes a record whose configuration is not newer than the one in force. Only after a restoration does
// that say something: the store has an older configuration, or has got the one in force back.
func (d *Directory) noteStoreConfig(r *Record) {
	version, ok := r.version()
	if d.config == nil || !ok || version > d.config.Version {
		return
	}
	isPeers := r.ContentRevision != 0
	switch {
	case version < d.config.Version:
		if d.isFromBackup(r) && r.Config != nil {
			d.era.backup = Record{Kind: KindConfig, Revision: r.Revision, ContentRevision: r.Revision, Config: withSortedRoutes(r.Config)}
			d.era.carried = &configTransition{baseRevision: r.Revision, base: d.era.backup.Config, next: d.config}
		}
	case r.Revision <= d.configRevision:
	case isPeers:
		d.configRevision, d.history, d.awaitsConfig = r.Revision, nil, true // so that later changes refer to the same base everywhere
	case d.awaitsConfig:
		d.carryConfig(r.Revision) // peers that read the configuration of the backup need this one
		d.awaitsConfig = false
		d.endCarrying()
	}
}

func (d *Directory) endCarrying() {
	if d.era != nil {
		d.era.carried = nil
	}
}

func (d *Directory) isCarried() bool { return d.era != nil && d.era.carried != nil }

// carryConfig records that the configuration in force, which an earlier era brought, counts as written at a revision.
func (d *Directory) carryConfig(revision Revision) {
	d.configRevision, d.history = revision, nil
	if d.isCarried() {
		d.era.carried.delta() // once, for carriedConfig and for the history
		d.era.carried.revision, d.era.carried.baseUntil = revision, revision
		d.history = []configTransition{*d.era.carried}
	}
}

// advanceConfigEra lets the configuration in force count as one of the era of a snapshot, so that it is sent to peers.
func (d *Directory) advanceConfigEra(revision Revision) {
	if d.config == nil || d.configRevision.Era() >= revision.Era() {
		return
	}
	d.carryConfig(revision)
}

// carriedConfig returns the records of the configuration in force and, after the revision, of the one in the store, if
// the store has an older one since it was restored. Peers that started afterwards do not know the former, whatever they
// have read, and hand it on if they know both.
func (d *Directory) carriedConfig(revision Revision) []Record {
	if !d.isCarried() {
		return nil
	}
	var records []Record
	if d.era.backup.Revision > revision {
		records = append(records, d.era.backup)
	}
	if d.configRevision > revision {
		return records // sent as a change anyway
	}
	r := Record{Kind: KindConfig, Revision: d.configRevision, ContentRevision: d.configRevision, Change: d.era.carried.delta()}
	if r.Change == nil {
		r.Config = d.config
	}
	return append(records, r)
}
