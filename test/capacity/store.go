package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
)

// platformHandler serves the platform's protocols and the counters.
func (w *world) platformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/", w.serveRules)
	mux.HandleFunc("GET /v1/vms", w.serveList)
	mux.HandleFunc("GET /counters", func(out http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(out).Encode(w.counters.read())
	})
	return mux
}

// await holds a query with an index until the rules have a higher one.
func (w *world) await(r *http.Request, once bool) {
	w.counters.Reads.Add(1)
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	timeout := time.After(30 * time.Second)
	for index > 0 {
		set, _, changed := w.rules()
		if !once && uint64(set.Revision) > index {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (w *world) serveRules(out http.ResponseWriter, r *http.Request) {
	w.await(r, false)
	set, _, _ := w.rules()
	out.Header().Set("X-Consul-Index", strconv.FormatUint(uint64(set.Revision), 10))
	value := base64.StdEncoding.EncodeToString([]byte(set.Text))
	_ = json.NewEncoder(out).Encode([]map[string]any{{"Value": value, "ModifyIndex": set.Revision}})
}

func (w *world) serveList(out http.ResponseWriter, r *http.Request) {
	w.await(r, true)
	roles := map[fleet.Role]string{fleet.RoleBalancer: "balancer", fleet.RoleTarget: "target"}
	domain := r.URL.Query().Get("domain")
	list := []map[string]string{}
	for _, vm := range w.model.vms {
		if domain == "" || vm.FailureDomain == domain {
			list = append(list, map[string]string{
				"name": vm.Name, "failure_domain": vm.FailureDomain, "role": roles[vm.Role], "state": "live",
				"data": vm.Data.String(), "control": vm.Control.String(), "admin": vm.Admin.String(),
			})
		}
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"index": 1, "vms": list})
}
