package fleet

import (
	"net/netip"
	"sync"

	"github.com/cowslipward/cowslipward/rules"
)

// Static is a Source with a view set by hand, for tests and for embedding without a feed.
type Static struct {
	mu      sync.Mutex
	view    *View
	changed chan struct{}
}

// NewStatic returns a confirmed source with the view.
func NewStatic(view *View) *Static {
	return &Static{view: view, changed: make(chan struct{})}
}

// Set replaces the view and wakes those who wait on Changed.
func (s *Static) Set(view *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = view
	close(s.changed)
	s.changed = make(chan struct{})
}

// View returns the current view.
func (s *Static) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Changed returns a channel that is closed by the next Set.
func (s *Static) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Confirmed is always true.
func (s *Static) Confirmed() bool { return true }

// ReportPeerRevision does nothing.
func (s *Static) ReportPeerRevision(rules.Revision, netip.AddrPort) {}

// PublishSelf does nothing.
func (s *Static) PublishSelf(MemberRecord) {}

// ReportSuspect does nothing.
func (s *Static) ReportSuspect(string, bool) {}
