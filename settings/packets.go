package settings

import (
	_ "embed"
	"net/netip"
	"time"

	"github.com/cowslipward/cowslipward/loadcontrol"
)

// DefaultSettingsVariable is the environment variable that holds the path of the settings file if no flag is given.
const DefaultSettingsVariable = "COWSLIPWARD_SETTINGS"

// PacketCommon holds the settings that the balancer and the agent of the packet path share.
type PacketCommon struct {
	VM            string               `json:"vm"`
	FailureDomain string               `json:"failure_domain"`
	Ready         netip.AddrPort       `json:"ready"`      // TCP, readiness
	Metrics       netip.AddrPort       `json:"metrics"`    // TCP, metrics and administration
	Tunnel        netip.AddrPort       `json:"tunnel"`     // UDP, packets between balancers and agents
	StopDelay     Duration             `json:"stop_delay"` // time from readiness turning false to the stop of the process
	Log           PacketLog            `json:"log"`
	LoadControl   loadcontrol.Settings `json:"load_control"`
}

// PacketLog holds the settings of the log.
type PacketLog struct {
	Level string  `json:"level"`
	Rate  float64 `json:"rate"` // lines per second about single flows; further lines are only counted
}

// PacketBalancer holds the settings of the balancer of the packet path.
type PacketBalancer struct {
	PacketCommon
	Packets          netip.AddrPort   `json:"packets"`          // UDP, packets from callers
	Peers            netip.AddrPort   `json:"peers"`            // UDP and TCP, other balancers
	Seeds            []netip.AddrPort `json:"seeds"`            // peers addresses of balancers to contact first
	Store            netip.AddrPort   `json:"store"`            // the platform's store
	DomainOutTimeout Duration         `json:"domain_out"`       // a domain that is out gets no packets after this time
	DomainOutFlows   string           `json:"domain_out_flows"` // handling of open flows in a domain that is out
}

// PacketAgent holds the settings of the agent of the packet path.
type PacketAgent struct {
	PacketCommon
	Service  string         `json:"service"`  // service of the target on this VM
	Target   netip.AddrPort `json:"target"`   // UDP, where the target receives packets
	Outbound netip.AddrPort `json:"outbound"` // UDP, where the target sends its packets
	Packets  netip.AddrPort `json:"packets"`  // UDP; only its port is used, on which callers receive packets
	// ResetEndedFlows makes the agent reset the flows of its target when it learns that the target has lost them.
	ResetEndedFlows bool `json:"reset_ended_flows"`
	// FlowTTLSeconds is the age from which targets may discard a flow. Younger flows show whether a target was restarted.
	FlowTTLSeconds float64 `json:"flow_ttl_s"`
}

// FlowTTL returns the age from which targets may discard a flow.
func (s *PacketAgent) FlowTTL() time.Duration {
	return time.Duration(s.FlowTTLSeconds * float64(time.Second))
}

// Defaults of the packet path.
const (
	DefaultStopDelay        = 2 * time.Second
	DefaultDomainOutTimeout = 5 * time.Second
	DefaultPacketLogRate    = 50
	DefaultFlowTTLSeconds   = 60
	maxFlowTTLSeconds       = 24 * 60 * 60
)

// Values of domain_out_flows.
const (
	DomainOutFlowsDrop = "drop" // open flows receive no packets once domain_out has passed
	DomainOutFlowsKeep = "keep" // open flows continue until they end; only new flows avoid the failure domain
)

func packetDefaults() PacketCommon {
	return PacketCommon{
		StopDelay:   Duration(DefaultStopDelay),
		Log:         PacketLog{Level: "info", Rate: DefaultPacketLogRate},
		LoadControl: loadControlDefaults(),
	}
}

func (s *PacketCommon) validate(c *checker) {
	c.require(s.VM != "", "vm", "the name of this VM")
	c.require(s.FailureDomain != "", "failure_domain", "the name of this VM's failure domain")
	c.require(isAddress(s.Ready), "ready", wantAddress)
	c.require(isAddress(s.Metrics), "metrics", wantAddress)
	c.require(isAddress(s.Tunnel), "tunnel", wantAddress)
	c.require(isOneOf(s.Log.Level, "debug", "info", "warn", "error"), "log.level", "debug, info, warn or error")
	c.require(s.Log.Rate > 0, "log.rate", "lines per second, above 0")
	validateLoadControl(&s.LoadControl, c)
}

// LoadPacketBalancer reads and validates the settings of a balancer of the packet path.
func LoadPacketBalancer(path string) (*PacketBalancer, error) {
	s := &PacketBalancer{
		PacketCommon:     packetDefaults(),
		DomainOutTimeout: Duration(DefaultDomainOutTimeout),
		DomainOutFlows:   DomainOutFlowsDrop,
	}
	document, err := read(path, s)
	if err != nil {
		return nil, err
	}
	c := &checker{}
	s.validate(c)
	c.require(isAddress(s.Packets), "packets", wantAddress)
	c.require(isAddress(s.Peers), "peers", wantAddress)
	c.require(isAddress(s.Store), "store", wantAddress)
	c.require(isOneOf(s.DomainOutFlows, DomainOutFlowsDrop, DomainOutFlowsKeep), "domain_out_flows", "drop or keep")
	return s, document.finish(c)
}

// LoadPacketAgent reads and validates the settings of an agent of the packet path.
func LoadPacketAgent(path string) (*PacketAgent, error) {
	s := &PacketAgent{PacketCommon: packetDefaults(), FlowTTLSeconds: DefaultFlowTTLSeconds}
	document, err := read(path, s)
	if err != nil {
		return nil, err
	}
	c := &checker{}
	s.validate(c)
	c.require(s.Service != "", "service", "the service of the target on this VM")
	c.require(isAddress(s.Target), "target", wantAddress)
	c.require(isAddress(s.Outbound), "outbound", wantAddress)
	c.require(isAddress(s.Packets), "packets", wantAddress)
	isTTL := s.FlowTTLSeconds >= 0 && s.FlowTTLSeconds <= maxFlowTTLSeconds
	c.require(isTTL, "flow_ttl_s", "seconds, 0 to 86400; 0: targets may discard flows at any age")
	return s, document.finish(c)
}

// Complete example settings with comments, one per role.
var (
	//go:embed packet-balancer.example.json
	PacketBalancerExample string
	//go:embed packet-agent.example.json
	PacketAgentExample string
)
