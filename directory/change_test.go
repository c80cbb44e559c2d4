package directory_test

import (
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

// Peers that hold the configuration before get what changed. All others get the whole.
func TestChangesOfAConfiguration(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	first, second := configWith(1, names...), configWith(2, append(names[1:], "g")...)
	reader, peer, late := directory.New(), directory.New(), directory.New()
	for _, d := range []*directory.Directory{reader, peer} {
		apply(d, time.Second, configRecord(5, first))
		d.Advance(5)
	}
	second.Routes[0].Priority = 1
	for i := range second.Routes[:5] { // the addresses of the routes that stay are as before
		second.Routes[i].Address = first.Routes[i+1].Address
	}
	apply(reader, time.Second, configRecord(8, second))
	reader.Advance(8)
	changes := reader.Since(5, time.Second)
	require.Len(t, changes, 1)
	require.NotNil(t, changes[0].Change)
	require.Equal(t, []string{"a"}, changes[0].Change.Gone)
	require.Len(t, changes[0].Change.Next.Routes, 2, "one changed, one is new")
	apply(peer, time.Second, changes...)
	require.False(t, peer.TakeUnmet())
	require.Equal(t, second, peer.View().Config)

	apply(late, time.Second, changes...)
	require.True(t, late.TakeUnmet(), "it does not hold what the record changes")
	require.False(t, late.TakeUnmet())
	require.Nil(t, late.View().Config)
	apply(late, time.Second, reader.Since(0, time.Second)...)
	require.Equal(t, second, late.View().Config)
}

// A configuration whose routes stand in another order, or cannot be told apart, is told whole.
func TestConfigurationsThatAreToldWhole(t *testing.T) {
	for name, next := range map[string]*directory.Config{
		"another order": configWith(2, "b", "a", "c", "d", "e", "f"),
		"equal names":   configWith(2, "a", "a", "c", "d", "e", "f"),
		"few in common": configWith(2, "g", "h", "i", "j", "k", "l"),
	} {
		d := directory.New()
		apply(d, time.Second, configRecord(5, configWith(1, "a", "b", "c", "d", "e", "f")), configRecord(8, next))
		d.Advance(8)
		require.Equal(t, next, d.Since(5, time.Second)[0].Config, name)
	}
}
