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

// maxRequestBytes limits the size of a request. A rule file has at most 1 MB, and JSON may escape each of its bytes.
const maxRequestBytes = 8 << 20

// Config holds the identity of the process and the sources of the data that the API serves.
type Config struct {
	Self        fleet.VM
	Incarnation uint16
	Started     time.Time
	Source      fleet.Source
	Ready       func() (bool, string)                // optional
	Load        func() admission.Snapshot            // load of the agent's own target; nil on a balancer
	PeerLoads   func() map[string]admission.Snapshot // loads of other targets that an agent has received, by VM; optional
	// RefusedEntries returns the entries of the VM list that the process does not use, each with the reason; optional.
	RefusedEntries func() []string
	Burn           *burn.Recorder[rules.ServiceID] // nil on a balancer
	Context        context.Context                 // stops the watch for new revisions; nil for the life of the process
}

// NewHandler returns the path and the handler to mount on the admin listener.
func NewHandler(config Config) (string, http.Handler) {
	ctx := config.Context
	if ctx == nil {
		ctx = context.Background()
	}
	s := &service{config: config}
	s.revision.observe(config.Source.View().Rules().Revision, time.Now())
	go s.revision.watch(ctx, config.Source)
	return adminv1connect.NewAdminServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
}

// service implements AdminService.
type service struct {
	config   Config
	revision revisionClock
}

// revisionClock records since when the current revision has been in force in this process.
type revisionClock struct {
	mu       sync.Mutex
	revision rules.Revision
	since    time.Time
}

// observe records the revision if it is new, and returns the time at which it was first observed.
func (c *revisionClock) observe(revision rules.Revision, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() || revision != c.revision {
		c.revision = revision
		c.since = now
	}
	return c.since
}

// watch records each revision when it comes into force, until ctx is canceled.
func (c *revisionClock) watch(ctx context.Context, source fleet.Source) {
	for {
		changed := source.Changed()
		c.observe(source.View().Rules().Revision, time.Now())
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
	response := &adminv1.StatusResponse{
		Vm:                  s.config.Self.Name,
		FailureDomain:       s.config.Self.FailureDomain,
		Role:                s.config.Self.Role.String(),
		Incarnation:         uint32(s.config.Incarnation),
		StartedUnixMs:       s.config.Started.UnixMilli(),
		Revision:            uint64(set.Revision),
		RevisionSinceUnixMs: s.revision.observe(set.Revision, time.Now()).UnixMilli(),
		RulesHash:           rules.HashText(set.Text),
		Confirmed:           s.config.Source.Confirmed(),
		Ready:               true,
	}
	if s.config.Self.Role == fleet.RoleTarget {
		if svc := set.ServiceOfVM(s.config.Self.Name); svc != nil {
			response.Service = svc.Name
		}
	}
	if s.config.Ready != nil {
		response.Ready, response.ReadyReason = s.config.Ready()
	}
	if s.config.RefusedEntries != nil {
		response.RefusedEntries = s.config.RefusedEntries()
	}
	if s.config.Load != nil {
		response.Load = loadOf(s.config.Load())
	}
	return connect.NewResponse(response), nil
}

func loadOf(snapshot admission.Snapshot) *adminv1.Load {
	return &adminv1.Load{
		Slots:           uint32(snapshot.Slots),
		Limit:           uint32(snapshot.Limit),
		InProgress:      uint32(snapshot.InProgress),
		Queued:          uint32(snapshot.Queued),
		Connections:     uint32(snapshot.Connections),
		MostConnections: uint32(snapshot.MaxConnections),
		Reason:          snapshot.Reason,
		ServiceTimeMs:   float64(snapshot.ServiceTime) / float64(time.Millisecond),
	}
}

// Targets implements AdminService.
func (s *service) Targets(_ context.Context, r *connect.Request[adminv1.TargetsRequest]) (*connect.Response[adminv1.TargetsResponse], error) {
	view := s.config.Source.View()
	set := view.Rules()
	response := &adminv1.TargetsResponse{Revision: uint64(set.Revision)}
	services, err := selectServices(set, r.Msg.Service)
	if err != nil {
		return nil, err
	}
	loads := s.loads()
	for _, svc := range services {
		for i := range view.Targets(svc.ID) {
			response.Targets = append(response.Targets, targetOf(&view.Targets(svc.ID)[i], svc.Name, loads))
		}
	}
	if r.Msg.Service == "" {
		response.Balancers = balancersOf(view)
	}
	return connect.NewResponse(response), nil
}

// loads returns the known load of the targets, by VM.
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

// selectServices returns the service with the given name or address, or all services if the name is empty.
func selectServices(set *rules.Set, name string) ([]*rules.Service, error) {
	var selected []*rules.Service
	for i := range set.Services {
		svc := &set.Services[i]
		if name == "" || svc.Name == name || svc.Address.String() == name {
			selected = append(selected, svc)
		}
	}
	if name != "" && len(selected) == 0 {
		return nil, connect.NewError(connect.CodeNotFound, &unknownService{name: name, set: set})
	}
	return selected, nil
}

// unknownService is the error for a service that is not in the rules. It lists the services that are.
type unknownService struct {
	name string
	set  *rules.Set
}

// Error returns the message on one line.
func (e *unknownService) Error() string {
	names := make([]string, 0, len(e.set.Services))
	for i := range e.set.Services {
		names = append(names, e.set.Services[i].Name)
	}
	slices.Sort(names)
	return "no service " + e.name + " in the rules in force, want one of " + strings.Join(names, ", ")
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
