package packetstatus

// Explanation describes what a balancer would do with a flow now, and the figures that it would decide by.
type Explanation struct {
	Balancer  string `json:"vm"`
	Domain    string `json:"failure_domain"`
	Version   int64  `json:"version"`     // version of the configuration in force
	Revision  uint64 `json:"revision"`    // revision of the store that the view reflects
	StoreEra  uint16 `json:"store_era"`   // era of that revision; 0: the store names none
	ViewAgeMS int64  `json:"view_age_ms"` // time since the store confirmed that the view is current

	Route       string          `json:"route"` // empty: the configuration has none for the address
	Service     string          `json:"service"`
	HashPoint   uint64          `json:"hash_point"` // point of the flow's hash among the weights of the choices
	Choices     []ServiceChoice `json:"choices,omitempty"`
	Admission   *Admission      `json:"admission,omitempty"`
	KnownTarget string          `json:"known"`   // ID of the flow's target in the flow table, or empty
	Opening     bool            `json:"opening"` // the flow is in the flow table, and only SYNs of it were received
	Choice      string          `json:"choice"`  // ID of the target to which a new flow would be offered first, or empty
	Outcome     Outcome         `json:"outcome,omitempty"`
	Candidates  []Candidate     `json:"order"` // order of preference for a new flow, and of the search for an open one
}

// Outcome is what a balancer does with the first SYN of a new flow.
type Outcome string

// Outcomes.
const (
	OutcomeOffer  Outcome = "offer"  // to a target that has a free slot, as far as is known
	OutcomeDirect Outcome = "direct" // to the target with the shortest wait, which may queue the flow: the service is full
	OutcomeWait   Outcome = "wait"   // to the least busy target, which may queue the flow: none is left to be asked first
	OutcomeReset  Outcome = "reset"  // no target may get the flow
	OutcomeDrop   Outcome = "drop"   // as above, but the view is too old to be certain
)

// ServiceChoice is a service of a route. It gets the flows whose point is at or above From and below To.
type ServiceChoice struct {
	Service string `json:"service"`
	From    uint64 `json:"from"`
	To      uint64 `json:"to"`
}

// Admission is what a balancer knows about the overload of a service for the flows of a route.
type Admission struct {
	Priority    int    `json:"priority"` // 0 is the highest
	ObjectiveMS int64  `json:"objective_ms"`
	Unknown     string `json:"unknown,omitempty"` // why the balancer assumes no overload, or empty
	Said        int    `json:"said"`              // eligible targets that said recently that they are overloaded
	Full        int    `json:"full"`              // those that said recently that they have no free slots and a queue
	Eligible    int    `json:"eligible"`          // targets that may get new flows
	Direct      bool   `json:"direct"`            // new flows are offered directly to targets that may queue them
	Overloaded  bool   `json:"overloaded"`        // flows that these targets refuse because of overload are reset at once
	ForMS       int64  `json:"for_ms"`            // of Overloaded: how long the balancer has known it
	ShortageMS  int64  `json:"shortage_ms"`       // time for which such flows have found no room; 0: they find room
	Lasting     bool   `json:"lasting"`           // this time is so long that flows without room are reset at each SYN
}

// Candidate is a target that an explanation lists.
type Candidate struct {
	Target
	PassedOver  bool     `json:"passed_over"`       // it is offered no flow now, whatever its cost
	ReportAgeMS *int64   `json:"report_age_ms"`     // time since the last report of its agent; nil: there was none
	WaitMS      *int64   `json:"wait_ms,omitempty"` // recently reported wait of a new request; nil: none was, or overload is not shed
	ColdForMS   int64    `json:"cold_for_ms,omitempty"`
	ColdRate    float64  `json:"cold_rate,omitempty"` // new flows a second that a cold target accepts
	Cost        *float64 `json:"cost,omitempty"`      // nil: the target belongs to another service than the flow
	Parts       []Part   `json:"parts,omitempty"`     // their values add up to the cost
}

// Part is a part of the cost of a target.
type Part struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Detail string  `json:"detail,omitempty"`
}
