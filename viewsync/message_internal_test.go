package viewsync

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
)

func TestMessageRoundTrip(t *testing.T) {
	peer := netip.MustParseAddrPort("10.1.0.10:8166")
	for _, m := range []message{
		{Kind: kindHello, Domain: 7, Members: []member{}},
		{Kind: kindHello, WantsPeers: true, Domain: 7, Members: []member{{Address: peer, Domain: 9, Age: 20 * time.Millisecond}}},
		{Kind: kindConfirm, Members: []member{}},
		{
			Kind: kindUpdate, Forward: true, Reader: peer, Base: 5, Revision: 6, Age: time.Second, Members: []member{},
			Sequence: 3, Part: 1, Parts: 2,
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

// If the records do not fit into a datagram, they are omitted and the message has the RecordsOmitted flag.
func TestEncodeOmitsRecordsThatDoNotFit(t *testing.T) {
	m := message{Kind: kindUpdate, Reader: netip.MustParseAddrPort("10.1.0.10:8166")}
	for n := range 100 {
		m.Records = append(m.Records, directory.Record{Kind: directory.KindDomainOut, Name: fmt.Sprint("domain-", n)})
	}
	datagram, err := m.encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(datagram), maxDatagram)
	decoded, err := decodeMessage(datagram)
	require.NoError(t, err)
	require.True(t, decoded.RecordsOmitted)
	require.Empty(t, decoded.Records)
}

// The records of an update are split into as many messages as needed, up to maxParts.
func TestSplitRecords(t *testing.T) {
	records := func(count int) []directory.Record {
		list := make([]directory.Record, count)
		for n := range list {
			list[n] = directory.Record{Kind: directory.KindDomainOut, Name: fmt.Sprintf("domain-%04d", n), Revision: directory.Revision(n)}
		}
		return list
	}
	one, failed, ok := splitRecords(records(3))
	require.True(t, ok)
	require.Empty(t, failed)
	require.Len(t, one, 1)
	some, _, ok := splitRecords(records(100))
	require.True(t, ok)
	require.Greater(t, len(some), 1)
	for _, part := range some {
		m := message{Kind: kindUpdate, Reader: netip.MustParseAddrPort("10.1.0.10:8166"), Records: part}
		datagram, err := m.encode()
		require.NoError(t, err)
		require.LessOrEqual(t, len(datagram), maxDatagram)
	}
	_, _, ok = splitRecords(records(1000))
	require.False(t, ok)
	none, _, ok := splitRecords(nil)
	require.True(t, ok)
	require.Len(t, none, 1, "an update without records confirms the view")
}

// Parts of an update may arrive twice, since two relays forward them, or may be lost.
func TestPartTracker(t *testing.T) {
	reader := netip.MustParseAddrPort("10.1.0.10:8166")
	part := func(sequence uint32, n uint8) *message {
		return &message{Reader: reader, Sequence: sequence, Part: n, Parts: 3}
	}
	var p partTracker
	require.Equal(t, partsComplete, p.track(&message{Reader: reader, Sequence: 1, Parts: 1}))
	require.Equal(t, partsPending, p.track(part(2, 0)))
	require.Equal(t, partsPending, p.track(part(2, 0)), "the other relay's copy")
	require.Equal(t, partsPending, p.track(part(2, 1)))
	require.Equal(t, partsPending, p.track(part(2, 1)))
	require.Equal(t, partsComplete, p.track(part(2, 2)))
	require.Equal(t, partsPending, p.track(part(3, 0)))
	require.Equal(t, partsLost, p.track(part(3, 2)))
	require.Equal(t, partsLost, p.track(part(4, 1)), "the first part was lost")
}

func FuzzDecodeMessage(f *testing.F) {
	hello := message{Kind: kindHello, Members: []member{{Address: netip.MustParseAddrPort("10.1.0.10:8166")}}}
	update := message{Kind: kindUpdate, Reader: netip.MustParseAddrPort("10.1.0.10:8166"), Records: []directory.Record{{Kind: 1}}}
	eraUpdate := update
	eraUpdate.Base, eraUpdate.Revision = 3<<48|5, 3<<48|6
	for _, m := range []message{hello, update, eraUpdate} {
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
		reencoded, err := m.encode()
		require.NoError(t, err)
		decoded, err := decodeMessage(reencoded)
		require.NoError(t, err)
		if !decoded.RecordsOmitted {
			require.Equal(t, m, decoded)
		}
	})
}

// One of 2,700 routes changes, as happens 390 times a day at the planned size. The change must fit into a
// datagram, since sending the whole configuration would take seconds on slow links.
func TestChangeOfLargeConfigFitsDatagram(t *testing.T) {
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
	for revision := range directory.Revision(2) {
		d.Apply(&directory.Record{Kind: directory.KindConfig, Revision: revision + 1, Config: config(int64(revision)+1, int(revision))}, 0)
		d.Advance(revision + 1)
	}
	parts, _, fits := splitRecords(d.ChangesSince(1, 0))
	require.True(t, fits)
	require.Len(t, parts, 1)
}

func TestFetchResponseRoundTrip(t *testing.T) {
	response := fetchResponse{snapshot: true, revision: 7, age: 20 * time.Millisecond, records: []directory.Record{
		{Kind: directory.KindConfig, Revision: 3, ContentRevision: 3, Config: &directory.Config{Version: 3}},
		{Kind: directory.KindTarget, Name: "i-1", Revision: 7, ContentRevision: 6, Target: &directory.Target{ID: "i-1", Service: "bench"}},
		{Kind: directory.KindTarget, Name: "i-2", Revision: 8, Removed: true},
		{Kind: directory.KindTarget, Name: "i-3", Revision: 9, Refusal: &directory.Refusal{Reason: directory.RefusedRange, Detail: "slots"}},
		{Kind: directory.KindConfig, Revision: 9, ContentRevision: 9, Refusal: &directory.Refusal{Reason: directory.RefusedUnreadable}},
	}}
	encoded, failed := response.encode()
	require.Empty(t, failed)
	decoded, err := decodeFetchResponse(encoded)
	require.NoError(t, err)
	require.Equal(t, &response, decoded)
	for _, bad := range [][]byte{nil, encoded[:13], encoded[:len(encoded)-1], append([]byte{9}, encoded[1:]...)} {
		_, err := decodeFetchResponse(bad)
		require.Error(t, err)
	}
}

// Guards against a record that cannot be encoded and keeps all others from the peers: one name that is too long stopped
// every update and every fetch.
func TestRecordThatCannotBeEncodedIsLeftOut(t *testing.T) {
	long := strings.Repeat("x", 300)
	target := func(service, domain string) *directory.Target {
		return &directory.Target{Service: service, Domain: domain}
	}
	records := []directory.Record{
		{Kind: directory.KindDomainOut, Name: "a", Revision: 1},
		{Kind: directory.KindDomainOut, Name: long, Revision: 2},
		{Kind: directory.KindTarget, Name: "i-1", Revision: 3, Target: target(long, "a")},
		{Kind: directory.KindTarget, Name: "i-2", Revision: 4, Target: target("bench", long)},
		{Kind: directory.KindDomainOut, Name: "b", Revision: 5},
	}
	parts, failed, ok := splitRecords(records)
	require.True(t, ok)
	require.Len(t, failed, 3)
	require.Equal(t, [][]directory.Record{{records[0], records[4]}}, parts)

	response := fetchResponse{revision: 5, records: records}
	encoded, unencoded := response.encode()
	require.Len(t, unencoded, 3)
	decoded, err := decodeFetchResponse(encoded)
	require.NoError(t, err)
	require.Len(t, decoded.records, 2)

	m := message{Kind: kindUpdate, Reader: netip.MustParseAddrPort("10.1.0.10:8166"), Records: records}
	datagram, err := m.encode()
	require.NoError(t, err)
	received, err := decodeMessage(datagram)
	require.NoError(t, err)
	require.Len(t, received.Records, 2)
}

// Guards against a response of a peer that ends the process, or that decodes into records which cannot be encoded again.
func FuzzDecodeFetchResponse(f *testing.F) {
	response := fetchResponse{snapshot: true, revision: 7, records: []directory.Record{
		{Kind: directory.KindConfig, Revision: 3, Config: &directory.Config{Version: 3}},
		{Kind: directory.KindTarget, Name: "i-1", Revision: 7, Target: &directory.Target{ID: "i-1", Service: "bench"}},
		{Kind: directory.KindTarget, Name: "i-2", Revision: 8, Refusal: &directory.Refusal{Reason: directory.RefusedRange}},
		{Kind: directory.KindDomainOut, Name: "a", Revision: 9, Removed: true},
	}}
	encoded, _ := response.encode()
	f.Add(encoded)
	response.revision = 3<<48 | 7
	encoded, _ = response.encode()
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		decoded, err := decodeFetchResponse(encoded)
		if err != nil {
			return
		}
		_, failed := decoded.encode()
		require.Empty(t, failed)
		d := directory.New()
		for i := range decoded.records {
			d.Apply(&decoded.records[i], time.Second)
		}
		d.AdvanceSnapshot(decoded.revision)
		_ = d.View()
		_ = d.ChangesSince(0, time.Second)
	})
}
