package directory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
)

func configWith(version int64, names ...string) *directory.Config {
	c := &directory.Config{Version: version}
	for i, name := range names {
		c.Routes = append(c.Routes, directory.Route{
			Name: name, Address: flow.Endpoint{IP: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: 443},
			Choices: []directory.Choice{{Service: "bench", Weight: 1}},
		})
	}
	return c
}

func configRecord(revision uint64, c *directory.Config) directory.Record {
	return directory.Record{Kind: directory.KindConfig, Revision: revision, Config: c}
}

// holding returns a directory of revision 5 with the configuration.
func holding(c *directory.Config) *directory.Directory {
	d := directory.New()
	apply(d, time.Second, configRecord(5, c))
	d.Advance(5)
	return d
}

// Peers that hold the configuration before get what changed. All others get the whole.
func TestChangesOfAConfiguration(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	first, second := configWith(1, names...), configWith(2, append(names[1:], "g")...)
	reader, peer, late := holding(first), holding(first), directory.New()
	second.Routes[0].Priority = 1
	for i := range second.Routes[:5] { // the addresses of the routes that stay are as before
		second.Routes[i].Address = first.Routes[i+1].Address
	}
	apply(reader, time.Second, configRecord(8, second))
	reader.Advance(8)
	changes := reader.ChangesSince(5, time.Second)
	require.Len(t, changes, 1)
	require.NotNil(t, changes[0].Change)
	require.Equal(t, []string{"a"}, changes[0].Change.Gone)
	require.Len(t, changes[0].Change.Next.Routes, 2, "one changed, one is new")
	apply(peer, time.Second, changes...)
	require.False(t, peer.TakeBaseMismatch())
	require.Equal(t, second, peer.View().Config)

	apply(late, time.Second, changes...)
	require.True(t, late.TakeBaseMismatch(), "it does not hold what the record changes")
	require.False(t, late.TakeBaseMismatch())
	require.Nil(t, late.View().Config)
	apply(late, time.Second, reader.ChangesSince(0, time.Second)...)
	require.Equal(t, second, late.View().Config)
}

// Pattern: a platform writes the routes of each configuration in another order.
func TestOrderOfRoutesIsNoChange(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	first, second := configWith(1, names...), configWith(2, names...)
	second.Routes[3].Priority = 1
	slices.Reverse(second.Routes)
	reader, peer := holding(first), holding(first)
	apply(reader, time.Second, configRecord(8, second))
	reader.Advance(8)
	changes := reader.ChangesSince(5, time.Second)
	require.NotNil(t, changes[0].Change)
	require.Len(t, changes[0].Change.Next.Routes, 1)
	apply(peer, time.Second, changes...)
	require.Equal(t, reader.View().Config, peer.View().Config)
	require.Equal(t, 1, peer.View().Route(first.Routes[3].Address).Priority)
}

// Pattern: a storm of configurations, several within the time for which updates repeat what changed. Peers hold any of them.
func TestStormOfConfigurationsIsToldAsChanges(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	reader := directory.New()
	peers := make([]*directory.Directory, 5)
	for n := range peers {
		revision := uint64(10 * (n + 1))
		config := configWith(int64(n+1), names...)
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
	for revision := uint64(100); revision < 120; revision++ {
		apply(reader, time.Second, configRecord(revision, configWith(int64(revision), names...)))
		reader.Advance(revision)
	}
	require.NotNil(t, reader.ChangesSince(50, time.Second)[0].Config, "more changes than are remembered")
}

// Of two routes with one address the later one counts, whatever the order of the others.
func TestLaterRouteOfAnAddressCounts(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	first, second := configWith(1, names...), configWith(2, names...)
	for _, c := range []*directory.Config{first, second} {
		c.Routes[6].Address = c.Routes[1].Address
	}
	second.Routes[1], second.Routes[6] = second.Routes[6], second.Routes[1]
	reader, peer := holding(first), holding(first)
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

// A configuration with few routes of the one before, or whose routes cannot be told apart, is told whole.
func TestConfigurationsThatAreToldWhole(t *testing.T) {
	for name, next := range map[string]*directory.Config{
		"equal names":   configWith(2, "a", "a", "c", "d", "e", "f"),
		"few in common": configWith(2, "g", "h", "i", "j", "k", "l"),
	} {
		d := directory.New()
		apply(d, time.Second, configRecord(5, configWith(1, "a", "b", "c", "d", "e", "f")), configRecord(8, next))
		d.Advance(8)
		require.Equal(t, next, d.ChangesSince(5, time.Second)[0].Config, name)
	}
}
