// Package packetstatus defines the status that the processes of the packet path report to operators as JSON over
// HTTP.
package packetstatus

import "github.com/cowslipward/cowslipward/burn"

// Paths of the administration interface, on the metrics address of a process.
const (
	StatusPath  = "/status"
	ExplainPath = "/explain" // query parameters: caller and service, each IP:port
	FlowsPath   = "/flows"   // agents only
	// OutcomesPath reports the outcomes of requests that the process has seen, by service.
	OutcomesPath = "/outcomes"
)

// Balancer is the status of a balancer.
type Balancer struct {
	VM         string    `json:"vm"`
	Domain     string    `json:"failure_domain"`
	Ready      bool      `json:"ready"`
	Version    int64     `json:"version"`     // version of the configuration in force
	Revision   uint64    `json:"revision"`    // revision of the store that the view reflects
	StoreEra   uint16    `json:"store_era"`   // era of that revision; 0: the store names none
	ViewAgeMS  int64     `json:"view_age_ms"` // time since the store confirmed that the view is current
	Reading    bool      `json:"reading"`     // this balancer reads the store on behalf of its peers
	Peers      int       `json:"peers"`
	Flows      int       `json:"flows"` // entries of the flow table
	OutDomains []string  `json:"out"`   // failure domains out of service
	Targets    []Target  `json:"targets"`
	Refused    []Refused `json:"refused"` // entries of the store that are not used
	// Overloaded lists the services of which this balancer refuses new flows at once, if load control is on.
	Overloaded []Overload `json:"overloaded,omitempty"`
}

// Overload is a service that is overloaded, as far as a balancer knows, for new flows of a priority.
type Overload struct {
	Service  string `json:"service"`
	Priority int    `json:"priority"` // 0 is the highest
	Said     int    `json:"said"`     // targets that said that they are overloaded
	Eligible int    `json:"eligible"` // targets that may get new flows
	ForMS    int64  `json:"for_ms"`   // how long the balancer has known it
}

// Refused is an entry of the store that is not used.
type Refused struct {
	Kind     string `json:"kind"` // config, target or domain_out
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`  // of the store, at which it was first refused
	StoreEra uint16 `json:"store_era"` // of that revision
	Reason   string `json:"reason"`
	Detail   string `json:"detail"`
}

// Target is the status of a target in the view of a balancer.
type Target struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Domain   string  `json:"failure_domain"`
	State    string  `json:"state"`
	Slots    int     `json:"slots"`
	Work     float64 `json:"work"`     // estimated share of the slots in use; above 1 with penalties, such as for a silent target
	Eligible bool    `json:"eligible"` // the target may get new flows
	Reason   string  `json:"reason"`   // why it gets no new flows or fewer than others, or empty

	// Learned capacity; zero if it is not learned.
	Speed      float64 `json:"speed,omitempty"`       // relative to the median of its service
	Limit      int     `json:"limit,omitempty"`       // requests in progress that it handles well, at most its slots
	DurationMS float64 `json:"duration_ms,omitempty"` // longest of the mean times in which it answers the requests of a route
}

// Agent is the status of an agent and its target.
type Agent struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Target  string `json:"target"`
	Load    int    `json:"load"` // requests in progress and accepted flows whose first request has not arrived
	Slots   int    `json:"slots"`
	Waiting int    `json:"waiting"` // new flows and requests that wait for a slot
	Failing int    `json:"failing"` // percentage of the target's recent requests that failed
	Silent  bool   `json:"silent"`  // the target leaves packets unanswered
	Down    bool   `json:"down"`    // a probe showed that the target does not run
	Flows   []Flow `json:"flows"`   // at most MaxFlows

	// Learned capacity; zero if it is not learned or too little is known.
	Limit      int     `json:"limit,omitempty"`       // requests in progress that the target handles well
	DurationMS float64 `json:"duration_ms,omitempty"` // longest of the mean times in which it answers the requests of a route
}

// MaxFlows bounds the flows that an agent reports.
const MaxFlows = 2000

// Flow is the status of a flow at a target.
type Flow struct {
	Flow  string `json:"flow"`
	State string `json:"state"`  // working, opening, idle, waiting or unsure
	AgeMS int64  `json:"age_ms"` // since the request, the offer or the wait began
}

// Outcomes holds the outcomes of the requests of one service at one process. An agent counts responses: one is
// good if it is no server error and begins within the latency objective. A balancer counts refusals.
type Outcomes struct {
	Service string       `json:"service"`
	Summary burn.Summary `json:"summary"`
}
