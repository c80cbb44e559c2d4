// Package platform is a stand-in for the platform's configuration service and VM list. It implements the key-value part
// of Consul's HTTP API, including blocking queries, and provides a control API for writing values and injecting faults.
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

// Mode is the behavior of the service towards a reader.
type Mode string

// Modes of the service.
const (
	ModeUp    Mode = "up"
	ModeDown  Mode = "down"  // connections are closed without a response
	ModeHang  Mode = "hang"  // requests are held, and closed without a response when the next fault is set
	ModeStale Mode = "stale" // responses contain the values from when the mode was set
)

// Part is the part of the platform to which a fault applies.
type Part string

// Parts of the platform.
const (
	PartRules Part = "rules" // the configuration service
	PartVMs   Part = "vms"   // the VM list
)

// Fault is a command of the control API that sets the mode of a part. If Readers is empty, it applies to all readers
// and replaces their individual modes.
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

// VMList is the response to a query of the VM list.
type VMList struct {
	Index uint64 `json:"index"`
	VMs   []VM   `json:"vms"`
}

// Reads counts the read requests received, including those that are waiting and those that got no response because of a
// fault.
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

// Server is the stand-in for the platform. It implements http.Handler.
type Server struct {
	mux  *http.ServeMux
	live *store

	mu        sync.Mutex
	faults    map[Part]*fault
	interrupt chan struct{} // closed and replaced when a fault is set, to wake waiting requests
	reads     Reads
}

// fault is the mode of one part, with the modes of individual readers, which take precedence.
type fault struct {
	mode     Mode
	byReader map[string]Mode
	frozen   *store // copy that is served in ModeStale
}

// New returns a server without values and without faults.
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

// ServeHTTP serves the read API and the control API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// admit counts a read and returns the store to serve it from and a channel that is closed when a fault is set. It
// returns nil if the fault in force has closed the connection.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, part Part) (*store, <-chan struct{}) {
	mode, from, interrupt := s.modeFor(r, part)
	switch mode {
	case ModeDown:
		closeWithoutResponse(w)
		return nil, nil
	case ModeHang:
		select {
		case <-r.Context().Done():
		case <-interrupt:
		}
		closeWithoutResponse(w)
		return nil, nil
	default:
		return from, interrupt
	}
}

// modeFor counts a read and returns the mode for its reader, the store to serve it from and the interrupt channel.
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

func closeWithoutResponse(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

// parseBlockingQuery returns the index and the wait time of a blocking query. A wait time that is missing, invalid or
// above maxWait becomes maxWait.
func parseBlockingQuery(r *http.Request) (uint64, time.Duration) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 || wait > maxWait {
		wait = maxWait
	}
	return index, wait
}

// canRespond reports whether a response may be sent after the wait of a blocking query. It returns false if the request
// has been canceled. If the mode has become down or hang, it also closes the connection without a response.
func (s *Server) canRespond(w http.ResponseWriter, r *http.Request, part Part) bool {
	if r.Context().Err() != nil {
		return false
	}
	reader, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	mode := s.faults[part].modeOf(reader)
	s.mu.Unlock()
	if mode == ModeDown || mode == ModeHang {
		closeWithoutResponse(w)
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
	index, wait := parseBlockingQuery(r)
	v := from.await(r.Context(), interrupt, key, index, wait)
	if !s.canRespond(w, r, PartRules) {
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
	index, wait := parseBlockingQuery(r)
	v := from.await(r.Context(), interrupt, vmsKey+domain, index, wait)
	if !s.canRespond(w, r, PartVMs) {
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

// putVMs replaces the whole VM list. The list of a failure domain gets a new index only if its content has changed.
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
