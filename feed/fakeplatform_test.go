package feed_test

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// fakePlatform is a configuration service that answers blocking queries for the rule file and the VM list.
type fakePlatform struct {
	server *httptest.Server

	mu        sync.Mutex
	changed   chan struct{}
	text      string
	revision  uint64
	vms       []map[string]string
	listIndex uint64
	down      bool
	reads     int
}

func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{changed: make(chan struct{}), listIndex: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/", p.serveRules)
	mux.HandleFunc("GET /v1/vms", p.serveList)
	p.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		p.update(func() { p.down = true }) // ends pending blocking queries
		p.server.CloseClientConnections()
		p.server.Close()
	})
	return p
}

// waitForIndexChange implements a blocking query: it waits until the current index differs from the index of the
// request, for at most 30 s. It reports whether the platform is up.
func (p *fakePlatform) waitForIndexChange(r *http.Request, current func() uint64) bool {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	timeout := time.After(30 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	for index > 0 && current() == index && !p.down {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			index = 0
		case <-r.Context().Done():
			index = 0
		}
		p.mu.Lock()
	}
	return !p.down
}

func (p *fakePlatform) serveRules(w http.ResponseWriter, r *http.Request) {
	if !p.waitForIndexChange(r, func() uint64 { return p.revision }) {
		http.Error(w, "down", http.StatusInternalServerError)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(p.revision, 10))
	value := base64.StdEncoding.EncodeToString([]byte(p.text))
	_ = json.NewEncoder(w).Encode([]map[string]any{{"Value": value, "ModifyIndex": p.revision}})
}

func (p *fakePlatform) serveList(w http.ResponseWriter, r *http.Request) {
	if !p.waitForIndexChange(r, func() uint64 { return p.listIndex }) {
		http.Error(w, "down", http.StatusInternalServerError)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	domain := r.URL.Query().Get("domain")
	vms := []map[string]string{}
	for _, vm := range p.vms {
		if domain == "" || vm["failure_domain"] == domain {
			vms = append(vms, vm)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"index": p.listIndex, "vms": vms})
}

// update applies a change of the state and wakes pending blocking queries.
func (p *fakePlatform) update(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) setRules(revision uint64, text string) {
	p.update(func() { p.revision, p.text = revision, text })
}

func (p *fakePlatform) readCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}
