// Package packetstatus holds what the processes of the packet path tell operators, as JSON over HTTP.
package packetstatus

import "github.com/cowslipward/cowslipward/burn"

// Paths of the administration interface, on the metrics address of a process.
const (
	StatusPath  = "/status"
	ExplainPath = "/explain" // query: caller and service, each IP:port
	FlowsPath   = "/flows"   // of an agent
	// OutcomesPath tells the outcomes of requests by service, as far as the process sees them.
	OutcomesPath = "/outcomes"
)

// Balancer is the state of a balancer.
type Balancer struct {
	VM         string   `json:"vm"`
	Domain     string   `json:"failure_domain"`
	Ready      bool     `json:"ready"`
	Version    int64    `json:"version"`     // of the configuration in force
	Revision   uint64   `json:"revision"`    // of the store that the view reflects
	ViewAgeMS  int64    `json:"view_age_ms"` // since the store confirmed the view
	Reading    bool     `json:"reading"`     // it reads the store for its peers
	Peers      int      `json:"peers"`
	Flows      int      `json:"flows"` // in the table
	OutDomains []string `json:"out"`   // failure domains out of service
	Targets    []Target `json:"targets"`
}

// Target is a target as a balancer sees it.
type Target struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Domain   string  `json:"failure_domain"`
	State    string  `json:"state"`
	Slots    int     `json:"slots"`
	Work     float64 `json:"work"`     // estimated share of the slots in use; above 1 with penalties for silence
	Eligible bool    `json:"eligible"` // for new flows
	Reason   string  `json:"reason"`   // why not, or empty
}

// Explanation says where a flow would go.
type Explanation struct {
	Route       string   `json:"route"`
	Service     string   `json:"service"`
	KnownTarget string   `json:"known"`  // target in the flow table, or empty
	Choice      string   `json:"choice"` // target to which a new flow would be offered first, or empty
	Candidates  []Target `json:"order"`  // in which targets are offered a new flow and searched for an open one
}

// Agent is the state of an agent and its target.
type Agent struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Target  string `json:"target"`
	Load    int    `json:"load"` // requests in progress, accepted flows without a request included
	Slots   int    `json:"slots"`
	Waiting int    `json:"waiting"` // new flows and requests that wait for a slot
	Failing int    `json:"failing"` // percent of the target's requests that failed lately
	Silent  bool   `json:"silent"`
	Down    bool   `json:"down"`  // a probe showed that the target does not run
	Flows   []Flow `json:"flows"` // at most MaxFlows
}

// MaxFlows bounds the flows that an agent lists.
const MaxFlows = 2000

// Flow is a flow at a target.
type Flow struct {
	Flow  string `json:"flow"`
	State string `json:"state"`  // working, opening, idle, waiting or unsure
	AgeMS int64  `json:"age_ms"` // of the request, the offer or the wait
}

// Outcomes are the outcomes of the requests of one service at one process. An agent counts answers: a good one is no
// server error and begins within the latency objective. A balancer counts refusals.
type Outcomes struct {
	Service string       `json:"service"`
	Summary burn.Summary `json:"summary"`
}
