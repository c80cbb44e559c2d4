// Package admin serves the administration API of a process. It is read-only: the rule file is the only way to control
// the system.
package admin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/admission"
	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/fleet"
	adminv1 "github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1"
	"github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1/adminv1connect"
	"github.com/cowslipward/cowslipward/rules"
)

// maxRequestBytes bounds a request; a rule file has at most 1 MB, and JSON may escape each byte.
const maxRequestBytes = 8 << 20

// Config says what the API shows.
type Config struct {
	Self        fleet.VM
	Incarnation uint16
	Started     time.Time
	Source      fleet.Source
	Ready       func() (bool, string)                // optional
	Load        func() admission.Snapshot            // of the target beside an agent; nil at a balancer
	PeerLoads   func() map[string]admission.Snapshot // by VM, what an agent heard of others; optional
	Burn        *burn.Recorder[rules.ServiceID]      // nil at a balancer
	Context     context.Context                      // ends the watch of revisions; nil for the life of the process
}

// NewHandler returns the path and the handler for the admin listener.
func NewHandler(config Config) (string, http.Handler) {
	ctx := config.Context
	if ctx == nil {
		ctx = context.Background()
	}
	s := &service{config: config}
	s.revision.note(config.Source.View().Rules().Revision, time.Now())
	go s.revision.watch(ctx, config.Source)
	return adminv1connect.NewAdminServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
}

// service implements AdminService.
type service struct {
	config   Config
	revision revisionClock
}

// revisionClock knows since when the revision is in force at this process.
type revisionClock struct {
	mu       sync.Mutex
	revision rules.Revision
	since    time.Time
}

func (c *revisionClock) note(revision rules.Revision, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() || revision != c.revision {
		c.revision = revision
		c.since = now
	}
	return c.since
}

// watch notes each revision when it comes into force.
func (c *revisionClock) watch(ctx context.Context, source fleet.Source) {
	for {
		changed := source.Changed()
		c.note(source.View().Rules().Revision, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Status implements AdminService.
func (s *service) Status(context.Context, *connect.Request[adminv1.StatusRequest]) (*connect.Response[adminv1.StatusResponse], error) {
	set := s.config.Source.View().Rules()
	answer := &adminv1.StatusResponse{
		Vm:                  s.config.Self.Name,
		FailureDomain:       s.config.Self.FailureDomain,
		Role:                s.config.Self.Role.String(),
		Incarnation:         uint32(s.config.Incarnation),
		StartedUnixMs:       s.config.Started.UnixMilli(),
		Revision:            uint64(set.Revision),
		RevisionSinceUnixMs: s.revision.note(set.Revision, time.Now()).UnixMilli(),
		RulesHash:           rules.HashText(set.Text),
		Confirmed:           s.config.Source.Confirmed(),
		Ready:               true,
	}
	if s.config.Self.Role == fleet.RoleTarget {
		if own := set.ServiceOfVM(s.config.Self.Name); own != nil {
			answer.Service = own.Name
		}
	}
	if s.config.Ready != nil {
		answer.Ready, answer.ReadyReason = s.config.Ready()
	}
	if s.config.Load != nil {
		answer.Load = loadOf(s.config.Load())
	}
	return connect.NewResponse(answer), nil
}

func loadOf(now admission.Snapshot) *adminv1.Load {
	return &adminv1.Load{
		Slots:           uint32(now.Slots),
		Limit:           uint32(now.Limit),
		InProgress:      uint32(now.InProgress),
		Queued:          uint32(now.Queued),
		Connections:     uint32(now.Connections),
		MostConnections: uint32(now.MaxConnections),
		Reason:          now.Reason,
		ServiceTimeMs:   float64(now.ServiceTime) / float64(time.Millisecond),
	}
}

// Targets implements AdminService.
func (s *service) Targets(_ context.Context, r *connect.Request[adminv1.TargetsRequest]) (*connect.Response[adminv1.TargetsResponse], error) {
	view := s.config.Source.View()
	set := view.Rules()
	answer := &adminv1.TargetsResponse{Revision: uint64(set.Revision)}
	services, err := selectServices(set, r.Msg.Service)
	if err != nil {
		return nil, err
	}
	loads := s.loads()
	for _, one := range services {
		for i := range view.Targets(one.ID) {
			answer.Targets = append(answer.Targets, targetOf(&view.Targets(one.ID)[i], one.Name, loads))
		}
	}
	if r.Msg.Service == "" {
		answer.Balancers = balancersOf(view)
	}
	return connect.NewResponse(answer), nil
}

// loads returns what the process knows of the targets' load, by VM.
func (s *service) loads() map[string]*adminv1.Load {
	loads := make(map[string]*adminv1.Load)
	if s.config.PeerLoads != nil {
		for vm, load := range s.config.PeerLoads() {
			loads[vm] = loadOf(load)
		}
	}
	if s.config.Load != nil {
		loads[s.config.Self.Name] = loadOf(s.config.Load())
	}
	return loads
}

// selectServices returns the service with the name or address, or all.
func selectServices(set *rules.Set, name string) ([]*rules.Service, error) {
	var selected []*rules.Service
	for i := range set.Services {
		one := &set.Services[i]
		if name == "" || one.Name == name || one.Address.String() == name {
			selected = append(selected, one)
		}
	}
	if name != "" && len(selected) == 0 {
		return nil, connect.NewError(connect.CodeNotFound, &unknownService{name: name, set: set})
	}
	return selected, nil
}

// unknownService says which services there are.
type unknownService struct {
	name string
	set  *rules.Set
}

// Error returns the fault on one line.
func (u *unknownService) Error() string {
	names := make([]string, 0, len(u.set.Services))
	for i := range u.set.Services {
		names = append(names, u.set.Services[i].Name)
	}
	slices.Sort(names)
	return "no service " + u.name + " in the rules in force, want one of " + strings.Join(names, ", ")
}

func targetOf(t *fleet.Target, service string, loads map[string]*adminv1.Load) *adminv1.Target {
	return &adminv1.Target{
		Vm:            t.VM.Name,
		Service:       service,
		FailureDomain: t.VM.FailureDomain,
		State:         t.State.String(),
		Weight:        uint32(t.Weight),
		Reason:        t.Reason,
		Data:          t.VM.Data.String(),
		Control:       t.VM.Control.String(),
		Admin:         t.VM.Admin.String(),
		Incarnation:   uint32(t.Incarnation),
		Load:          loads[t.VM.Name],
	}
}

func balancersOf(view *fleet.View) []*adminv1.Balancer {
	var balancers []*adminv1.Balancer
	for _, record := range view.Balancers() {
		balancers = append(balancers, &adminv1.Balancer{
			Vm:            record.VM.Name,
			FailureDomain: record.VM.FailureDomain,
			State:         record.State.String(),
			Data:          record.VM.Data.String(),
			Control:       record.VM.Control.String(),
			Admin:         record.VM.Admin.String(),
			Revision:      uint64(record.Revision),
		})
	}
	return balancers
}
