package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store or an event of its history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
	address  netip.AddrPort
	server   *http.Server
	cut      map[netip.Addr]bool // readers whose calls get no answer
}

func newStore(address netip.AddrPort) (*store, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	s := &store{items: make(map[string]item), revision: 1, changed: make(chan struct{}), address: address, cut: make(map[netip.Addr]bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cowslipward/kv-key", s.serveKey)
	mux.HandleFunc("GET /cowslipward/kv-range", s.serveRange)
	mux.HandleFunc("GET /cowslipward/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: s.partition(mux), ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// setCut partitions a reader from the store, or ends that.
func (s *store) setCut(reader netip.Addr, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[reader] = cut
}

func (s *store) isCut(r *http.Request) bool {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	return err == nil && s.cut[from.Addr()]
}

// cutWriter holds back the answer to a reader that was cut off while its call was waiting.
type cutWriter struct {
	http.ResponseWriter
	store   *store
	request *http.Request
}

func (w cutWriter) Write(b []byte) (int, error) {
	if w.store.isCut(w.request) {
		<-w.request.Context().Done()
	}
	return w.ResponseWriter.Write(b)
}

// partition leaves the calls of readers that are cut off without an answer.
func (s *store) partition(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isCut(r) {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(cutWriter{w, s, r}, r)
	})
}

// put writes an item. Its return is the acknowledgement.
func (s *store) put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: []byte(value), Revision: s.revision, Created: created}
	s.announce(s.items[key])
	return s.revision
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.announce(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) announce(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, map[string]any{"key": found.Key, "value": found.Value, "revision": found.Revision, "created": found.Created, "lease": 0, "storeRevision": revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	list := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			list = append(list, found)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, map[string]any{"items": list, "hasMore": false, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		list, revision, changed := s.eventsAfter(after, query.Get("prefix"))
		if len(list) > 0 || expired {
			answer(w, map[string]any{"events": list, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(after uint64, prefix string) ([]item, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			list = append(list, event)
		}
	}
	return list, s.revision, s.changed
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // unreachable: the bodies are always encodable
	}
	_, _ = w.Write(text)
}
