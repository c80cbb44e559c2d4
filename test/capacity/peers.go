package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
	"github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1/fleetv1connect"
	"github.com/cowslipward/cowslipward/internal/fleetpb"
	"github.com/cowslipward/cowslipward/rules"
)

// Periods as in package feed.
const (
	heartbeatPeriod = time.Second
	reportPeriod    = 2 * time.Second
	redialPeriod    = 2 * time.Second
	memberDelay     = 50 * time.Millisecond
)

// relayService plays a relay of a failure domain towards the measured process.
type relayService struct {
	fleetv1connect.UnimplementedFleetServiceHandler
	world  *world
	domain string
}

func (w *world) handler(domain string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetv1connect.NewFleetServiceHandler(&relayService{world: w, domain: domain},
		connect.WithCompressMinBytes(2048)))
	return mux
}

// Watch sends a snapshot, changes and heartbeats.
func (s *relayService) Watch(ctx context.Context, request *connect.Request[fleetv1.WatchRequest],
	stream *connect.ServerStream[fleetv1.WatchResponse],
) error {
	domain := s.domain
	if request.Msg.GetScope() == fleetv1.Scope_SCOPE_FLEET {
		domain = ""
	}
	revision := rules.Revision(request.Msg.GetRevision())
	var version uint64
	beat := time.NewTicker(heartbeatPeriod)
	defer beat.Stop()
	flush := time.NewTicker(memberDelay)
	defer flush.Stop()
	for first, due := true, true; ; first, due = false, false {
		set, before, changed := s.world.rules()
		message := &fleetv1.WatchResponse{Revision: uint64(set.Revision), Snapshot: first}
		var members []fleet.Member
		members, version = s.world.table.ChangesSince(version, domain)
		for i := range members {
			message.Members = append(message.Members, fleetpb.FromMember(&members[i]))
		}
		message.Rules = rulesSince(revision, set, before)
		revision = set.Revision
		if first || due || len(members) > 0 || len(message.Rules) > 0 {
			if err := stream.Send(message); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-flush.C:
		case <-beat.C:
			if err := stream.Send(&fleetv1.WatchResponse{Revision: message.Revision}); err != nil {
				return err
			}
		}
	}
}

func rulesSince(revision rules.Revision, set, before *rules.Set) []*fleetv1.RulesChange {
	switch {
	case revision >= set.Revision:
		return nil
	case before != nil && before.Revision == revision:
		delta := rules.NewDelta(before, set)
		return []*fleetv1.RulesChange{fleetpb.FromDelta(&delta)}
	default:
		return []*fleetv1.RulesChange{{
			Revision: uint64(set.Revision), Hash: rules.HashText(set.Text), Text: set.Text,
		}}
	}
}

// Report takes the records of the measured subscriber.
func (s *relayService) Report(_ context.Context, stream *connect.ClientStream[fleetv1.ReportRequest],
) (*connect.Response[fleetv1.ReportResponse], error) {
	for stream.Receive() {
		s.world.counters.Reports.Add(1)
	}
	return connect.NewResponse(&fleetv1.ReportResponse{}), stream.Err()
}

// GetRules answers with the whole file.
func (s *relayService) GetRules(context.Context, *connect.Request[fleetv1.GetRulesRequest],
) (*connect.Response[fleetv1.GetRulesResponse], error) {
	set, _, _ := s.world.rules()
	return connect.NewResponse(&fleetv1.GetRulesResponse{
		Revision: uint64(set.Revision), Rules: rulesSince(0, set, nil),
	}), nil
}

// client returns a client with a connection of its own to the measured process, whose bytes are counted.
func (w *world) client() fleetv1connect.FleetServiceClient {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, c: &w.counters}, nil
	}
	config := w.keys.PeerClient()
	transport := &http.Transport{DialContext: dial, TLSClientConfig: config, Protocols: protocols}
	return fleetv1connect.NewFleetServiceClient(&http.Client{Transport: transport},
		"https://"+w.plan.Control.String(), connect.WithCompressMinBytes(2048))
}

// watch reads one stream of the measured process until it ends.
func (w *world) watch(ctx context.Context, rpc fleetv1connect.FleetServiceClient, vm fleet.VM, scope fleetv1.Scope,
	synced func(),
) error {
	set, _, _ := w.rules()
	stream, err := rpc.Watch(ctx, connect.NewRequest(&fleetv1.WatchRequest{
		Caller: fleetpb.FromMember(w.model.member(vm, "")), Scope: scope,
		Revision: uint64(set.Revision), RulesHash: rules.HashText(set.Text),
	}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		if stream.Msg().GetSnapshot() {
			synced()
		}
	}
	return errors.Join(stream.Err())
}

// playRelay watches the measured relay as another relay does.
func (w *world) playRelay(ctx context.Context, vm fleet.VM) {
	for ctx.Err() == nil {
		_ = w.watch(ctx, w.client(), vm, fleetv1.Scope_SCOPE_DOMAIN, func() {})
		time.Sleep(redialPeriod)
	}
}

// playSubscriber watches the measured relay and reports to it.
func (w *world) playSubscriber(ctx context.Context, vm fleet.VM) {
	for ctx.Err() == nil {
		rpc := w.client()
		life, end := context.WithCancel(ctx)
		_ = w.watch(life, rpc, vm, fleetv1.Scope_SCOPE_FLEET, func() { go w.report(life, rpc, vm) })
		end()
		time.Sleep(redialPeriod)
	}
}

func (w *world) report(ctx context.Context, rpc fleetv1connect.FleetServiceClient, vm fleet.VM) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	stream := rpc.Report(ctx)
	message := &fleetv1.ReportRequest{Member: fleetpb.FromMember(w.model.member(vm, ""))}
	for ctx.Err() == nil {
		set, _, _ := w.rules()
		message.Revision = uint64(set.Revision)
		if stream.Send(message) != nil {
			return
		}
		w.counters.Reports.Add(1)
		message.Member = nil
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
