package viewsync

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/platform"
)

// atRevision returns a Syncer without a store whose view contains configuration 1 at a revision.
func atRevision(t *testing.T, revision directory.Revision) *Syncer {
	local := netip.MustParseAddr("127.0.0.1")
	s, err := Open(Config{
		Store: platform.NewStore(netip.AddrPortFrom(local, 1), local, time.Second), Self: netip.AddrPortFrom(local, 0),
		Now: func() time.Duration { return time.Minute }, Publish: func(*directory.View, time.Duration) {},
		Log: slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.socket.Close() })
	s.mergeSnapshot([]directory.Record{{Kind: directory.KindConfig, Revision: revision, Config: &directory.Config{Version: 1}}}, revision, time.Second)
	return s
}

const (
	firstEra  = directory.Revision(1 << 48)
	secondEra = directory.Revision(2 << 48)
)

// Guards against a reader that reads the store of a former era, or runs a version without eras, and whose updates count as
// confirmations.
func TestUpdateOfOlderEraConfirmsNothing(t *testing.T) {
	reader := netip.MustParseAddrPort("127.0.0.9:9")
	for _, revision := range []directory.Revision{firstEra | 500, 500} {
		s := atRevision(t, secondEra|9)
		s.setReader(true)
		out := []directory.Record{{Kind: directory.KindDomainOut, Name: "a", Revision: revision}}
		s.handleUpdate(context.Background(), &message{Kind: kindUpdate, Reader: reader, Parts: 1, Revision: revision, Records: out}, reader)
		require.Equal(t, time.Second, s.confirmedAt)
		require.False(t, s.reader.IsValid(), "not followed")
		require.True(t, s.isReader, "no yielding to it")
		require.Empty(t, s.directory.View().OutDomains)
	}
}

// Guards against a fetch that mixes eras: the response of a peer of a former one, or changes across eras.
func TestFetchAcrossEras(t *testing.T) {
	s := atRevision(t, secondEra|9)
	require.False(t, s.acceptsFetched(&fetchResponse{snapshot: true, revision: firstEra | 500}))
	require.True(t, s.acceptsFetched(&fetchResponse{revision: secondEra | 10}))
	require.False(t, s.acceptsFetched(&fetchResponse{revision: 3<<48 | 1}))
	require.Zero(t, s.fetchBase(), "all records are fetched next")
	require.True(t, s.acceptsFetched(&fetchResponse{snapshot: true, revision: 3<<48 | 1}))
	require.True(t, s.buildFetchResponse(firstEra|500, 0).snapshot, "the peer needs a snapshot")
	require.False(t, s.buildFetchResponse(secondEra|9, 0).snapshot)
}

// Guards against a reader of a former era, with a lower address, that remains the one that is asked for confirmations.
func TestReaderOfNewerEraIsFollowed(t *testing.T) {
	lowest, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	s := &Syncer{readerTimeout: readerTimeout}
	s.updateReader(lowest, 1, time.Second)
	s.updateReader(other, 2, time.Second)
	require.Equal(t, other, s.reader)

	s = atRevision(t, firstEra|9)
	s.updateReader(lowest, 1, time.Minute)
	s.mergeSnapshot(nil, secondEra|3, time.Minute)
	require.False(t, s.reader.IsValid(), "nobody is known to read the new era")
}

// Processes of versions without eras accept the kinds 1 to 3 and version 1 of fetch responses. Guards against revisions
// with an era that they take for revisions of the store, after which nothing that they read would be newer. Without an
// era, the messages are those of before.
func TestMessagesWithErasAreNotForOldVersions(t *testing.T) {
	const kindOffset, updateKind, lastOldKind, oldFetchVersion = 1, 2, 3, 1
	for _, revision := range []directory.Revision{7, firstEra | 7} {
		wantKind, wantVersion := uint8(updateKind), uint8(oldFetchVersion)
		if revision.Era() > 0 {
			wantKind, wantVersion = lastOldKind+1, oldFetchVersion+1
		}
		update := message{Kind: kindUpdate, Reader: netip.MustParseAddrPort("10.0.0.1:1"), Members: []member{}, Base: revision - 1, Revision: revision}
		datagram, err := update.encode()
		require.NoError(t, err)
		require.Equal(t, wantKind, datagram[kindOffset])
		decoded, err := decodeMessage(datagram)
		require.NoError(t, err)
		require.Equal(t, &update, decoded)
		response, _ := (&fetchResponse{revision: revision}).encode()
		require.Equal(t, wantVersion, response[0])
		_, err = decodeFetchResponse(response)
		require.NoError(t, err)

		datagram[kindOffset], response[0] = updateKind, oldFetchVersion
		_, errUpdate := decodeMessage(datagram)
		_, errFetch := decodeFetchResponse(response)
		require.Equal(t, revision.Era() > 0, errUpdate != nil, "an old version has nothing with an era to say")
		require.Equal(t, revision.Era() > 0, errFetch != nil)
	}
}
