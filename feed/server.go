package feed

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
	"github.com/cowslipward/cowslipward/internal/fleetpb"
	"github.com/cowslipward/cowslipward/internal/peer"
	"github.com/cowslipward/cowslipward/rules"
)

// Timing of the streams between processes.
const (
	heartbeatPeriod = time.Second
	// memberDelay batches record changes into one message. Rule changes are not delayed.
	memberDelay = 50 * time.Millisecond
)

// maxMessageMembers bounds the members in one message, so that the snapshot of a large fleet needs no large buffers.
const maxMessageMembers = 500

var (
	errNotReady        = errors.New("no rules yet")
	errMalformedMember = errors.New("malformed member record")
	errNotRelay        = errors.New("not a relay for the caller")
)

// server implements the fleet service.
type server struct {
	feed *Feed
}

// Watch streams the rules in force and the members of the table: first a snapshot, then changes and heartbeats. Only a
// relay that is ready serves the scope of the whole fleet.
func (s *server) Watch(ctx context.Context, request *connect.Request[fleetv1.WatchRequest],
	stream *connect.ServerStream[fleetv1.WatchResponse],
) error {
	if s.feed.rules.current() == nil {
		return connect.NewError(connect.CodeFailedPrecondition, errNotReady)
	}
	f := s.feed
	caller, ok := fleetpb.ToMember(request.Msg.GetCaller())
	if !ok {
		return connect.NewError(connect.CodeInvalidArgument, errMalformedMember)
	}
	fleetScope := request.Msg.GetScope() != fleetv1.Scope_SCOPE_DOMAIN
	if !f.mayReach(caller.Record.VM.FailureDomain) || (fleetScope && !f.relayReady.Load()) {
		return connect.NewError(connect.CodeFailedPrecondition, errNotRelay)
	}
	if fleetScope {
		defer f.detector.recordStreamEnd(caller.Record.VM.Name)
	} else {
		f.mergeRelayRecord(&caller)
	}
	peer.GuardWrites(ctx, f.writeGuard(caller.Record.VM.FailureDomain))
	w := &watchStream{
		peerDomain: caller.Record.VM.FailureDomain,
		feed:       s.feed,
		stream:     stream,
		revision:   rules.Revision(request.Msg.GetRevision()),
		hash:       request.Msg.GetRulesHash(),
	}
	if !fleetScope {
		w.scopeDomain = s.feed.cfg.Self.FailureDomain
	}
	return w.run(ctx)
}

// mergeRelayRecord merges the record of a relay that watches this process.
func (f *Feed) mergeRelayRecord(relay *fleet.Member) {
	relay.Relay = relay.Record.VM.Name
	if f.table.Merge(relay) {
		f.tableChanged.notify()
	}
}

// watchStream is the state of one Watch stream.
type watchStream struct {
	feed        *Feed
	stream      *connect.ServerStream[fleetv1.WatchResponse]
	peerDomain  string // failure domain of the peer
	scopeDomain string // failure domain of the members to send, empty for all
	revision    rules.Revision
	hash        uint64
	sentVersion uint64 // table version up to which members were sent
}

func (w *watchStream) run(ctx context.Context) error {
	if err := w.send(true, true); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatPeriod)
	defer heartbeat.Stop()
	var flush <-chan time.Time
	for {
		rulesChanged := w.feed.rules.changed.wait()
		tableChanged := w.feed.tableChanged.wait()
		if revision, _ := w.feed.rules.revisionAndHash(); revision != w.revision {
			if err := w.send(false, false); err != nil {
				return err
			}
		}
		if flush == nil && w.feed.table.Version() != w.sentVersion {
			flush = time.After(memberDelay)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rulesChanged:
			continue
		case <-tableChanged:
			continue
		case <-flush:
			flush = nil
		case <-heartbeat.C:
		}
		if !w.mayContinue() {
			return connect.NewError(connect.CodeFailedPrecondition, errNotRelay)
		}
		if err := w.send(flush == nil, false); err != nil {
			return err
		}
	}
}

// mayContinue reports whether the stream may continue. Nothing is sent to a failure domain that is out of service, and
// subscribers of a process that is no longer a relay must subscribe to another one, because peers do not watch it.
func (w *watchStream) mayContinue() bool {
	return w.feed.mayReach(w.peerDomain) && (w.scopeDomain != "" || w.feed.relayReady.Load())
}

// send sends the rules that the peer lacks and, if members is set, the members that changed since the last message. It
// may split them into several messages, of which the last one is marked as the end of the snapshot if snapshot is set.
func (w *watchStream) send(members, snapshot bool) error {
	message := &fleetv1.WatchResponse{}
	message.Rules = w.feed.rules.changesSince(w.revision, w.hash)
	w.revision, w.hash = w.feed.rules.revisionAndHash()
	message.Revision = uint64(w.revision)
	var changed []fleet.Member
	if members {
		changed, w.sentVersion = w.feed.table.ChangesSince(w.sentVersion, w.scopeDomain)
	}
	for {
		batch := changed[:min(len(changed), maxMessageMembers)]
		changed = changed[len(batch):]
		message.Members = make([]*fleetv1.Member, len(batch))
		for i := range batch {
			message.Members[i] = fleetpb.FromMember(&batch[i])
		}
		message.Snapshot = snapshot && len(changed) == 0
		if err := w.stream.Send(message); err != nil || len(changed) == 0 {
			return err
		}
		message.Rules = nil
	}
}

// Report merges the records that a subscriber sends until the stream ends.
func (s *server) Report(_ context.Context, stream *connect.ClientStream[fleetv1.ReportRequest],
) (*connect.Response[fleetv1.ReportResponse], error) {
	f := s.feed
	var vm fleet.VM
	for stream.Receive() {
		message := stream.Msg()
		if message.Member != nil {
			member, ok := fleetpb.ToMember(message.GetMember())
			if !ok {
				return nil, connect.NewError(connect.CodeInvalidArgument, errMalformedMember)
			}
			vm = member.Record.VM
			member.Relay = f.cfg.Self.Name
			if f.table.Merge(&member) {
				f.tableChanged.notify()
			}
		}
		if !vm.Control.IsValid() {
			return nil, connect.NewError(connect.CodeInvalidArgument, errMalformedMember)
		}
		if !f.relayReady.Load() || !f.mayReach(vm.FailureDomain) {
			return nil, connect.NewError(connect.CodeFailedPrecondition, errNotRelay)
		}
		f.detector.recordContact(vm.Name)
		f.ReportPeerRevision(rules.Revision(message.GetRevision()), vm.Control)
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&fleetv1.ReportResponse{}), nil
}

// GetRules returns the changes that bring the caller from its revision to the one in force.
func (s *server) GetRules(_ context.Context, request *connect.Request[fleetv1.GetRulesRequest],
) (*connect.Response[fleetv1.GetRulesResponse], error) {
	revision, _ := s.feed.rules.revisionAndHash()
	if revision == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errNotReady)
	}
	changes := s.feed.rules.changesSince(rules.Revision(request.Msg.GetRevision()), request.Msg.GetRulesHash())
	return connect.NewResponse(&fleetv1.GetRulesResponse{Revision: uint64(revision), Rules: changes}), nil
}

// Probe returns the VM name and the start time of this process.
func (s *server) Probe(context.Context, *connect.Request[fleetv1.ProbeRequest],
) (*connect.Response[fleetv1.ProbeResponse], error) {
	self := s.feed.self.member()
	return connect.NewResponse(&fleetv1.ProbeResponse{Vm: self.Record.VM.Name, Started: self.Record.Started}), nil
}
