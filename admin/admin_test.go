package admin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/admin"
	"github.com/cowslipward/cowslipward/admission"
	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/fleet"
	adminv1 "github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1"
	"github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1/adminv1connect"
	"github.com/cowslipward/cowslipward/rules"
)

const text = `domain leinster-a id=1 region=leinster # asked by Aoife, platform
domain leinster-b id=2 region=leinster # asked by Aoife, platform
service bench id=1 address=127.0.0.1:7001 pool=bench-* slots=9 # asked by Maire, studio
service archive id=2 address=127.0.0.1:7002 pool=archive-* # asked by Maire, studio
drain bench-3 # asked by Sean, operations
`

func parse(t *testing.T, text string, revision rules.Revision) *rules.Set {
	t.Helper()
	set, err := rules.Parse(text, revision)
	require.NoError(t, err)
	return set
}

func vm(name, domain string, n byte) fleet.VM {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, n}), 7400)
	return fleet.VM{Name: name, FailureDomain: domain, Role: fleet.RoleTarget, Data: address, Control: address, Admin: address}
}

func viewOf(set *rules.Set) *fleet.View {
	vms := []fleet.VM{vm("bench-1", "leinster-a", 1), vm("bench-2", "leinster-b", 2), vm("bench-3", "leinster-a", 3), vm("archive-1", "leinster-a", 4)}
	var records []fleet.MemberRecord
	for _, one := range vms {
		records = append(records, fleet.MemberRecord{VM: one, State: fleet.StateServing, Weight: fleet.WeightFull})
	}
	return fleet.NewView(set, fleet.Observation{VMs: vms, Records: records})
}

type stand struct {
	source   *fleet.Static
	recorder *burn.Recorder[rules.ServiceID]
	server   *httptest.Server
	client   adminv1connect.AdminServiceClient
}

func newStand(t *testing.T) *stand {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &stand{source: fleet.NewStatic(viewOf(parse(t, text, 7))), recorder: burn.NewRecorder[rules.ServiceID](nil)}
	mux := http.NewServeMux()
	mux.Handle(admin.NewHandler(admin.Config{
		Self:    vm("bench-1", "leinster-a", 1),
		Started: time.Now(),
		Source:  s.source,
		Ready:   func() (bool, string) { return false, "draining" },
		Load:    func() admission.Snapshot { return admission.Snapshot{Slots: 9, Limit: 3, Reason: "cold start"} },
		Burn:    s.recorder,
		Context: ctx,
	}))
	s.server = httptest.NewServer(mux)
	t.Cleanup(s.server.Close)
	s.client = adminv1connect.NewAdminServiceClient(s.server.Client(), s.server.URL)
	return s
}

// Guards against a status that hides since when a revision is in force, and against an API that needs a special client.
func TestStatusAsPlainJSON(t *testing.T) {
	s := newStand(t)
	before := time.Now().UnixMilli()
	s.source.Set(viewOf(parse(t, text, 8)))
	status, err := s.client.Status(t.Context(), connect.NewRequest(&adminv1.StatusRequest{}))
	require.NoError(t, err)
	require.EqualValues(t, 8, status.Msg.Revision)
	require.GreaterOrEqual(t, status.Msg.RevisionSinceUnixMs, before)
	require.Equal(t, "bench", status.Msg.Service)
	path := s.server.URL + adminv1connect.AdminServiceStatusProcedure
	answer, err := http.Get(path + "?encoding=json&message=" + url.QueryEscape("{}"))
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Contains(t, strings.ReplaceAll(string(body), " ", ""), `"readyReason":"draining"`)
}

// Guards against targets without the reason for their state, and against load that belongs to another target.
func TestTargets(t *testing.T) {
	s := newStand(t)
	answer, err := s.client.Targets(t.Context(), connect.NewRequest(&adminv1.TargetsRequest{Service: "127.0.0.1:7001"}))
	require.NoError(t, err)
	require.Len(t, answer.Msg.Targets, 3)
	require.EqualValues(t, 3, answer.Msg.Targets[0].Load.Limit)
	require.Nil(t, answer.Msg.Targets[1].Load)
	require.Contains(t, answer.Msg.Targets[2].Reason, "asked by Sean")
	_, err = s.client.Targets(t.Context(), connect.NewRequest(&adminv1.TargetsRequest{Service: "bank"}))
	require.ErrorContains(t, err, "want one of archive, bench")
}

// Guards against an explanation that differs from where flows go: ineligible targets must not be in the order, and
// shares must add up.
func TestExplain(t *testing.T) {
	s := newStand(t)
	answer, err := s.client.Explain(t.Context(), connect.NewRequest(&adminv1.ExplainRequest{
		Service: "bench", Caller: "192.0.2.9:50000", ConnectionId: []byte{1, 2, 3, 4, 5, 6, 7, 8},
	}))
	require.NoError(t, err)
	require.Len(t, answer.Msg.Candidates, 3)
	require.Len(t, answer.Msg.Order, 2)
	sum := 0.0
	for _, c := range answer.Msg.Candidates {
		sum += c.Share
	}
	require.InDelta(t, 1, sum, 1e-9)
	require.Contains(t, answer.Msg.Summary, answer.Msg.Order[0].Vm)
	_, err = s.client.Explain(t.Context(), connect.NewRequest(&adminv1.ExplainRequest{Service: "bench", Caller: "x"}))
	require.ErrorContains(t, err, "caller: found")
}

// Guards against a dry run that misses a VM, and against one that puts the file in force.
func TestDryRunRules(t *testing.T) {
	s := newStand(t)
	run := func(next string) *adminv1.DryRunRulesResponse {
		answer, err := s.client.DryRunRules(t.Context(), connect.NewRequest(&adminv1.DryRunRulesRequest{Text: next}))
		require.NoError(t, err)
		return answer.Msg
	}
	bad := run(text + "out leinster-x # asked by Sean\n")
	require.False(t, bad.Accepted)
	require.EqualValues(t, 6, bad.Errors[0].Line)
	require.EqualValues(t, 5, bad.Errors[0].Column)
	require.Empty(t, run(text+"\n# comment\n").Changes)

	next := strings.Replace(text, "drain bench-3", "drain archive-1", 1) + "out leinster-b # asked by Sean\n"
	next = strings.Replace(next, "pool=bench-*", "pool=bench-1,bench-2", 1)
	good := run(next)
	require.True(t, good.Accepted)
	effects := make(map[string]string)
	for _, effect := range good.Effects {
		effects[effect.Vm] += effect.Effect + "; "
	}
	require.NotContains(t, effects, "bench-1")
	require.Contains(t, effects["bench-2"], "taken out")
	require.Contains(t, effects["bench-3"], "leaves service bench")
	require.Contains(t, effects["archive-1"], "drains")
	subjects := make([]string, 0, len(good.Changes))
	for _, change := range good.Changes {
		subjects = append(subjects, change.Kind+" "+change.Subject)
	}
	require.Equal(t, []string{"added drain archive-1", "removed drain bench-3", "added out leinster-b", "changed service bench"}, subjects)
	require.EqualValues(t, 7, s.source.View().Rules().Revision)
}

// Guards against outcomes that change on their way to the report.
func TestOutcomes(t *testing.T) {
	s := newStand(t)
	for i := range 100 {
		s.recorder.Record(1, i%10 != 0)
	}
	answer, err := s.client.Outcomes(t.Context(), connect.NewRequest(&adminv1.OutcomesRequest{}))
	require.NoError(t, err)
	require.Len(t, answer.Msg.Services, 1)
	require.Equal(t, "fast", answer.Msg.Services[0].Alert)
	require.Equal(t, s.recorder.Summary(1), admin.SummaryOf(answer.Msg.Services[0]))
}
