package feed

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
)

// Guards against a view that never counts as complete: the members arrive while another view is built, when no
// goroutine waits for the signal, and nothing changes afterwards, as in a deployment of one VM.
func TestMembersMergedDuringBuildCompleteView(t *testing.T) {
	f := New(Config{})
	f.table = fleet.NewTable()
	require.True(t, f.rules.applyText("domain a id=1 # asked by tests\n", 1, "test"))
	f.buildView()
	f.markSnapshotMerged()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.buildViews(ctx) }()
	require.Eventually(t, f.viewComplete.Load, time.Second, time.Millisecond)
}

// Guards against packets into a failure domain for as long as it is out of service. Rules can come into force while the
// view builder waits for member changes. The next view shows these rules whatever caused it to be built, so each build
// must also apply their out rules.
func TestEveryViewAppliesDomainOutages(t *testing.T) {
	const domains = "domain a id=1 # asked by operations\ndomain b id=2 # asked by operations\n"
	f := New(Config{Self: fleet.VM{Name: "entry-1", FailureDomain: "a"}})
	f.confirmation.epochStartNano.Store(time.Now().Add(-time.Minute).UnixNano())
	require.True(t, f.rules.applyText(domains, 1, "test"))
	f.buildView()
	require.True(t, f.mayReach("b"))
	require.True(t, f.rules.applyText(domains+"out b # asked by operations\n", 2, "test"))
	f.buildView()
	require.Eventually(t, func() bool { return !f.mayReach("b") }, 2*outGrace, time.Millisecond)
}
