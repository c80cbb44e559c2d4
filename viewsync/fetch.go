package viewsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"golang.org/x/crypto/cryptobyte"

	"github.com/cowslipward/cowslipward/directory"
)

const (
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 500 * time.Millisecond
	// maxFetchBytes bounds the size of a fetch response in bytes.
	maxFetchBytes = 16 << 20
	recordsPath   = "/records"
)

// fetchResponse is the response of a peer to a fetch.
type fetchResponse struct {
	snapshot bool // records is a snapshot; otherwise all changes after the requested revision
	revision directory.Revision
	age      time.Duration // time since the store confirmed the view
	records  []directory.Record
}

// The first byte of each encoded fetchResponse. Processes of versions without eras refuse the second, as they do a
// kindEraUpdate.
const (
	fetchResponseVersion    = 1
	fetchResponseEraVersion = 2 // the revisions contain an era
)

var errInvalidFetchResponse = errors.New("invalid fetch response from peer")

// encode returns the response without the records that cannot be encoded, and the errors of those.
func (r *fetchResponse) encode() (encoded []byte, failed []error) {
	out := cryptobyte.NewBuilder(nil)
	if r.hasEra() {
		out.AddUint8(fetchResponseEraVersion)
	} else {
		out.AddUint8(fetchResponseVersion)
	}
	out.AddUint8(flag(r.snapshot, 1))
	out.AddUint64(uint64(r.revision))
	out.AddUint32(millis(r.age))
	failed = appendRecords(out, r.records)
	return out.BytesOrPanic(), failed // no field of a fixed size can fail
}

// hasEra reports whether any revision of the response contains an era. A process that has no view yet may hold records of
// one.
func (r *fetchResponse) hasEra() bool {
	isOfEra := func(record directory.Record) bool { return record.Revision.Era() > 0 }
	return r.revision.Era() > 0 || slices.ContainsFunc(r.records, isOfEra)
}

func decodeFetchResponse(encoded []byte) (*fetchResponse, error) {
	r := &fetchResponse{}
	s := cryptobyte.String(encoded)
	var version, snapshot uint8
	ok := s.ReadUint8(&version) && fetchResponseVersion <= version && version <= fetchResponseEraVersion && s.ReadUint8(&snapshot) && readRevision(&s, &r.revision) && readMillis(&s, &r.age)
	if !ok || (version == fetchResponseVersion && r.revision.Era() > 0) {
		return nil, errInvalidFetchResponse
	}
	r.snapshot = snapshot == 1
	var err error
	r.records, err = readRecords(s)
	return r, err
}

// fetch merges the records that this process lacks from the view of a peer. It reports whether the view then
// has a configuration.
func (s *Syncer) fetch(ctx context.Context, peer netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	requestedAt := s.config.Now()
	response, err := s.requestRecords(ctx, peer)
	if err != nil {
		s.config.Log.Warn("fetch_from_peer_failed", "peer", peer, "error", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptsFetched(response) {
		return false
	}
	confirmedAt := requestedAt - response.age
	if s.confirmedAt != 0 {
		s.startOutageGrace(s.confirmedAt, requestedAt)
	}
	s.needSnapshot = false
	s.readAt = max(s.readAt, confirmedAt)
	if response.snapshot {
		s.mergeSnapshot(response.records, response.revision, confirmedAt)
	} else {
		s.mergeChanges(response.records, response.revision, confirmedAt)
	}
	return s.directory.View().Config != nil
}

// fetchBase returns the revision after which a fetch requests records; 0 requests all records.
func (s *Syncer) fetchBase() directory.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.needSnapshot {
		return 0
	}
	return s.directory.Revision()
}

func (s *Syncer) requestRecords(ctx context.Context, peer netip.AddrPort) (*fetchResponse, error) {
	address := fmt.Sprintf("http://%s%s?after=%d", peer, recordsPath, uint64(s.fetchBase()))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer responded with status %d", response.StatusCode)
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxFetchBytes))
	if err != nil {
		return nil, err
	}
	return decodeFetchResponse(encoded)
}

// fetchFromAnyPeer fetches from peers in turn until the view has a configuration, and reports whether it does.
func (s *Syncer) fetchFromAnyPeer(ctx context.Context) bool {
	s.mu.Lock()
	peers := s.members.fetchCandidates(s.config.Now())
	s.mu.Unlock()
	for _, peer := range peers {
		if s.fetch(ctx, peer) {
			return true
		}
	}
	return false
}

// Handler returns the HTTP handler that serves fetches of peers.
func (s *Syncer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+recordsPath, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after: want a revision", http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		now := s.config.Now()
		response := s.buildFetchResponse(directory.Revision(after), now)
		s.mu.Unlock()
		encoded, failed := response.encode()
		s.reportUnencodable(failed)
		w.Header().Set("Content-Type", "application/octet-stream")
		if _, err := w.Write(encoded); err != nil {
			s.config.Log.Debug("fetch_not_answered", "peer", r.RemoteAddr, "error", err)
		}
	})
	return mux
}

// buildFetchResponse returns the changes after a revision, or a snapshot if some of these changes are no
// longer known. The caller must hold s.mu.
func (s *Syncer) buildFetchResponse(after directory.Revision, now time.Duration) fetchResponse {
	response := fetchResponse{snapshot: s.needsSnapshot(after), revision: s.directory.Revision(), age: now - s.confirmedAt}
	if response.snapshot {
		after = 0
	}
	response.records = s.directory.ChangesSince(after, now)
	return response
}

// needsSnapshot reports whether a peer that has all changes up to a revision needs a snapshot: some of the later changes
// are no longer known, or the revision is of an earlier era. The caller must hold s.mu.
func (s *Syncer) needsSnapshot(after directory.Revision) bool {
	return after < s.directory.CompactRevision() || after.Era() < s.directory.Revision().Era()
}

// newFetchClient returns the HTTP client for fetches. Its connections originate from the local address.
func newFetchClient(local netip.Addr) *http.Client {
	dialer := &net.Dialer{Timeout: fetchTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}
