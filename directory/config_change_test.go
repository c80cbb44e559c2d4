package directory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
)

func configWithRoutes(version int64, names ...string) *directory.Config {
	c := &directory.Config{Version: version}
	for i, name := range names {
		c.Routes = append(c.Routes, directory.Route{
			Name: name, Address: flow.Endpoint{IP: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: 443},
			Choices: []directory.Choice{{Service: "bench", Weight: 1}},
		})
	}
	return c
}

func configRecord(revision directory.Revision, c *directory.Config) directory.Record {
	return directory.Record{Kind: directory.KindConfig, Revision: revision, Config: c}
}

// newDirectory returns a directory at revision 5 with the configuration.
func newDirectory(c *directory.Config) *directory.Directory {
	d := directory.New()
	apply(d, time.Second, configRecord(5, c))
	d.Advance(5)
	return d
}

// Checks that peers with the previous configuration get a change, and all others the full configuration.
func TestConfigChangesForPeers(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	first, second := configWithRoutes(1, names...), configWithRoutes(2, append(names[1:], "g")...)
	reader, peer, late := newDirectory(first), newDirectory(first), directory.New()
	second.Routes[0].Priority = 1
	for i := range second.Routes[:5] { // the remaining routes keep their addresses
		second.Routes[i].Address = first.Routes[i+1].Address
	}
	apply(reader, time.Second, configRecord(8, second))
	reader.Advance(8)
	changes := reader.ChangesSince(5, time.Second)
	require.Len(t, changes, 1)
	require.NotNil(t, changes[0].Change)
	require.Equal(t, []string{"a"}, changes[0].Change.Gone)
	require.Len(t, changes[0].Change.Next.Routes, 2, "one changed, one added")
	apply(peer, time.Second, changes...)
	require.False(t, peer.TakeBaseMismatch())
	require.Equal(t, second, peer.View().Config)

	apply(late, time.Second, changes...)
	require.True(t, late.TakeBaseMismatch(), "it does not have the base of the change")
	require.False(t, late.TakeBaseMismatch())
	require.Nil(t, late.View().Config)
	apply(late, time.Second, reader.ChangesSince(0, time.Second)...)
	require.Equal(t, second, late.View().Config)
}

// Checks that a platform that writes the routes of each configuration in a different order does not cause changes.
func TestRouteOrderIsNotAChange(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	first, second := configWithRoutes(1, names...), configWithRoutes(2, names...)
	second.Routes[3].Priority = 1
	slices.Reverse(second.Routes)
	reader, peer := newDirectory(first), newDirectory(first)
	apply(reader, time.Second, configRecord(8, second))
	reader.Advance(8)
	changes := reader.ChangesSince(5, time.Second)
	require.NotNil(t, changes[0].Change)
	require.Len(t, changes[0].Change.Next.Routes, 1)
	apply(peer, time.Second, changes...)
	require.Equal(t, reader.View().Config, peer.View().Config)
	require.Equal(t, 1, peer.View().Route(first.Routes[3].Address).Priority)
}

// Checks that a burst of configurations, with several of them within the period for which updates to peers repeat
// recent changes, is sent as changes, whichever of the configurations a peer has.
func TestBurstOfConfigurationsIsSentAsChanges(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	reader := directory.New()
	peers := make([]*directory.Directory, 5)
	for n := range peers {
		revision := directory.Revision(10 * (n + 1))
		config := configWithRoutes(int64(n+1), names...)
		for i := range n {
			config.Routes[i].Priority = 1
		}
		apply(reader, time.Second, configRecord(revision, config))
		reader.Advance(revision)
		peers[n] = directory.New()
		apply(peers[n], time.Second, configRecord(revision, config))
		peers[n].Advance(revision)
	}
	for _, r := range reader.ChangesSince(10, time.Second) {
		require.NotNil(t, r.Change)
		require.Len(t, r.Change.Next.Routes, 1)
	}
	for n, peer := range peers {
		apply(peer, time.Second, reader.ChangesSince(10, time.Second)...)
		require.False(t, peer.TakeBaseMismatch(), "peer %d", n)
		require.Equal(t, reader.View().Config, peer.View().Config, "peer %d", n)
	}
	for revision := directory.Revision(100); revision < 120; revision++ {
		apply(reader, time.Second, configRecord(revision, configWithRoutes(int64(revision), names...)))
		reader.Advance(revision)
	}
	require.NotNil(t, reader.ChangesSince(50, time.Second)[0].Config, "more changes than the history holds")
}

// Checks that the later of two routes with the same address counts, regardless of the order of the other routes.
func TestLastRouteOfAddressCounts(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	first, second := configWithRoutes(1, names...), configWithRoutes(2, names...)
	for _, c := range []*directory.Config{first, second} {
		c.Routes[6].Address = c.Routes[1].Address
	}
	second.Routes[1], second.Routes[6] = second.Routes[6], second.Routes[1]
	reader, peer := newDirectory(first), newDirectory(first)
	for _, d := range []*directory.Directory{reader, peer} {
		require.Equal(t, "g", d.View().Route(first.Routes[1].Address).Name)
	}
	apply(reader, time.Second, configRecord(8, second))
	reader.Advance(8)
	apply(peer, time.Second, reader.ChangesSince(5, time.Second)...)
	for _, d := range []*directory.Directory{reader, peer} {
		require.Equal(t, "b", d.View().Route(first.Routes[1].Address).Name)
	}
}

// Checks that the full configuration is sent if it has few routes in common with the previous one or route names
// are not unique.
func TestConfigurationsSentInFull(t *testing.T) {
	for name, next := range map[string]*directory.Config{
		"equal names":   configWithRoutes(2, "a", "a", "c", "d", "e", "f"),
		"few in common": configWithRoutes(2, "g", "h", "i", "j", "k", "l"),
	} {
		d := directory.New()
		apply(d, time.Second, configRecord(5, configWithRoutes(1, "a", "b", "c", "d", "e", "f")), configRecord(8, next))
		d.Advance(8)
		require.Equal(t, next, d.ChangesSince(5, time.Second)[0].Config, name)
	}
}

// Guards against a change that is sent to a peer with another configuration than its base: this process skipped that
// configuration, and the peer did not. The peer would have to fetch everything.
func TestPeerWithSkippedConfigurationGetsFullOne(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	first, skipped, last := configWithRoutes(1, names...), configWithRoutes(2, names[:5]...), configWithRoutes(3, names...)
	last.Routes[0].Priority = 1
	reader, peer := newDirectory(first), newDirectory(first)
	apply(peer, time.Second, configRecord(8, skipped))
	peer.Advance(8)
	apply(reader, time.Second, configRecord(9, last))
	reader.Advance(9)
	apply(peer, time.Second, reader.ChangesSince(8, time.Second)...)
	require.False(t, peer.TakeBaseMismatch())
	require.Equal(t, last, peer.View().Config)
	require.NotNil(t, reader.ChangesSince(5, time.Second)[0].Change, "peers with the base still get the change")
}
