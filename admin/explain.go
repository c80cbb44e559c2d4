package admin

import (
	"context"
	"fmt"
	"net/netip"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	adminv1 "github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1"
	"github.com/cowslipward/cowslipward/routing"
	"github.com/cowslipward/cowslipward/rules"
)

// Explain implements AdminService.
func (s *service) Explain(_ context.Context, r *connect.Request[adminv1.ExplainRequest]) (*connect.Response[adminv1.ExplainResponse], error) {
	view := s.config.Source.View()
	if r.Msg.Service == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("service: want the name or the address of a service"))
	}
	selected, err := selectServices(view.Rules(), r.Msg.Service)
	if err != nil {
		return nil, err
	}
	svc := selected[0]
	response := &adminv1.ExplainResponse{
		Revision: uint64(view.Rules().Revision),
		Service:  svc.Name,
		Address:  svc.Address.String(),
	}
	targets := view.Targets(svc.ID)
	total := totalWeight(targets)
	for i := range targets {
		response.Candidates = append(response.Candidates, candidateOf(&targets[i], total))
	}
	if err := addOrder(response, r.Msg, targets, total); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	response.Summary = summarize(response, svc)
	return connect.NewResponse(response), nil
}

func totalWeight(targets []fleet.Target) int {
	total := 0
	for i := range targets {
		total += int(targets[i].Weight)
	}
	return total
}

func candidateOf(t *fleet.Target, total int) *adminv1.Candidate {
	c := &adminv1.Candidate{
		Vm:            t.VM.Name,
		FailureDomain: t.VM.FailureDomain,
		Eligible:      t.Eligible(),
		Reason:        t.Reason,
	}
	if total > 0 {
		c.Share = float64(t.Weight) / float64(total)
	}
	return c
}

// addOrder adds the targets in the order of preference for the requested flow, ranked as balancers and agents rank
// them. It adds nothing if the request has neither caller nor connection ID.
func addOrder(response *adminv1.ExplainResponse, r *adminv1.ExplainRequest, targets []fleet.Target, total int) error {
	if r.Caller == "" && len(r.ConnectionId) == 0 {
		return nil
	}
	caller, err := netip.ParseAddrPort(r.Caller)
	if err != nil {
		return fmt.Errorf("caller: found %q, want an IP and a port, such as 192.0.2.9:50000", r.Caller)
	}
	if len(r.ConnectionId) == 0 {
		return fmt.Errorf("connection_id: want the first destination connection ID of the flow")
	}
	var order [routing.MaxRank]*fleet.Target
	n := routing.NewPool(targets).Rank(routing.Key(r.ConnectionId, caller), order[:])
	for _, t := range order[:n] {
		response.Order = append(response.Order, candidateOf(t, total))
	}
	return nil
}

// summarize describes in one line where new flows go.
func summarize(response *adminv1.ExplainResponse, svc *rules.Service) string {
	eligible := 0
	for _, c := range response.Candidates {
		if c.Eligible {
			eligible++
		}
	}
	switch {
	case len(response.Candidates) == 0:
		return fmt.Sprintf("no VM matches the pool of service %s; new flows get no answer", svc.Name)
	case eligible == 0:
		return fmt.Sprintf("none of the %d targets of service %s is eligible; new flows get no answer", len(response.Candidates), svc.Name)
	case len(response.Order) > 0:
		return fmt.Sprintf("the flow goes to %s; it has the best score by weighted rendezvous hashing among %d eligible targets, and passes it on if it cannot take it",
			response.Order[0].Vm, eligible)
	default:
		return fmt.Sprintf("new flows go to %d of %d targets, by weighted rendezvous hashing of the caller's address and first connection ID",
			eligible, len(response.Candidates))
	}
}
