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

// Times of the streams between processes.
const (
	heartbeatPeriod = time.Second
	// memberDelay collects record changes into one message. Rule changes do not wait.
	memberDelay = 50 * time.Millisecond
)

// maxMembers bounds the members of one message, so that the snapshot of a large fleet needs no large buffers.
const maxMembers = 500

var (
	errNotReady  = errors.New("no rules yet")
	errMalformed = errors.New("malformed member record")
	errNotRelay  = errors.New("not a relay for the caller")
)

// server serves the fleet service to peers.
type server struct {
	feed *Feed
}

// Watch streams rules and members of this process's table.
func (s *server) Watch(ctx context.Context, request *connect.Request[fleetv1.WatchRequest],
	stream *connect.ServerStream[fleetv1.WatchResponse],
) error {
	if s.feed.book.current() == nil {
		return connect.NewError(connect.CodeFailedPrecondition, errNotReady)
	}
	f := s.feed
	caller, ok := fleetpb.ToMember(request.Msg.GetCaller())
	if !ok {
		return connect.NewError(connect.CodeInvalidArgument, errMalformed)
	}
	whole := request.Msg.GetScope() != fleetv1.Scope_SCOPE_DOMAIN
	if !f.mayReach(caller.Record.VM.FailureDomain) || (whole && !f.relay.Load()) {
		return connect.NewError(connect.CodeFailedPrecondition, errNotRelay)
	}
	if whole {
		defer f.detector.lost(caller.Record.VM.Name)
	} else {
		f.meet(&caller)
	}
	peer.Guard(ctx, f.guard(caller.Record.VM.FailureDomain))
	w := &watcher{
		peer:     caller.Record.VM.FailureDomain,
		feed:     s.feed,
		stream:   stream,
		revision: rules.Revision(request.Msg.GetRevision()),
		hash:     request.Msg.GetRulesHash(),
	}
	if !whole {
		w.domain = s.feed.cfg.Self.FailureDomain
	}
	return w.run(ctx)
}

// meet takes over the record of a relay that watches this process.
func (f *Feed) meet(relay *fleet.Member) {
	relay.Relay = relay.Record.VM.Name
	if f.table.Merge(relay) {
		f.moved.fire()
	}
}

// watcher is the state of one Watch stream.
type watcher struct {
	feed     *Feed
	stream   *connect.ServerStream[fleetv1.WatchResponse]
	peer     string // failure domain of the peer
	domain   string // failure domain of the members, empty for all
	revision rules.Revision
	hash     uint64
	version  uint64 // of the table that the peer has seen
}

func (w *watcher) run(ctx context.Context) error {
	if err := w.send(true, true); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatPeriod)
	defer heartbeat.Stop()
	var flush <-chan time.Time
	for {
		ruled := w.feed.book.changed.wait()
		moved := w.feed.moved.wait()
		if revision, _ := w.feed.book.stamp(); revision != w.revision {
			if err := w.send(false, false); err != nil {
				return err
			}
		}
		if flush == nil && w.feed.table.Version() != w.version {
			flush = time.After(memberDelay)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ruled:
			continue
		case <-moved:
			continue
		case <-flush:
			flush = nil
		case <-heartbeat.C:
		}
		if !w.isWelcome() {
			return connect.NewError(connect.CodeFailedPrecondition, errNotRelay)
		}
		if err := w.send(flush == nil, false); err != nil {
			return err
		}
	}
}

// isWelcome reports whether the stream may go on: a failure domain that is out gets nothing more, and subscribers of a
// process that is no longer a relay must move on, since its peers do not watch it.
func (w *watcher) isWelcome() bool {
	return w.feed.mayReach(w.peer) && (w.domain != "" || w.feed.relay.Load())
}

// send sends the rules that the peer lacks and, with members, the members that changed.
func (w *watcher) send(members, snapshot bool) error {
	message := &fleetv1.WatchResponse{}
	message.Rules = w.feed.book.changesSince(w.revision, w.hash)
	w.revision, w.hash = w.feed.book.stamp()
	message.Revision = uint64(w.revision)
	var changed []fleet.Member
	if members {
		changed, w.version = w.feed.table.ChangesSince(w.version, w.domain)
	}
	for {
		part := changed[:min(len(changed), maxMembers)]
		changed = changed[len(part):]
		message.Members = make([]*fleetv1.Member, len(part))
		for i := range part {
			message.Members[i] = fleetpb.FromMember(&part[i])
		}
		message.Snapshot = snapshot && len(changed) == 0
		if err := w.stream.Send(message); err != nil || len(changed) == 0 {
			return err
		}
		message.Rules = nil
	}
}

// Report merges the records of a subscriber until it goes.
func (s *server) Report(_ context.Context, stream *connect.ClientStream[fleetv1.ReportRequest],
) (*connect.Response[fleetv1.ReportResponse], error) {
	f := s.feed
	var vm fleet.VM
	for stream.Receive() {
		message := stream.Msg()
		if message.Member != nil {
			member, ok := fleetpb.ToMember(message.GetMember())
			if !ok {
				return nil, connect.NewError(connect.CodeInvalidArgument, errMalformed)
			}
			vm = member.Record.VM
			member.Relay = f.cfg.Self.Name
			if f.table.Merge(&member) {
				f.moved.fire()
			}
		}
		if !vm.Control.IsValid() {
			return nil, connect.NewError(connect.CodeInvalidArgument, errMalformed)
		}
		if !f.relay.Load() || !f.mayReach(vm.FailureDomain) {
			return nil, connect.NewError(connect.CodeFailedPrecondition, errNotRelay)
		}
		f.detector.heard(vm.Name)
		f.ReportPeerRevision(rules.Revision(message.GetRevision()), vm.Control)
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&fleetv1.ReportResponse{}), nil
}

// GetRules returns what takes the caller to the revision in force.
func (s *server) GetRules(_ context.Context, request *connect.Request[fleetv1.GetRulesRequest],
) (*connect.Response[fleetv1.GetRulesResponse], error) {
	revision, _ := s.feed.book.stamp()
	if revision == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errNotReady)
	}
	changes := s.feed.book.changesSince(rules.Revision(request.Msg.GetRevision()), request.Msg.GetRulesHash())
	return connect.NewResponse(&fleetv1.GetRulesResponse{Revision: uint64(revision), Rules: changes}), nil
}

// Probe answers that this process runs.
func (s *server) Probe(context.Context, *connect.Request[fleetv1.ProbeRequest],
) (*connect.Response[fleetv1.ProbeResponse], error) {
	self := s.feed.self.member()
	return connect.NewResponse(&fleetv1.ProbeResponse{Vm: self.Record.VM.Name, Started: self.Record.Started}), nil
}
