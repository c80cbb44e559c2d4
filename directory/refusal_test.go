package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
)

func refusedRecord(kind directory.Kind, name string, revision directory.Revision, reason directory.RefusalReason) directory.Record {
	return directory.Record{Kind: kind, Name: name, Revision: revision, Refusal: &directory.Refusal{Reason: reason}}
}

// Guards against a log line and an update to all peers for each heartbeat of an entry that cannot be used.
func TestRefusedEntryIsNotedOnce(t *testing.T) {
	d := directory.New()
	apply(d, 0, targetRecord("i-1", 1, 1))
	d.Advance(1)
	odd := refusedRecord(directory.KindTarget, "i-1", 2, directory.RefusedState)
	require.True(t, d.Apply(&odd, 0))
	d.Advance(2)
	require.Zero(t, d.View().TargetCount())
	peer := directory.New()
	apply(peer, 0, targetRecord("i-1", 1, 1))
	apply(peer, 0, d.ChangesSince(1, 0)...)
	require.Zero(t, peer.View().TargetCount())
	require.Equal(t, d.View().Refused, peer.View().Refused, "peers learn of the refusal")
	for revision := directory.Revision(3); revision < 6; revision++ {
		odd.Revision = revision
		require.False(t, d.Apply(&odd, 0))
		d.Advance(revision)
	}
	require.Empty(t, d.ChangesSince(2, 0), "nothing new for peers")
	require.Equal(t, []directory.RefusedRecord{{
		Kind: directory.KindTarget, Name: "i-1", Revision: 2, Refusal: directory.Refusal{Reason: directory.RefusedState},
	}}, d.View().Refused)

	odd = refusedRecord(directory.KindTarget, "i-1", 6, directory.RefusedRange)
	require.True(t, d.Apply(&odd, 0), "for another reason")
	apply(d, 0, targetRecord("i-1", 1, 7))
	require.Empty(t, d.View().Refused)
	require.Equal(t, 1, d.View().TargetCount())
}

// Guards against entries that stay listed as refused after they are gone, whether the removal or a snapshot shows it.
func TestRefusedEntryThatIsGoneIsNotListed(t *testing.T) {
	d := directory.New()
	apply(d, 0, refusedRecord(directory.KindTarget, "i-1", 1, directory.RefusedState),
		refusedRecord(directory.KindDomainOut, "a", 2, directory.RefusedName),
		refusedRecord(directory.KindTarget, "i-2", 3, directory.RefusedState))
	d.Advance(3)
	require.Len(t, d.View().Refused, 3)
	apply(d, 0, directory.Record{Kind: directory.KindTarget, Name: "i-1", Revision: 4, Removed: true})
	require.Len(t, d.View().Refused, 2)
	apply(d, 0, d.SnapshotRemovals(nil, 9)...)
	require.Empty(t, d.View().Refused)
}

func TestRefusedConfigurationIsListed(t *testing.T) {
	d := newDirectory(configWithRoutes(1, "a"))
	odd := refusedRecord(directory.KindConfig, "", 8, directory.RefusedRange)
	require.True(t, d.Apply(&odd, 0))
	require.False(t, d.Apply(&odd, 0))
	require.Equal(t, int64(1), d.View().Config.Version)
	require.Len(t, d.View().Refused, 1)
	peer := newDirectory(configWithRoutes(1, "a"))
	apply(peer, 0, d.ChangesSince(5, 0)...)
	require.Equal(t, d.View().Refused, peer.View().Refused)
	apply(d, 0, configRecord(9, configWithRoutes(2, "a")))
	require.Empty(t, d.View().Refused)
	require.Equal(t, int64(2), d.View().Config.Version)
}

// The operator may write the configuration in force again over one that was refused.
func TestRefusedConfigurationIsReplacedByTheOneInForce(t *testing.T) {
	d := newDirectory(configWithRoutes(1, "a"))
	apply(d, 0, refusedRecord(directory.KindConfig, "", 8, directory.RefusedRange))
	apply(d, 0, configRecord(9, configWithRoutes(1, "a")))
	require.Empty(t, d.View().Refused)
	apply(d, 0, refusedRecord(directory.KindConfig, "", 10, directory.RefusedRange), configRecord(9, configWithRoutes(1, "a")))
	require.Len(t, d.View().Refused, 1, "the older record does not replace it")
}

// Another writer may write entries under ever new keys.
func TestListOfRefusedEntriesIsBounded(t *testing.T) {
	d := directory.New()
	for n := range 1000 {
		apply(d, 0, refusedRecord(directory.KindTarget, fmt.Sprintf("i-%d", n), directory.Revision(n+1), directory.RefusedState))
	}
	require.Len(t, d.View().Refused, 256)
}

// Guards against an entry at the address of a real target that hides it: the services of the configuration decide, then
// the start time. The hidden entry is still known, since flows may be open there.
func TestEntryOfUnknownServiceDoesNotHideTarget(t *testing.T) {
	d := directory.New()
	odd := targetRecord("i-odd", 1, 2)
	odd.Target.Service, odd.Target.StartUnixMs = "nothing", 9999
	apply(d, time.Second, targetRecord("i-1", 1, 1), odd)
	config := func(version int64, services ...directory.Service) directory.Record {
		c := configWithRoutes(version, "a")
		c.Services = services
		return configRecord(directory.Revision(version)+2, c)
	}
	apply(d, time.Second, config(1, directory.Service{Name: "bench"}))
	view := d.View()
	require.Len(t, view.Targets("bench"), 1)
	require.Empty(t, view.Targets("nothing"))
	require.Equal(t, "i-odd", view.Shadowed()[0].ID)

	apply(d, time.Second, config(2, directory.Service{Name: "bench"}, directory.Service{Name: "nothing"}))
	require.Equal(t, "i-1", d.View().Shadowed()[0].ID, "of two known services, the later start counts")
	require.True(t, view.ContainsTargetsOf(d.View()), "both entries are in both views")
	require.False(t, directory.New().View().ContainsTargetsOf(view))
}

// Guards against a peer that keeps a target whose entry became unusable: the reader had the refusal before it had read up
// to it, discarded its tombstones, and then took the refusal for known.
func TestRefusalReachesPeersAfterPruning(t *testing.T) {
	odd := refusedRecord(directory.KindTarget, "i-1", 2, directory.RefusedState)
	reader, peer := directory.New(), directory.New()
	for _, d := range []*directory.Directory{reader, peer} {
		apply(d, 0, targetRecord("i-1", 1, 1))
		d.AdvanceSnapshot(1)
	}
	apply(reader, 0, odd) // by a peer's update of which a part was lost
	reader.PruneTombstones(0)
	apply(reader, 0, odd)
	reader.Advance(2)
	apply(peer, 0, reader.ChangesSince(1, 0)...)
	require.Zero(t, peer.View().TargetCount())
	require.Equal(t, reader.View().Refused, peer.View().Refused)
}
