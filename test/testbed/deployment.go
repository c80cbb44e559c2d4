// Package testbed starts the processes of a deployment on loopback addresses, for scenarios, the demo and experiments.
package testbed

import (
	"fmt"
	"strings"
	"time"
)

// Service is a service of a deployment.
type Service struct {
	Name        string
	ID          int
	Port        int
	Hosts       int
	Slots       int
	Connections int
}

// Deployment describes a customer's fleet at the sizes of the design page.
type Deployment struct {
	Name      string
	Domains   []string
	Between   time.Duration // one-way delay between failure domains
	Callers   time.Duration // one-way delay to callers
	Services  []Service
	Balancers int
}

// Ballyrath is the deployment of Ballyrath Scroll Works.
func Ballyrath() Deployment {
	return Deployment{
		Name:    "ballyrath",
		Domains: []string{"leinster-a", "leinster-b", "leinster-c"},
		Between: 1500 * time.Microsecond, Callers: time.Millisecond,
		Services: []Service{
			{Name: "bench", ID: 1, Port: 7001, Hosts: 7, Slots: 9, Connections: 2000},
			{Name: "archive", ID: 2, Port: 7002, Hosts: 3, Slots: 9, Connections: 2000},
		},
		Balancers: 3,
	}
}

// Guild is the deployment of the Georgia Guild of Hand Cast Kit Makers.
func Guild() Deployment {
	return Deployment{
		Name:    "guild",
		Domains: []string{"atl-a", "atl-b", "atl-c"},
		Between: time.Millisecond, Callers: time.Millisecond,
		Services: []Service{
			{Name: "members", ID: 1, Port: 7001, Hosts: 7, Slots: 7, Connections: 2000},
			{Name: "guides", ID: 2, Port: 7002, Hosts: 3, Slots: 7, Connections: 2000},
		},
		Balancers: 3,
	}
}

// ByName returns the deployment with the name.
func ByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Ballyrath(), Guild()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, fmt.Errorf("deployment %q: want ballyrath or guild", name)
}

// rules returns the rule file of the deployment without drains and outs.
func (d Deployment) rules(address string) []string {
	var lines []string
	region, _, _ := strings.Cut(d.Domains[0], "-")
	for i, name := range d.Domains {
		lines = append(lines, fmt.Sprintf("domain %s id=%d region=%s # asked by Aoife, platform", name, i+1, region))
	}
	for _, s := range d.Services {
		lines = append(lines, fmt.Sprintf("service %s id=%d address=%s:%d pool=%s-* slots=%d connections=%d deadline=10s "+
			"queue=200ms repeatable=GET,HEAD objective=99.9 # asked by Maire, studio",
			s.Name, s.ID, address, s.Port, s.Name, s.Slots, s.Connections))
	}
	return lines
}
