package fleet

import (
	"net/netip"
	"sync"

	"github.com/cowslipward/cowslipward/rules"
)

// Static is a Source whose view is set explicitly, for tests and for embedding without a feed.
type Static struct {
	mu      sync.Mutex
	view    *View
	changed chan struct{}
}

// NewStatic returns a source with the view, which is always confirmed.
func NewStatic(view *View) *Static {
	return &Static{view: view, changed: make(chan struct{})}
}

// Set replaces the view and closes the channel that Changed returned.
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

// Changed returns a channel that the next call of Set closes.
func (s *Static) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Confirmed always returns true.
func (s *Static) Confirmed() bool { return true }

// ReportPeerRevision does nothing.
func (s *Static) ReportPeerRevision(rules.Revision, netip.AddrPort) {}

// PublishSelf does nothing.
func (s *Static) PublishSelf(MemberRecord) {}

// ReportSuspect does nothing.
func (s *Static) ReportSuspect(string, bool) {}
