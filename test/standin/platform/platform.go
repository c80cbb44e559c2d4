// Package platform is a stand-in for the platform's configuration service and VM list. It speaks the key-value part of
// Consul's HTTP API with blocking queries, and takes faults over a control API.
package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode says how the service treats a reader.
type Mode string

// Modes of the service.
const (
	ModeUp    Mode = "up"
	ModeDown  Mode = "down"  // connections are closed without an answer
	ModeHang  Mode = "hang"  // no answer comes
	ModeStale Mode = "stale" // answers come from the values at the time of the command
)

// Part is what a fault holds for.
type Part string

// Parts of the platform.
const (
	PartRules Part = "rules" // the configuration service
	PartVMs   Part = "vms"   // the VM list
)

// Fault is a command of the control API. Without readers it holds for all of them.
type Fault struct {
	Part    Part     `json:"part"`
	Mode    Mode     `json:"mode"`
	Readers []string `json:"readers,omitempty"` // IP addresses
}

// VM is an entry of the VM list.
type VM struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	State         string `json:"state"`
	Data          string `json:"data"`
	Control       string `json:"control"`
	Admin         string `json:"admin"`
}

// VMList is the answer to a query for VMs.
type VMList struct {
	Index uint64 `json:"index"`
	VMs   []VM   `json:"vms"`
}

// Reads counts the calls that the service answered or holds.
type Reads struct {
	Total    uint64            `json:"total"`
	ByReader map[string]uint64 `json:"by_reader"`
}

const (
	vmsKey     = "\x00vms"
	maxWait    = 10 * time.Minute
	maxBody    = 1 << 21
	maxKVBytes = 1 << 20
)

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mux  *http.ServeMux
	live *store

	mu        sync.Mutex
	faults    map[Part]*fault
	interrupt chan struct{} // closed when the faults change, so that waiting calls see it
	reads     Reads
}

// fault is how one part treats its readers.
type fault struct {
	mode     Mode
	byReader map[string]Mode
	frozen   *store
}

// New returns a server without values.
func New() *Server {
	s := &Server{
		mux: http.NewServeMux(), live: newStore(), faults: make(map[Part]*fault),
		interrupt: make(chan struct{}), reads: Reads{ByReader: make(map[string]uint64)},
	}
	for _, part := range []Part{PartRules, PartVMs} {
		s.faults[part] = &fault{mode: ModeUp, byReader: make(map[string]Mode), frozen: s.live.copy()}
	}
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.getKV)
	s.mux.HandleFunc("GET /v1/vms", s.getVMs)
	s.mux.HandleFunc("PUT /control/kv/{key...}", s.putKV)
	s.mux.HandleFunc("PUT /control/vms", s.putVMs)
	s.mux.HandleFunc("POST /control/fault", s.setFault)
	s.mux.HandleFunc("GET /control/reads", s.getReads)
	return s
}

// ServeHTTP answers readers and the control API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// admit counts a read and returns the store to answer from, or nil when the fault in force answered.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, part Part) (*store, <-chan struct{}) {
	mode, from, interrupt := s.modeFor(r, part)
	switch mode {
	case ModeDown:
		closeWithoutAnswer(w)
		return nil, nil
	case ModeHang:
		select {
		case <-r.Context().Done():
		case <-interrupt:
		}
		closeWithoutAnswer(w)
		return nil, nil
	default:
		return from, interrupt
	}
}

func (s *Server) modeFor(r *http.Request, part Part) (Mode, *store, <-chan struct{}) {
	reader, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.Total++
	s.reads.ByReader[reader]++
	f := s.faults[part]
	mode := f.modeOf(reader)
	if mode == ModeStale {
		return mode, f.frozen, s.interrupt
	}
	return mode, s.live, s.interrupt
}

func (f *fault) modeOf(reader string) Mode {
	if mode, ok := f.byReader[reader]; ok {
		return mode
	}
	return f.mode
}

func closeWithoutAnswer(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

// query reads the index and the wait of a blocking query.
func query(r *http.Request) (uint64, time.Duration) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 || wait > maxWait {
		wait = maxWait
	}
	return index, wait
}

// answered reports whether the answer may still go out: a call that waited while the service went down gets none.
func (s *Server) answered(w http.ResponseWriter, r *http.Request, part Part) bool {
	if r.Context().Err() != nil {
		return false
	}
	reader, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	mode := s.faults[part].modeOf(reader)
	s.mu.Unlock()
	if mode == ModeDown || mode == ModeHang {
		closeWithoutAnswer(w)
		return false
	}
	return true
}

func (s *Server) getKV(w http.ResponseWriter, r *http.Request) {
	from, interrupt := s.admit(w, r, PartRules)
	if from == nil {
		return
	}
	key := r.PathValue("key")
	index, wait := query(r)
	v := from.await(r.Context(), interrupt, key, index, wait)
	if !s.answered(w, r, PartRules) {
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(max(v.index, 1), 10))
	if v.index == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []map[string]any{{
		"Key": key, "Value": v.data, "ModifyIndex": v.index, "CreateIndex": 1, "Flags": 0, "LockIndex": 0,
	}})
}

func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	from, interrupt := s.admit(w, r, PartVMs)
	if from == nil {
		return
	}
	domain := r.URL.Query().Get("domain")
	index, wait := query(r)
	v := from.await(r.Context(), interrupt, vmsKey+domain, index, wait)
	if !s.answered(w, r, PartVMs) {
		return
	}
	list := VMList{Index: v.index, VMs: []VM{}}
	if v.index > 0 {
		_ = json.Unmarshal(v.data, &list.VMs)
	}
	writeJSON(w, list)
}

func (s *Server) putKV(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || len(body) > maxKVBytes {
		http.Error(w, "value over 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	writeJSON(w, map[string]uint64{"index": s.live.put(r.PathValue("key"), body)})
}

// putVMs replaces the whole list. The list of a domain gets a new index only when it changed.
func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lists := make(map[string][]VM)
	for _, domain := range s.live.domains() {
		lists[domain] = nil
	}
	lists[""] = vms
	for _, vm := range vms {
		lists[vm.FailureDomain] = append(lists[vm.FailureDomain], vm)
	}
	for domain, list := range lists {
		text, _ := json.Marshal(list)
		old, _ := s.live.get(vmsKey + domain)
		if string(old.data) != string(text) {
			s.live.put(vmsKey+domain, text)
		}
	}
	writeJSON(w, map[string]int{"vms": len(vms)})
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var command Fault
	err := json.NewDecoder(r.Body).Decode(&command)
	f := s.faults[command.Part]
	if err != nil || f == nil || !strings.Contains("up down hang stale", string(command.Mode)) {
		http.Error(w, "want part rules or vms and mode up, down, hang or stale", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if command.Mode == ModeStale {
		f.frozen = s.live.copy()
	}
	if len(command.Readers) == 0 {
		f.mode = command.Mode
		f.byReader = make(map[string]Mode)
	}
	for _, reader := range command.Readers {
		f.byReader[reader] = command.Mode
	}
	close(s.interrupt)
	s.interrupt = make(chan struct{})
}

func (s *Server) getReads(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.reads)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
