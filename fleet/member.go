package fleet

// Member is the state of a VM as known to one process: its entry in the VM list, the record of the process on
// the VM and whether the peers of that process consider it down. Record.VM identifies the VM even if its
// process has not published a record yet; Record.Started is zero then.
type Member struct {
	Record    MemberRecord
	ListIndex uint64   // index of the VM list at which Listed or Record.VM.Leaving last changed
	Listed    bool     // the VM is in the VM list
	Down      bool     // the peers consider the process down; cleared by a record that supersedes this one
	Removed   bool     // the VM is gone; the member is kept for GracePeriod so that peers receive the removal
	Relay     string   // relay that receives the reports of the process
	Suspects  []string // VMs that the process cannot reach; part of its record
}

// HasRecord reports whether the process on the VM has published a record.
func (m *Member) HasRecord() bool { return m.Record.Started != 0 }

// merge applies the newer parts of other and reports whether anything changed. The fields from the VM list and
// those from the record are ordered separately, because the platform owns the former and the process the
// latter.
func (m *Member) merge(other *Member) bool {
	changed := m.mergeRecord(other)
	if other.ListIndex > m.ListIndex {
		m.ListIndex = other.ListIndex
		m.Listed = other.Listed
		m.Record.VM.Leaving = other.Record.VM.Leaving
		if !m.HasRecord() {
			m.Record.VM = other.Record.VM
		}
		m.Removed = other.Removed
		changed = true
	}
	return changed
}

func (m *Member) mergeRecord(other *Member) bool {
	if other.Record.Supersedes(&m.Record) {
		leaving := m.Record.VM.Leaving
		m.Record = other.Record
		m.Record.VM.Leaving = leaving
		m.Down = other.Down
		m.Relay = other.Relay
		m.Suspects = other.Suspects
		m.Removed = other.Removed
		return true
	}
	if other.Record.Started != m.Record.Started || other.Record.Sequence != m.Record.Sequence {
		return false
	}
	if other.ListIndex < m.ListIndex {
		return m.setFlags(other.Down, false)
	}
	return m.setFlags(other.Down, other.Removed)
}

// setFlags sets Down and Removed for an unchanged record if they are true in the update. It never clears them:
// that takes a newer record or, for Removed, a newer list index.
func (m *Member) setFlags(down, removed bool) bool {
	changed := (down && !m.Down) || (removed && !m.Removed)
	m.Down = m.Down || down
	m.Removed = m.Removed || removed
	return changed
}
