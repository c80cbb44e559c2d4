package tunnel

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/routing"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/wire"
)

// passBed is the tunnel of agent bench-1 in a fleet with the agents bench-2 to bench-4. Nothing listens at the addresses
// of these.
type passBed struct {
	t       *testing.T
	conn    *Conn
	source  *fleet.Static
	admits  bool
	records []fleet.MemberRecord
	moved   string // VM that the rules give to the service archive
	domains []rules.Domain
}

func newPassBed(t *testing.T) *passBed {
	conn, _ := openConn(t, false)
	b := &passBed{t: t, conn: conn, domains: []rules.Domain{{ID: 1, Name: "a"}}}
	for n := 1; n <= 4; n++ {
		domain := rules.Domain{ID: rules.DomainID(n + 1), Name: fmt.Sprintf("d-%d", n)}
		b.domains = append(b.domains, domain)
		vm := fleet.VM{
			Name: fmt.Sprintf("bench-%d", n), FailureDomain: domain.Name, Role: fleet.RoleTarget,
			Data: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 88, 0, byte(n)}), 7400),
		}
		if n == 1 {
			vm.Data = conn.cfg.Advertise
		}
		b.records = append(b.records, fleet.MemberRecord{VM: vm, State: fleet.StateServing, Weight: fleet.WeightFull})
	}
	b.source = fleet.NewStatic(b.view())
	conn.cfg.Source = b.source
	conn.SetAdmitFunc(func() bool { return b.admits })
	return b
}

func (b *passBed) view() *fleet.View {
	bench := rules.Service{ID: 1, Name: "bench", Pool: []string{"bench-*"}}
	archive := rules.Service{ID: 2, Name: "archive"}
	if b.moved != "" {
		bench.Pool = nil
		for _, r := range b.records {
			if r.VM.Name != b.moved {
				bench.Pool = append(bench.Pool, r.VM.Name)
			}
		}
		archive.Pool = []string{b.moved}
	}
	set := rules.NewSet(1, []rules.Service{bench, archive}, append([]rules.Domain{}, b.domains...), nil)
	return fleet.NewView(set, fleet.Observation{Records: append([]fleet.MemberRecord{}, b.records...)})
}

// initial handles the first packet of a flow, or its retransmission. It returns the address that the packet was passed to,
// or the zero address if bench-1 accepted it.
func (b *passBed) initial() netip.AddrPort {
	b.t.Helper()
	connectionID := []byte("a flow's first ID")
	h := &wire.Header{Kind: wire.Forward, Service: 1, Caller: netip.MustParseAddrPort("127.88.1.1:4000")}
	accepted := b.conn.acceptOrPass(h, connectionID, []byte("packet"), b.conn.link.Now())
	to, known := b.conn.decisions.lookup(routing.Key(connectionID, h.Caller), b.conn.link.Now())
	require.True(b.t, known)
	require.Equal(b.t, accepted, !to.IsValid())
	return to
}

// record returns the record of the agent at an address, and its index.
func (b *passBed) record(at netip.AddrPort) (*fleet.MemberRecord, int) {
	for i := range b.records {
		if b.records[i].VM.Data == at {
			return &b.records[i], i
		}
	}
	require.Fail(b.t, "no agent", "at %s", at)
	return nil, 0
}

// Guards against a new flow whose retransmissions follow the decision about its first packet to a target that the view in
// force no longer allows.
func TestPassedFlowLeavesWithdrawnTarget(t *testing.T) {
	for name, withdraw := range map[string]func(b *passBed, r *fleet.MemberRecord, index int){
		"draining": func(_ *passBed, r *fleet.MemberRecord, _ int) { r.State, r.Weight = fleet.StateDraining, 0 },
		"stopped":  func(_ *passBed, r *fleet.MemberRecord, _ int) { r.State, r.Weight = fleet.StateStopped, 0 },
		"gone": func(b *passBed, _ *fleet.MemberRecord, index int) {
			b.records = append(b.records[:index:index], b.records[index+1:]...)
		},
		"given to another service": func(b *passBed, r *fleet.MemberRecord, _ int) { b.moved = r.VM.Name },
		"failure domain out":       func(b *passBed, _ *fleet.MemberRecord, index int) { b.domains[index+1].Out = true },
	} {
		t.Run(name, func(t *testing.T) {
			b := newPassBed(t)
			first := b.initial()
			require.True(t, first.IsValid())
			record, index := b.record(first)
			withdraw(b, record, index)
			b.source.Set(b.view())
			next := b.initial()
			require.True(t, next.IsValid())
			require.NotEqual(t, first, next)
		})
	}
}

// Guards against the opposite fault: retransmissions that leave the target that has the flow's handshake in progress, while
// that target is allowed, or while it is this one.
func TestRetransmissionsFollowFlow(t *testing.T) {
	t.Run("passed", func(t *testing.T) {
		b := newPassBed(t)
		first := b.initial()
		record, _ := b.record(first)
		record.Weight = 1
		b.admits = true
		b.source.Set(b.view())
		require.Equal(t, first, b.initial())
	})
	t.Run("accepted", func(t *testing.T) {
		b := newPassBed(t)
		b.admits = true
		require.False(t, b.initial().IsValid())
		b.admits = false
		b.records[0].State, b.records[0].Weight = fleet.StateDraining, 0
		b.source.Set(b.view())
		require.False(t, b.initial().IsValid())
	})
}
