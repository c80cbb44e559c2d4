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

func target(id string, n byte, born int64) *directory.Target {
	return &directory.Target{
		ID: id, Service: "bench", Address: flow.Endpoint{IP: [4]byte{10, 0, 0, n}, Port: 80}, Domain: "a", Slots: 9,
		State: directory.TargetReady, StartUnixMs: born,
	}
}

func added(id string, n byte, revision uint64) directory.Record {
	return directory.Record{Kind: directory.KindTarget, Name: id, Revision: revision, Target: target(id, n, int64(revision))}
}

func configOf(version int64, service string) *directory.Config {
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

// Records reach processes in any order, twice, and through peers: versions only rise, and all orders end in one view.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []directory.Record
		for revision := uint64(1); revision <= 20; revision++ {
			id := fmt.Sprintf("i-%d", rapid.IntRange(1, 4).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				records = append(records, directory.Record{Kind: directory.KindTarget, Name: id, Revision: revision, Removed: true})
			case 1:
				records = append(records, directory.Record{Kind: directory.KindConfig, Revision: revision, Config: configOf(int64(revision), "bench")})
			case 2:
				removed := rapid.Bool().Draw(t, "back")
				records = append(records, directory.Record{Kind: directory.KindDomainOut, Name: "a", Revision: revision, Removed: removed})
			default:
				records = append(records, added(id, byte(revision), revision))
			}
		}
		ordered, shuffled := directory.New(), directory.New()
		apply(ordered, 0, records...)
		version := int64(0)
		for _, i := range rapid.Permutation(append(indexes(len(records)), indexes(len(records))...)).Draw(t, "order") {
			shuffled.Apply(&records[i], 0)
			if config := shuffled.View().Config; config != nil {
				require.GreaterOrEqual(t, config.Version, version, "a version never falls")
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

func TestOlderVersionIsRefused(t *testing.T) {
	d := directory.New()
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 5, Config: configOf(7, "bench")})
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 9, Config: configOf(6, "archive")})
	require.Equal(t, int64(7), d.View().Config.Version)
}

func TestUnreadableConfigKeepsTheOneInForce(t *testing.T) {
	d := directory.New()
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 5, Config: configOf(7, "bench")})
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 6, DecodeError: "bytes"})
	require.Equal(t, int64(7), d.View().Config.Version)
}

func TestUnreadableEntryNamesNoTarget(t *testing.T) {
	d := directory.New()
	apply(d, 0, added("i-1", 1, 1), added("i-2", 2, 2))
	apply(d, 0, directory.Record{Kind: directory.KindTarget, Name: "i-1", Revision: 3, DecodeError: "bytes"})
	require.Len(t, d.View().Targets("bench"), 1)
}

// The entry of a target's earlier start stands until it lapses, beside that of the present one.
func TestNewestEntryOfAnAddressCounts(t *testing.T) {
	for _, order := range [][]directory.Record{
		{added("i-old", 1, 1), added("i-new", 1, 2)},
		{added("i-new", 1, 2), added("i-old", 1, 1)},
	} {
		d := directory.New()
		apply(d, 0, order...)
		targets := d.View().Targets("bench")
		require.Len(t, targets, 1)
		require.Equal(t, "i-new", targets[0].ID)
		require.Equal(t, "i-new", d.View().TargetByIP([4]byte{10, 0, 0, 1}).ID)
	}
}

func TestLapsedEntryMayComeBack(t *testing.T) {
	d := directory.New()
	apply(d, time.Second, added("i-1", 1, 1), added("i-2", 2, 1))
	lapse := func(id string) directory.Record {
		return directory.Record{Kind: directory.KindTarget, Name: id, Revision: 2, Removed: true, Expired: true}
	}
	apply(d, 10*time.Second, lapse("i-1"), lapse("i-2"))
	require.Len(t, d.View().Targets("bench"), 2, "entries lapse while the store is away")
	apply(d, 11*time.Second, added("i-1", 1, 3))
	require.Equal(t, []string{"i-2"}, d.RemoveExpired(12*time.Second))
	targets := d.View().Targets("bench")
	require.Len(t, targets, 1)
	require.Equal(t, "i-1", targets[0].ID)
}

// What a whole copy of the store lacks has been removed, unless it is newer than the copy.
func TestWholeCopyRemovesWhatItLacks(t *testing.T) {
	d := directory.New()
	apply(d, 0, added("i-1", 1, 1), added("i-2", 2, 2), added("i-3", 3, 9),
		directory.Record{Kind: directory.KindDomainOut, Name: "a", Revision: 3})
	missing := d.SnapshotRemovals([]directory.Record{added("i-1", 1, 1)}, 8)
	apply(d, 0, missing...)
	var left []string
	for _, t := range d.View().Targets("bench") {
		left = append(left, t.ID)
	}
	require.Equal(t, []string{"i-1", "i-3"}, left)
	require.Empty(t, d.View().OutDomains)
}

// A peer that takes over what changed since its revision ends with the same view.
func TestSinceBringsAPeerUpToDate(t *testing.T) {
	ahead, behind := directory.New(), directory.New()
	apply(ahead, 0, added("i-1", 1, 1), added("i-2", 2, 2))
	apply(behind, 0, added("i-1", 1, 1), added("i-2", 2, 2))
	apply(ahead, 0, directory.Record{Kind: directory.KindTarget, Name: "i-1", Revision: 3, Removed: true},
		directory.Record{Kind: directory.KindDomainOut, Name: "a", Revision: 4},
		directory.Record{Kind: directory.KindConfig, Revision: 5, Config: configOf(1, "bench")})
	apply(behind, 0, ahead.ChangesSince(2, 0)...)
	require.Equal(t, ahead.View().Targets("bench"), behind.View().Targets("bench"))
	require.Equal(t, ahead.View().OutDomains, behind.View().OutDomains)
	require.Equal(t, ahead.View().Config, behind.View().Config)
}

func TestColdTimeRunsOnThePeersClocks(t *testing.T) {
	d := directory.New()
	cold := added("i-1", 1, 1)
	cold.Target.ColdLeft = 2 * time.Second
	apply(d, 10*time.Second, cold)
	passed := d.ChangesSince(0, 11*time.Second)
	require.Equal(t, time.Second, passed[0].Target.ColdLeft)
}

func TestRouteRemembersItsFormerServices(t *testing.T) {
	d := directory.New()
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 1, Config: configOf(1, "bench")})
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 2, Config: configOf(2, "archive")})
	require.Equal(t, []string{"bench"}, d.View().FormerServices("r"))
	apply(d, 0, directory.Record{Kind: directory.KindConfig, Revision: 3, Config: configOf(3, "bench")})
	require.Equal(t, []string{"archive"}, d.View().FormerServices("r"))
}

func TestWeightsShareNewFlows(t *testing.T) {
	r := directory.Route{Choices: []directory.Choice{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for hash := range uint64(1000) {
		count[r.ChooseService(hash)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, count)
	none := directory.Route{}
	require.Empty(t, none.ChooseService(1))
}

// A lapse reaches peers as one, also those that never held the entry, and ends there too. Peers that advance past its
// revision without it would keep the entry for good.
func TestLapseReachesPeers(t *testing.T) {
	reader, peer, newcomer := directory.New(), directory.New(), directory.New()
	apply(reader, time.Second, added("i-1", 1, 1), added("i-2", 2, 2))
	apply(peer, time.Second, added("i-1", 1, 1), added("i-2", 2, 2))
	apply(reader, 10*time.Second, directory.Record{Kind: directory.KindTarget, Name: "i-1", Revision: 3, Removed: true, Expired: true})
	reader.Advance(3)
	apply(peer, 11*time.Second, reader.ChangesSince(2, 11*time.Second)...)
	apply(newcomer, 11*time.Second, reader.ChangesSince(0, 11*time.Second)...)
	for _, d := range []*directory.Directory{peer, newcomer} {
		d.Advance(3)
		held := d.View().TargetByIP([4]byte{10, 0, 0, 1})
		require.NotNil(t, held, "its open flows can still be found")
		require.NotZero(t, held.ExpiredAt)
		require.Empty(t, d.RemoveExpired(12*time.Second))
		require.Equal(t, []string{"i-1"}, d.RemoveExpired(13*time.Second))
		require.Len(t, d.View().Targets("bench"), 1)
	}
	require.Equal(t, []string{"i-1"}, reader.RemoveExpired(13*time.Second))
	late := directory.New()
	apply(late, 14*time.Second, added("i-1", 1, 1))
	apply(late, 14*time.Second, reader.ChangesSince(1, 14*time.Second)...)
	require.Nil(t, late.View().TargetByIP([4]byte{10, 0, 0, 1}), "after its time a lapse is a removal")
	apply(peer, 14*time.Second, added("i-1", 1, 4))
	require.NotNil(t, peer.View().TargetByIP([4]byte{10, 0, 0, 1}), "a later entry counts")
}

// A peer may tell of a lapse that is older than a process's copy of the store. The process then knows that the entry was
// gone as of its copy too, and must tell peers that hold a record from between the two.
func TestLapseOlderThanACopyOfTheStore(t *testing.T) {
	lapse := added("i-1", 1, 2)
	lapse.Removed, lapse.Expired = true, true
	reader, peer := directory.New(), directory.New()
	apply(peer, time.Second, added("i-1", 1, 3))
	peer.AdvanceSnapshot(3)
	reader.AdvanceSnapshot(4)
	apply(reader, time.Second, lapse)
	whole := reader.ChangesSince(0, time.Second)
	apply(peer, time.Second, append(whole, peer.SnapshotRemovals(whole, 4)...)...)
	require.Equal(t, []string{"i-1"}, peer.RemoveExpired(4*time.Second))
	require.Zero(t, peer.View().TargetCount())
}

// Pattern: entries of cold targets are written anew with each beat, since they name the time that is left. They must not
// cost messages to all peers.
func TestBeatsOfAColdTargetAreNoNews(t *testing.T) {
	d := directory.New()
	beat := func(revision uint64, left, now time.Duration) bool {
		r := directory.Record{Kind: directory.KindTarget, Name: "i-1", Revision: revision, Target: target("i-1", 1, 1)}
		r.Target.ColdLeft = left
		return d.Apply(&r, now)
	}
	require.True(t, beat(1, 6*time.Second, time.Second))
	require.False(t, beat(2, 5*time.Second, 2100*time.Millisecond))
	require.False(t, beat(3, 4*time.Second, 2900*time.Millisecond))
	d.Advance(3)
	require.Empty(t, d.ChangesSince(1, 3*time.Second))
	require.Equal(t, uint64(3), d.ChangesSince(0, 3*time.Second)[0].Revision, "an older record does not replace it")
	require.True(t, beat(4, 4500*time.Millisecond, 3*time.Second), "it stays cold for longer than it said")
	require.True(t, beat(5, 20*time.Second, 4*time.Second), "it turned cold again")
	require.True(t, beat(6, 0, 5*time.Second), "it is warm")
}
