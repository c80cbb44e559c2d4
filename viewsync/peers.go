package viewsync

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cowslipward/cowslipward/directory"
)

const (
	// helloPeriod is how often a process tells its contacts that it lives.
	helloPeriod = time.Second
	// repeatFor is how long updates repeat a change, so that a lost datagram costs nothing.
	repeatFor = 700 * time.Millisecond
	// maxDatagram bounds an update. What does not fit is fetched over TCP.
	maxDatagram = 1400
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 500 * time.Millisecond
	// maxFetchBytes bounds the answer to a fetch.
	maxFetchBytes = 16 << 20
	recordsPath   = "/records"
)

// message is what processes tell each other by datagram.
type message struct {
	Update   bool   // the sender reads the store; else it only says that it lives
	Confirm  bool   `json:",omitempty"` // the sender wants a view that the store confirms now
	Base     uint64 // Records holds all changes after this revision
	Revision uint64
	Age      int64 // since the store confirmed the view, milliseconds
	Partial  bool  `json:",omitempty"` // Records did not fit: fetch them
	Records  []directory.Record
	Members  []listed
}

// bundle is the answer to a fetch.
type bundle struct {
	Whole    bool // Records holds all that holds; else all changes after the revision that was asked for
	Revision uint64
	Age      int64 // milliseconds
	Records  []directory.Record
}

// push sends what changed lately to all live peers.
func (s *Syncer) push() {
	s.mu.Lock()
	now := s.config.Now()
	m := message{Update: true, Base: s.base(), Revision: s.directory.Revision(), Age: (now - s.known).Milliseconds()}
	m.Records = s.directory.Since(m.Base, now)
	m.Members = s.members.list(now)
	peers := s.members.contacts(now)
	s.mu.Unlock()
	s.send(&m, peers)
}

// hello tells the contacts that this process lives.
func (s *Syncer) hello() {
	s.mu.Lock()
	now := s.config.Now()
	m := message{Revision: s.directory.Revision(), Members: s.members.list(now)}
	peers := s.members.contacts(now)
	s.mu.Unlock()
	s.send(&m, peers)
}

func (s *Syncer) send(m *message, peers []netip.AddrPort) {
	datagram, err := encode(m)
	if err != nil {
		s.config.Log.Error("message_not_encoded", "error", err)
		return
	}
	for _, peer := range peers {
		if _, err := s.socket.WriteToUDPAddrPort(datagram, peer); err != nil {
			s.config.Log.Debug("message_not_sent", "peer", peer, "error", err)
		}
	}
}

// askReader asks the process that reads the store for a confirmed view. It reports false where none is known.
func (s *Syncer) askReader() bool {
	s.mu.Lock()
	now := s.config.Now()
	ok := !s.reading && s.reader.IsValid() && now-s.known < s.patience
	m := message{Confirm: true, Revision: s.directory.Revision()}
	reader := s.reader
	s.mu.Unlock()
	if ok {
		s.send(&m, []netip.AddrPort{reader})
	}
	return ok
}

// encode returns a message that fits in a datagram, without its records where they are too many.
func encode(m *message) ([]byte, error) {
	datagram, err := json.Marshal(m)
	if err != nil || len(datagram) <= maxDatagram {
		return datagram, err
	}
	m.Partial, m.Records = true, nil
	if datagram, err = json.Marshal(m); err != nil || len(datagram) <= maxDatagram {
		return datagram, err
	}
	m.Members = m.Members[:min(len(m.Members), maxListed/4)]
	return json.Marshal(m)
}

// RunPeers exchanges messages with peers until the context ends.
func (s *Syncer) RunPeers(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	go s.runHello(ctx)
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.config.Log.Warn("peer_socket_read_failed", "error", err)
			sleep(ctx, retryMin)
			continue
		}
		var m message
		if err := json.Unmarshal(buffer[:n], &m); err != nil {
			s.config.Log.Warn("peer_message_unreadable", "peer", from, "error", err)
			continue
		}
		s.receive(ctx, &m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (s *Syncer) runHello(ctx context.Context) {
	for ctx.Err() == nil {
		s.hello()
		sleep(ctx, helloPeriod)
	}
}

// receive takes over a message.
func (s *Syncer) receive(ctx context.Context, m *message, from netip.AddrPort) {
	s.mu.Lock()
	now := s.config.Now()
	s.members.heardOf(from, now)
	for _, member := range m.Members {
		s.members.heardOf(member.Peer, now-time.Duration(member.Age)*time.Millisecond)
	}
	if !m.Update {
		s.mu.Unlock()
		if m.Confirm {
			s.Confirm()
		}
		return
	}
	s.reader = from
	known := now - time.Duration(m.Age)*time.Millisecond - transitMargin
	yields := from.Compare(s.config.Self) < 0 && known > s.known-patience
	isWhole := !m.Partial && m.Base <= s.directory.Revision()
	isBehind := s.directory.Revision() < m.Revision
	if isWhole || !isBehind {
		s.merge(m.Records, m.Revision, known)
	}
	if yields {
		s.yieldedAt = now
		s.setReading(false)
	}
	s.mu.Unlock()
	if !isWhole && isBehind {
		s.fetch(ctx, from)
	}
	s.notify()
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
	known := asked - time.Duration(b.Age)*time.Millisecond
	if s.known != 0 {
		s.noteReturn(s.known, asked)
	}
	if b.Whole {
		s.mergeWhole(b.Records, b.Revision, known)
	} else {
		s.merge(b.Records, b.Revision, known)
	}
	return s.directory.View().Config != nil
}

func (s *Syncer) get(ctx context.Context, peer netip.AddrPort) (*bundle, error) {
	address := fmt.Sprintf("http://%s%s?after=%d", peer, recordsPath, s.revision())
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
	b := &bundle{}
	return b, json.NewDecoder(io.LimitReader(answer.Body, maxFetchBytes)).Decode(b)
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
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(&b); err != nil {
			s.config.Log.Debug("fetch_not_answered", "peer", r.RemoteAddr, "error", err)
		}
	})
	return mux
}

// bundle returns what changed after a revision, or all where some of it is not known.
func (s *Syncer) bundle(after uint64, now time.Duration) bundle {
	b := bundle{Whole: after < s.directory.Floor(), Revision: s.directory.Revision(), Age: (now - s.known).Milliseconds()}
	if b.Whole {
		after = 0
	}
	b.Records = s.directory.Since(after, now)
	return b
}

// newClient returns the client of fetches.
func newClient(local netip.Addr) *http.Client {
	dialer := &net.Dialer{Timeout: fetchTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}
