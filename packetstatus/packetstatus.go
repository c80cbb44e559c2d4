// Package packetstatus holds what the processes of the packet path tell operators, as JSON over HTTP.
package packetstatus

// Paths of the administration interface, on the metrics address of a process.
const (
	StatusPath  = "/status"
	ExplainPath = "/explain" // query: caller and service, each IP:port
)

// Balancer is the state of a balancer.
type Balancer struct {
	VM        string   `json:"vm"`
	Domain    string   `json:"failure_domain"`
	Ready     bool     `json:"ready"`
	Version   int64    `json:"version"`     // of the configuration in force
	Revision  uint64   `json:"revision"`    // of the store that the view reflects
	ViewAgeMS int64    `json:"view_age_ms"` // since the store confirmed the view
	Reading   bool     `json:"reading"`     // it reads the store for its peers
	Peers     int      `json:"peers"`
	Flows     int      `json:"flows"` // in the table
	Out       []string `json:"out"`   // failure domains out of service
	Targets   []Target `json:"targets"`
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
	Route   string   `json:"route"`
	Service string   `json:"service"`
	Known   string   `json:"known"`  // target in the flow table, or empty
	Choice  string   `json:"choice"` // target to which a new flow would be offered first, or empty
	Order   []Target `json:"order"`  // in which targets are offered a new flow and searched for an open one
}
