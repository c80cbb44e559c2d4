package fleet

import (
	"net/netip"

	"github.com/cowslipward/cowslipward/rules"
)

// Source supplies the current view of the fleet. Package feed implements it; tests use Static.
type Source interface {
	// View returns the current view, never nil.
	View() *View
	// Changed returns a channel that is closed when a newer view replaces the current one.
	Changed() <-chan struct{}
	// Confirmed reports whether the view has been confirmed since the process started or woke from a pause.
	Confirmed() bool
	// ReportPeerRevision says that the peer at this control address holds the revision.
	ReportPeerRevision(rev rules.Revision, from netip.AddrPort)
	// PublishSelf replaces the record of this process; the source sets its sequence and its revision.
	PublishSelf(record MemberRecord)
	// ReportSuspect says that this process cannot, or again can, reach the VM.
	ReportSuspect(vm string, suspect bool)
}
