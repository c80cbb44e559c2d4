package settings

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// Duration is a duration that is written in settings as a string with a unit, such as "5s".
type Duration time.Duration

// UnmarshalJSON parses a JSON string such as "5s". Negative durations are invalid.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var value string
	if err := json.Unmarshal(text, &value); err != nil {
		return fmt.Errorf("found %s, want a duration in quotes with a unit, such as \"5s\"", text)
	}
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < 0 {
		return fmt.Errorf("found %q, want a duration with a unit, such as \"5s\"", value)
	}
	*d = Duration(parsed)
	return nil
}

// Defaults of the programs.
const (
	DefaultShutdownDelay = 5 * time.Second
	DefaultDrainPeriod   = 10 * time.Minute
)

// Balancer holds the settings of cowslip-balancer.
type Balancer struct {
	Common
	ServiceHost   netip.Addr `json:"service_host"`   // optional, bound instead of the service's IP with the same port
	ShutdownDelay Duration   `json:"shutdown_delay"` // how long forwarding continues after readiness turns false
}

// LoadBalancer reads and validates the settings of a balancer.
func LoadBalancer(path string) (*Balancer, error) {
	s := &Balancer{ShutdownDelay: Duration(DefaultShutdownDelay)}
	document, err := read(path, s)
	if err != nil {
		return nil, err
	}
	c := &checker{}
	s.setDefaultsAndValidate(c)
	c.require(!s.ServiceHost.IsValid() || s.ServiceHost.Is4(), "service_host", "an IPv4 address")
	return s, document.finish(c)
}

// TargetEndpoint holds the URL of the target and the paths that the agent polls there.
type TargetEndpoint struct {
	URL        string `json:"url"`
	HealthPath string `json:"health_path"`
	LoadPath   string `json:"load_path"`
}

// Agent holds the settings of cowslip-agent.
type Agent struct {
	Common
	Target      TargetEndpoint `json:"target"`
	DrainPeriod Duration       `json:"drain_period"` // how long open streams may continue after draining starts
	ReplyDirect bool           `json:"reply_direct"` // VM owns the service's address and responds to callers itself
}

// LoadAgent reads and validates the settings of an agent.
func LoadAgent(path string) (*Agent, error) {
	s := &Agent{DrainPeriod: Duration(DefaultDrainPeriod)}
	document, err := read(path, s)
	if err != nil {
		return nil, err
	}
	if s.Target.HealthPath == "" {
		s.Target.HealthPath = "/healthz"
	}
	if s.Target.LoadPath == "" {
		s.Target.LoadPath = "/load"
	}
	c := &checker{}
	s.setDefaultsAndValidate(c)
	c.require(isURL(s.Target.URL), "target.url", wantURL)
	return s, document.finish(c)
}

// Complete example settings with comments, one per program.
var (
	//go:embed balancer.example.json
	BalancerExample string
	//go:embed agent.example.json
	AgentExample string
)
