package fleet

import (
	"net/netip"

	"github.com/cowslipward/cowslipward/rules"
)

// Source provides the current view of the fleet. Package feed implements it; tests use Static.
type Source interface {
	// View returns the current view, never nil.
	View() *View
	// Changed returns a channel that is closed when a newer view replaces the current one.
	Changed() <-chan struct{}
	// Confirmed reports whether the view has been confirmed since the process started or last resumed from a
	// pause.
	Confirmed() bool
	// ReportPeerRevision reports that the peer at the control address has this revision of the rules.
	ReportPeerRevision(rev rules.Revision, from netip.AddrPort)
	// PublishSelf replaces the published record of this process. The source sets its sequence and revision.
	PublishSelf(record MemberRecord)
	// ReportSuspect reports that this process cannot reach the VM or, if suspect is false, that it can reach it
	// again.
	ReportSuspect(vm string, suspect bool)
}
