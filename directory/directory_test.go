package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
)

func newTarget(id string, n byte, startUnixMs int64) *directory.Target {
	return &directory.Target{
		ID: id, Service: "bench", Address: flow.Endpoint{IP: [4]byte{10, 0, 0, n}, Port: 80}, Domain: "a", Slots: 9,
		State: directory.TargetReady, StartUnixMs: startUnixMs,
	}
}

func targetRecord(id string, n byte, revision directory.Revision) directory.Record {
	return directory.Record{Kind: directory.KindTarget, Name: id, Revision: revision, Target: newTarget(id, n, int64(revision))}
}

func configWithService(version int64, service string) *directory.Config {
	return &directory.Config{Version: version, Routes: []directory.Route{{
		Name: "r", Address: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
		Choices: []directory.Choice{{Service: service, Weight: 1}},
	}}}
}

func apply(d *directory.Directory, now time.Duration, records ...directory.Record) {
	for i := range records {
		d.Apply(&records[i], now)
	}
}

// Checks that records that arrive in any order, and more than once, result in the same view, and that the version
// of the configuration never decreases. Processes receive records from the store and through peers.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []directory.Record
		for revision := directory.Revision(1); revision <= 20; revision++ {
			id := fmt.Sprintf("i-%d", rapid.IntRange(1, 4).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				records = append(records, directory.Record{Kind: directory.KindTarget, Name: id, Revision: revision, Removed: true})
			case 1:
				records = append(records, directory.Record{Kind: directory.KindConfig, Revision: revision, Config: configWithService(int64(revision), "bench")})
			case 2:
				removed := rapid.Bool().Draw(t, "back")
				records = append(records, directory.Record{Kind: directory.KindDomainOut, Name: "a", Revision: revision, Removed: removed})
			default:
				records = append(records, targetRecord(id, byte(revision), revision))
			}
		}
		ordered, shuffled := directory.New(), directory.New()
		apply(ordered, 0, records...)
		version := int64(0)
		for _, i := range rapid.Permutation(append(indexes(len(records)), indexes(len(records))...)).Draw(t, "order") {
			shuffled.Apply(&records[i], 0)
			if config := shuffled.View().Config; config != nil {
				require.GreaterOrEqual(t, config.Version, version, "the version never decreases")
				version = config.Version
			}
		}
		require.Equal(t, ordered.View().Targets("bench"), shuffled.View().Targets("bench"))
		require.Equal(t, ordered.View().OutDomains, shuffled.View().OutDomains)
		require.Equal(t, ordered.View().Config, shuffled.View().Config)
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func TestOlderVersionIsIgnored(t *testing.T) {
	d := directory.New()
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 5, Config: configWithService(7, "bench")})
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 9, Config: configWithService(6, "archive")})
	require.Equal(t, int64(7), d.View().Config.Version)
}

func TestUndecodableConfigKeepsCurrentOne(t *testing.T) {
	d := directory.New()
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 5, Config: configWithService(7, "bench")})
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 6, Refusal: &directory.Refusal{Reason: directory.RefusedUnreadable}})
	require.Equal(t, int64(7), d.View().Config.Version)
}

func TestUndecodableEntryRemovesTarget(t *testing.T) {
	d := directory.New()
	apply(d, 0, targetRecord("i-1", 1, 1), targetRecord("i-2", 2, 2))
	apply(d, 0, directory.Record{Kind: directory.KindTarget, Name: "i-1", Revision: 3, Refusal: &directory.Refusal{Reason: directory.RefusedUnreadable}})
	require.Len(t, d.View().Targets("bench"), 1)
}

// Checks that the newest entry of an address counts: the entry of a target's earlier start remains beside that of the
// current one until it expires.
func TestNewestEntryOfAddressCounts(t *testing.T) {
	for _, order := range [][]directory.Record{
		{targetRecord("i-old", 1, 1), targetRecord("i-new", 1, 2)},
		{targetRecord("i-new", 1, 2), targetRecord("i-old", 1, 1)},
	} {
		d := directory.New()
		apply(d, 0, order...)
		targets := d.View().Targets("bench")
		require.Len(t, targets, 1)
		require.Equal(t, "i-new", targets[0].ID)
		require.Equal(t, "i-new", d.View().TargetByIP([4]byte{10, 0, 0, 1}).ID)
	}
}

func TestExpiredEntryCanBeRenewed(t *testing.T) {
	d := directory.New()
	apply(d, time.Second, targetRecord("i-1", 1, 1), targetRecord("i-2", 2, 1))
	expiry := func(id string) directory.Record {
		return directory.Record{Kind: directory.KindTarget, Name: id, Revision: 2, Removed: true, Expired: true}
	}
	apply(d, 10*time.Second, expiry("i-1"), expiry("i-2"))
	require.Len(t, d.View().Targets("bench"), 2, "targets are kept if their entries expire during a store outage")
	apply(d, 11*time.Second, targetRecord("i-1", 1, 3))
	require.Equal(t, []string{"i-2"}, d.RemoveExpired(12*time.Second))
	targets := d.View().Targets("bench")
	require.Len(t, targets, 1)
	require.Equal(t, "i-1", targets[0].ID)
}

// Checks that entries absent from a store snapshot are removed unless they are newer than the snapshot.
func TestSnapshotRemovesAbsentEntries(t *testing.T) {
	d := directory.New()
	apply(d, 0, targetRecord("i-1", 1, 1), targetRecord("i-2", 2, 2), targetRecord("i-3", 3, 9),
		directory.Record{Kind: directory.KindDomainOut, Name: "a", Revision: 3})
	missing := d.SnapshotRemovals([]directory.Record{targetRecord("i-1", 1, 1)}, 8)
	apply(d, 0, missing...)
	var left []string
	for _, t := range d.View().Targets("bench") {
		left = append(left, t.ID)
	}
	require.Equal(t, []string{"i-1", "i-3"}, left)
	require.Empty(t, d.View().OutDomains)
}

// Checks that a peer that merges the changes since its revision has the same view.
func TestChangesSinceBringPeerUpToDate(t *testing.T) {
	ahead, behind := directory.New(), directory.New()
	apply(ahead, 0, targetRecord("i-1", 1, 1), targetRecord("i-2", 2, 2))
	apply(behind, 0, targetRecord("i-1", 1, 1), targetRecord("i-2", 2, 2))
	apply(ahead, 0, directory.Record{Kind: directory.KindTarget, Name: "i-1", Revision: 3, Removed: true},
		directory.Record{Kind: directory.KindDomainOut, Name: "a", Revision: 4},
		directory.Record{Kind: directory.KindConfig, Revision: 5, Config: configWithService(1, "bench")})
	apply(behind, 0, ahead.ChangesSince(2, 0)...)
	require.Equal(t, ahead.View().Targets("bench"), behind.View().Targets("bench"))
	require.Equal(t, ahead.View().OutDomains, behind.View().OutDomains)
	require.Equal(t, ahead.View().Config, behind.View().Config)
}

func TestChangesSinceReturnsRemainingColdTime(t *testing.T) {
	d := directory.New()
	cold := targetRecord("i-1", 1, 1)
	cold.Target.ColdLeft = 2 * time.Second
	apply(d, 10*time.Second, cold)
	changes := d.ChangesSince(0, 11*time.Second)
	require.Equal(t, time.Second, changes[0].Target.ColdLeft)
}

func TestFormerServicesOfRoute(t *testing.T) {
	d := directory.New()
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 1, Config: configWithService(1, "bench")})
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 2, Config: configWithService(2, "archive")})
	require.Equal(t, []string{"bench"}, d.View().FormerServices("r"))
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 3, Config: configWithService(3, "bench")})
	require.Equal(t, []string{"archive"}, d.View().FormerServices("r"))
}

func TestWeightsDivideNewFlows(t *testing.T) {
	r := directory.Route{Choices: []directory.Choice{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for hash := range uint64(1000) {
		count[r.ChooseService(hash)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, count)
	none := directory.Route{}
	require.Empty(t, none.ChooseService(1))
}

// Guards against peers that keep an expired entry forever because they advance past the revision of the expiry
// without receiving it. Peers receive it as an expiry, even if they never held the entry, and remove the entry
// after the grace period.
func TestExpiryReachesPeers(t *testing.T) {
	reader, peer, newcomer := directory.New(), directory.New(), directory.New()
	apply(reader, time.Second, targetRecord("i-1", 1, 1), targetRecord("i-2", 2, 2))
	apply(peer, time.Second, targetRecord("i-1", 1, 1), targetRecord("i-2", 2, 2))
	apply(reader, 10*time.Second, directory.Record{Kind: directory.KindTarget, Name: "i-1", Revision: 3, Removed: true, Expired: true})
	reader.Advance(3)
	apply(peer, 11*time.Second, reader.ChangesSince(2, 11*time.Second)...)
	apply(newcomer, 11*time.Second, reader.ChangesSince(0, 11*time.Second)...)
	for _, d := range []*directory.Directory{peer, newcomer} {
		d.Advance(3)
		target := d.View().TargetByIP([4]byte{10, 0, 0, 1})
		require.NotNil(t, target, "searches for its open flows can still find it")
		require.NotZero(t, target.ExpiredAt)
		require.Empty(t, d.RemoveExpired(12*time.Second))
		require.Equal(t, []string{"i-1"}, d.RemoveExpired(13*time.Second))
		require.Len(t, d.View().Targets("bench"), 1)
	}
	require.Equal(t, []string{"i-1"}, reader.RemoveExpired(13*time.Second))
	late := directory.New()
	apply(late, 14*time.Second, targetRecord("i-1", 1, 1))
	apply(late, 14*time.Second, reader.ChangesSince(1, 14*time.Second)...)
	require.Nil(t, late.View().TargetByIP([4]byte{10, 0, 0, 1}), "after the grace period an expiry is a removal")
	apply(peer, 14*time.Second, targetRecord("i-1", 1, 4))
	require.NotNil(t, peer.View().TargetByIP([4]byte{10, 0, 0, 1}), "a later entry takes effect")
}

// Guards against a stale target at peers. A process may receive from a peer an expiry that is older than its own
// store snapshot. The entry was then absent from the snapshot too, and the process must pass the expiry on to
// peers whose record of the entry is newer than the expiry but older than the snapshot.
func TestExpiryOlderThanSnapshot(t *testing.T) {
	expiry := targetRecord("i-1", 1, 2)
	expiry.Removed, expiry.Expired = true, true
	reader, peer := directory.New(), directory.New()
	apply(peer, time.Second, targetRecord("i-1", 1, 3))
	peer.AdvanceSnapshot(3)
	reader.AdvanceSnapshot(4)
	apply(reader, time.Second, expiry)
	snapshot := reader.ChangesSince(0, time.Second)
	apply(peer, time.Second, append(snapshot, peer.SnapshotRemovals(snapshot, 4)...)...)
	require.Equal(t, []string{"i-1"}, peer.RemoveExpired(4*time.Second))
	require.Zero(t, peer.View().TargetCount())
}

// Guards against sending a message to all peers for each heartbeat of a cold target. Its entry is rewritten with each
// heartbeat, because it contains the remaining cold time.
func TestHeartbeatsOfColdTargetAreNotChanges(t *testing.T) {
	d := directory.New()
	heartbeat := func(revision directory.Revision, left, now time.Duration) bool {
		r := directory.Record{Kind: directory.KindTarget, Name: "i-1", Revision: revision, Target: newTarget("i-1", 1, 1)}
		r.Target.ColdLeft = left
		return d.Apply(&r, now)
	}
	require.True(t, heartbeat(1, 6*time.Second, time.Second))
	require.False(t, heartbeat(2, 5*time.Second, 2100*time.Millisecond))
	require.False(t, heartbeat(3, 4*time.Second, 2900*time.Millisecond))
	d.Advance(3)
	require.Empty(t, d.ChangesSince(1, 3*time.Second))
	require.Equal(t, directory.Revision(3), d.ChangesSince(0, 3*time.Second)[0].Revision, "an older record does not replace it")
	require.True(t, heartbeat(4, 4500*time.Millisecond, 3*time.Second), "it stays cold for longer than its last entry said")
	require.True(t, heartbeat(5, 20*time.Second, 4*time.Second), "it became cold again")
	require.True(t, heartbeat(6, 0, 5*time.Second), "it is warm")
}
