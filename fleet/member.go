package fleet

// Member is what a process knows of a VM: its entry of the VM list, the record of the process on it and the verdict of
// its peers. Record.VM names the VM also where no process has reported yet; then Record.Started is zero.
type Member struct {
	Record    MemberRecord
	ListIndex uint64   // index of the VM list at which Listed or Record.VM.Leaving last changed
	Listed    bool     // the VM list holds the VM
	Down      bool     // verdict against the record; a record that supersedes it clears the verdict
	Removed   bool     // the VM is gone; kept for a while so that peers learn of it
	Relay     string   // relay that receives the reports of the process
	Suspects  []string // VMs that the process cannot reach; part of its record
}

// HasRecord reports whether the process on the VM has published a record.
func (m *Member) HasRecord() bool { return m.Record.Started != 0 }

// merge takes over what is newer in other and reports whether anything changed. The list part and the record part have
// separate owners, the platform and the process, and therefore separate orders.
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
		return m.raise(other.Down, false)
	}
	return m.raise(other.Down, other.Removed)
}

// raise sets the verdict and the removal of the same record; neither is taken back but by a newer record.
func (m *Member) raise(down, removed bool) bool {
	changed := (down && !m.Down) || (removed && !m.Removed)
	m.Down = m.Down || down
	m.Removed = m.Removed || removed
	return changed
}
