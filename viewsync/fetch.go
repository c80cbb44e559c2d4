package viewsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"golang.org/x/crypto/cryptobyte"

	"github.com/cowslipward/cowslipward/directory"
)

const (
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 500 * time.Millisecond
	// maxFetchBytes bounds the answer to a fetch.
	maxFetchBytes = 16 << 20
	recordsPath   = "/records"
)

// bundle is the answer to a fetch.
type bundle struct {
	whole    bool // records holds all that holds; else all changes after the revision that was asked for
	revision uint64
	age      time.Duration // since the store confirmed the view
	records  []directory.Record
}

// bundleVersion is the first byte of each bundle.
const bundleVersion = 1

var errNoBundle = errors.New("the peer's answer holds no records")

func (b *bundle) encode() ([]byte, error) {
	out := cryptobyte.NewBuilder(nil)
	out.AddUint8(bundleVersion)
	out.AddUint8(flag(b.whole, 1))
	out.AddUint64(b.revision)
	out.AddUint32(millis(b.age))
	for i := range b.records {
		appendRecord(out, &b.records[i])
	}
	return out.Bytes()
}

func decodeBundle(encoded []byte) (*bundle, error) {
	b := &bundle{}
	s := cryptobyte.String(encoded)
	var version, whole uint8
	ok := s.ReadUint8(&version) && version == bundleVersion && s.ReadUint8(&whole) && s.ReadUint64(&b.revision) && readMillis(&s, &b.age)
	if !ok {
		return nil, errNoBundle
	}
	b.whole = whole == 1
	var err error
	b.records, err = readRecords(s)
	return b, err
}

// fetch takes over what a peer knows beyond this process's view.
func (s *Syncer) fetch(ctx context.Context, peer netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := s.config.Now()
	b, err := s.get(ctx, peer)
	if err != nil {
		s.config.Log.Warn("fetch_from_peer_failed", "peer", peer, "error", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := asked - b.age
	if s.known != 0 {
		s.noteReturn(s.known, asked)
	}
	s.needWhole = false
	if b.whole {
		s.mergeWhole(b.records, b.revision, known)
	} else {
		s.merge(b.records, b.revision, known)
	}
	return s.directory.View().Config != nil
}

// knownTo returns the revision after which a fetch asks for records.
func (s *Syncer) knownTo() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.needWhole {
		return 0
	}
	return s.directory.Revision()
}

func (s *Syncer) get(ctx context.Context, peer netip.AddrPort) (*bundle, error) {
	address := fmt.Sprintf("http://%s%s?after=%d", peer, recordsPath, s.knownTo())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the peer answered with status %d", answer.StatusCode)
	}
	encoded, err := io.ReadAll(io.LimitReader(answer.Body, maxFetchBytes))
	if err != nil {
		return nil, err
	}
	return decodeBundle(encoded)
}

// fetchFromAnyPeer asks the contacts in turn until one has a configuration.
func (s *Syncer) fetchFromAnyPeer(ctx context.Context) bool {
	s.mu.Lock()
	peers := s.members.contacts(s.config.Now())
	s.mu.Unlock()
	for _, peer := range peers {
		if s.fetch(ctx, peer) {
			return true
		}
	}
	return false
}

// Handler serves fetches of peers.
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
		b := s.bundle(after, now)
		s.mu.Unlock()
		encoded, err := b.encode()
		if err != nil {
			s.config.Log.Error("records_not_encoded", "error", err)
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		if _, err := w.Write(encoded); err != nil {
			s.config.Log.Debug("fetch_not_answered", "peer", r.RemoteAddr, "error", err)
		}
	})
	return mux
}

// bundle returns what changed after a revision, or all where some of it is not known.
func (s *Syncer) bundle(after uint64, now time.Duration) bundle {
	b := bundle{whole: after < s.directory.CompactRevision(), revision: s.directory.Revision(), age: now - s.known}
	if b.whole {
		after = 0
	}
	b.records = s.directory.ChangesSince(after, now)
	return b
}

// newClient returns the client of fetches.
func newClient(local netip.Addr) *http.Client {
	dialer := &net.Dialer{Timeout: fetchTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}
