package fabric

import (
	"encoding/json"
	"maps"
	"net/http"
)

// Handler returns the HTTP API that takes commands.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", take(func(c Cut) (any, error) { f.SetCut(c); return "ok", nil }))
	mux.HandleFunc("POST /silence", take(func(c Silence) (any, error) { return f.Silence(c), nil }))
	mux.HandleFunc("POST /loss", take(func(c Loss) (any, error) { f.SetLoss(c); return "ok", nil }))
	mux.HandleFunc("POST /vm", take(func(vm VM) (any, error) { return "ok", f.AddVM(vm) }))
	mux.HandleFunc("DELETE /vm/{name}", func(_ http.ResponseWriter, r *http.Request) { f.RemoveVM(r.PathValue("name")) })
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.Counters()) })
	return mux
}

func take[T any](do func(T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var command T
		if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := do(command)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_ = json.NewEncoder(w).Encode(result)
	}
}

// Loss is a command: the share of UDP packets from A to B that vanish. "*" and "*" stand for all paths.
type Loss struct {
	A     string  `json:"a"`
	B     string  `json:"b"`
	Share float64 `json:"share"`
}

// SetLoss sets the loss of a path.
func (f *Fabric) SetLoss(c Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss[[2]string{c.A, c.B}] = c.Share
}

// Counters returns what the fabric counted.
func (f *Fabric) Counters() Counters {
	f.mu.RLock()
	defer f.mu.RUnlock()
	c := f.counters
	c.Into = maps.Clone(f.counters.Into)
	c.Control = maps.Clone(f.counters.Control)
	return c
}
