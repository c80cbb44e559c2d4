package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
)

// Guards against packets that are sent with an outdated view after a pause: the rules are confirmed, but the view that
// shows them has not been built yet.
func TestConfirmedRequiresViewOfConfirmedRules(t *testing.T) {
	const domain = "domain a id=1 # asked by operations\n"
	f := New(Config{})
	f.snapshotMerged.Store(true)
	require.True(t, f.rules.applyText(domain, 1, "test"))
	f.buildView()
	f.confirm(1)
	require.True(t, f.Confirmed())

	f.onPause(time.Second)
	require.True(t, f.rules.applyText(domain+"out a # asked by operations\n", 2, "test"))
	f.confirm(2)
	require.False(t, f.Confirmed(), "the view still shows revision 1")
	f.buildView()
	require.True(t, f.Confirmed())
}

const twoDomains = "domain a id=1 # asked by operations\ndomain b id=2 # asked by operations\n"

// newConfirmed returns the feed of a process in domain a whose view of two domains is confirmed.
func newConfirmed(t *testing.T) *Feed {
	t.Helper()
	f := New(Config{Self: fleet.VM{Name: "entry-1", FailureDomain: "a"}})
	f.snapshotMerged.Store(true)
	require.True(t, f.rules.applyText(twoDomains, 1, "test"))
	f.buildView()
	f.confirm(1)
	return f
}

// Guards against a process that resumes after a pause and sends into a domain that was taken out of service during the
// pause. It must not send before the rules are confirmed, and outGrace must not start again.
func TestNoWritesToOtherDomainsUntilConfirmed(t *testing.T) {
	f := newConfirmed(t)
	require.True(t, f.mayWrite("b"))

	f.onPause(time.Second)
	require.True(t, f.mayWrite("a"), "peers of the own domain are queried")
	require.False(t, f.mayWrite("b"))
	require.True(t, f.rules.applyText(twoDomains+"out b # asked by operations\n", 2, "test"))
	f.confirm(2)
	require.False(t, f.mayWrite("b"))
	f.outages.update(f.rules.current(), f.outRuleStart())
	f.buildView()
	require.False(t, f.mayWrite("b"))
}

// Guards against rule changes that stop the data path and close the connections to other domains until the view shows
// them. Each change then made every relay redial.
func TestRuleChangeKeepsViewConfirmed(t *testing.T) {
	f := newConfirmed(t)
	require.True(t, f.rules.applyText(twoDomains+"domain c id=3 # asked by operations\n", 2, "test"))
	f.confirm(1)
	require.True(t, f.Confirmed())
	require.True(t, f.mayWrite("b"))
}
