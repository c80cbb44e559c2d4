package viewsync

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
)

func TestMessagesKeepTheirFields(t *testing.T) {
	peer := netip.MustParseAddrPort("10.1.0.10:8166")
	for _, m := range []message{
		{Kind: kindHello, Domain: 7, Members: []listed{}},
		{Kind: kindHello, Asks: true, Domain: 7, Members: []listed{{Peer: peer, Domain: 9, Age: 20 * time.Millisecond}}},
		{Kind: kindConfirm, Members: []listed{}},
		{
			Kind: kindUpdate, Pass: true, Reader: peer, Base: 5, Revision: 6, Age: time.Second, Members: []listed{},
			Number: 3, Part: 1, Parts: 2,
			Records: []directory.Record{
				{Kind: directory.KindDomainOut, Name: "a", Revision: 6, ContentRevision: 6},
				{Kind: directory.KindTarget, Name: "i-1", Revision: 7, ContentRevision: 6, Target: &directory.Target{
					ID: "i-1", Service: "bench", Address: flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 80}, Domain: "a",
					Slots: 300, State: directory.TargetDraining, ColdLeft: 1500 * time.Millisecond, StartUnixMs: 1733309000000,
				}},
				{Kind: directory.KindTarget, Name: "i-2", Revision: 8, Removed: true, Expired: true},
				{Kind: directory.KindConfig, Revision: 9, Config: &directory.Config{Version: 3}},
				{Kind: directory.KindConfig, Revision: 10, Change: &directory.ConfigChange{
					Base: 9, Next: directory.Config{Version: 4, Routes: []directory.Route{{Name: "r-1"}}}, Gone: []string{"r-2"},
				}},
			},
		},
	} {
		datagram, err := m.encode()
		require.NoError(t, err)
		decoded, err := decodeMessage(datagram)
		require.NoError(t, err)
		require.Equal(t, &m, decoded)
	}
}

// Records that do not fit a datagram are left out, and the message says so.
func TestRecordsThatDoNotFitAreLeftOut(t *testing.T) {
	m := message{Kind: kindUpdate, Reader: netip.MustParseAddrPort("10.1.0.10:8166")}
	for n := range 100 {
		m.Records = append(m.Records, directory.Record{Kind: directory.KindDomainOut, Name: fmt.Sprint("domain-", n)})
	}
	datagram, err := m.encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(datagram), maxDatagram)
	decoded, err := decodeMessage(datagram)
	require.NoError(t, err)
	require.True(t, decoded.Partial)
	require.Empty(t, decoded.Records)
}

// The records of an update are divided among as many messages as they need, up to a bound.
func TestUpdatesAreSplit(t *testing.T) {
	records := func(count int) []directory.Record {
		list := make([]directory.Record, count)
		for n := range list {
			list[n] = directory.Record{Kind: directory.KindDomainOut, Name: fmt.Sprintf("domain-%04d", n), Revision: uint64(n)}
		}
		return list
	}
	one, ok := split(records(3))
	require.True(t, ok)
	require.Len(t, one, 1)
	some, ok := split(records(100))
	require.True(t, ok)
	require.Greater(t, len(some), 1)
	for _, part := range some {
		m := message{Kind: kindUpdate, Reader: netip.MustParseAddrPort("10.1.0.10:8166"), Records: part}
		datagram, err := m.encode()
		require.NoError(t, err)
		require.LessOrEqual(t, len(datagram), maxDatagram)
	}
	_, ok = split(records(1000))
	require.False(t, ok)
	none, ok := split(nil)
	require.True(t, ok)
	require.Len(t, none, 1, "an update without records confirms the view")
}

// Parts of an update may come twice, since two relays pass them on, and may be lost.
func TestPartsOfAnUpdate(t *testing.T) {
	reader := netip.MustParseAddrPort("10.1.0.10:8166")
	part := func(number uint32, n uint8) *message {
		return &message{Reader: reader, Number: number, Part: n, Parts: 3}
	}
	var p partTracker
	require.Equal(t, progressDone, p.take(&message{Reader: reader, Number: 1, Parts: 1}))
	require.Equal(t, progressWaiting, p.take(part(2, 0)))
	require.Equal(t, progressWaiting, p.take(part(2, 0)), "the other relay's copy")
	require.Equal(t, progressWaiting, p.take(part(2, 1)))
	require.Equal(t, progressWaiting, p.take(part(2, 1)))
	require.Equal(t, progressDone, p.take(part(2, 2)))
	require.Equal(t, progressWaiting, p.take(part(3, 0)))
	require.Equal(t, progressLost, p.take(part(3, 2)))
	require.Equal(t, progressLost, p.take(part(4, 1)), "the first part was lost")
}

func FuzzDecodeMessage(f *testing.F) {
	hello := message{Kind: kindHello, Members: []listed{{Peer: netip.MustParseAddrPort("10.1.0.10:8166")}}}
	update := message{Kind: kindUpdate, Reader: netip.MustParseAddrPort("10.1.0.10:8166"), Records: []directory.Record{{Kind: 1}}}
	for _, m := range []message{hello, update} {
		datagram, err := m.encode()
		require.NoError(f, err)
		f.Add(datagram)
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, err := decodeMessage(datagram)
		if err != nil {
			return
		}
		again, err := m.encode()
		require.NoError(t, err)
		decoded, err := decodeMessage(again)
		require.NoError(t, err)
		if !decoded.Partial {
			require.Equal(t, m, decoded)
		}
	})
}

// Pattern: one route of 2,700 changes, as it does 390 times a day at the planned size. The change must fit a datagram, since
// the whole configuration would take seconds on slow links.
func TestChangeOfALargeConfigurationFitsADatagram(t *testing.T) {
	config := func(version int64, priority int) *directory.Config {
		c := &directory.Config{Version: version}
		for n := range 2700 {
			c.Routes = append(c.Routes, directory.Route{
				Name: fmt.Sprintf("r-%06d", n), Address: flow.Endpoint{IP: [4]byte{198, 18, byte(n >> 8), byte(n)}, Port: 443},
				Choices: []directory.Choice{{Service: "bench", Weight: 1}}, Objective: 250 * time.Millisecond,
			})
		}
		c.Routes[1000].Priority = priority
		return c
	}
	d := directory.New()
	for revision := range uint64(2) {
		d.Apply(&directory.Record{Kind: directory.KindConfig, Revision: revision + 1, Config: config(int64(revision)+1, int(revision))}, 0)
		d.Advance(revision + 1)
	}
	parts, fits := split(d.ChangesSince(1, 0))
	require.True(t, fits)
	require.Len(t, parts, 1)
}

func TestBundlesKeepTheirFields(t *testing.T) {
	b := bundle{whole: true, revision: 7, age: 20 * time.Millisecond, records: []directory.Record{
		{Kind: directory.KindConfig, Revision: 3, ContentRevision: 3, Config: &directory.Config{Version: 3}},
		{Kind: directory.KindTarget, Name: "i-1", Revision: 7, ContentRevision: 6, Target: &directory.Target{ID: "i-1", Service: "bench"}},
		{Kind: directory.KindTarget, Name: "i-2", Revision: 8, Removed: true},
	}}
	encoded, err := b.encode()
	require.NoError(t, err)
	decoded, err := decodeBundle(encoded)
	require.NoError(t, err)
	require.Equal(t, &b, decoded)
	for _, bad := range [][]byte{nil, encoded[:13], encoded[:len(encoded)-1], append([]byte{9}, encoded[1:]...)} {
		_, err := decodeBundle(bad)
		require.Error(t, err)
	}
}
