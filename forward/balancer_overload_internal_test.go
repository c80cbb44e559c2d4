package forward

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/logsink"
	"github.com/cowslipward/cowslipward/loadcontrol"
)

// Load: the only target of a service refuses all flows. Guards against an overload that operators do not see.
func TestOverloadIsLoggedCountedAndShown(t *testing.T) {
	var log bytes.Buffer
	b, err := OpenBalancer(BalancerConfig{
		Domain: "a", Packets: benchAny, Tunnel: benchAny, Log: slog.New(slog.NewTextHandler(&log, nil)), Sampler: logsink.NewSampler(100),
		Outcomes: burn.NewRecorder[string](nil), ConfirmView: func() {},
		LoadControl: loadcontrol.Settings{MaxSlots: 2, ShedOverload: true},
	})
	require.NoError(t, err)
	t.Cleanup(b.Close)
	service := flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	target := flow.Endpoint{IP: [4]byte{127, 0, 0, 9}, Port: 80}
	dir := directory.New()
	dir.Apply(&directory.Record{Kind: directory.KindConfig, Revision: 1, Config: &directory.Config{Version: 1, Routes: []directory.Route{
		{Name: "r", Address: service, Choices: []directory.Choice{{Service: "bench", Weight: 1}}, Objective: 100 * time.Millisecond, Priority: 1},
	}}}, 0)
	dir.Apply(&directory.Record{Kind: directory.KindTarget, Name: "i", Revision: 2, Target: &directory.Target{
		ID: "i", Service: "bench", Address: target, Domain: "a", Slots: 2, State: directory.TargetReady,
	}}, 0)
	b.SetView(dir.View(), b.Now())
	out := b.newOutboxes()
	for port := range uint16(2) {
		p := flow.Packet{From: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1 + port}, To: service, Syn: true}
		b.dispatcher.HandleCallerPacket(&p, b.Now())
		b.handleReturned(out, &encap.Header{Kind: encap.KindReturn, Reason: encap.ReasonOverloaded}, &p, nil, target, 0)
	}
	b.watchOverload()
	require.EqualValues(t, 1, overloadedServices.Get())
	require.Len(t, b.Status().Overloaded, 1)
	require.Contains(t, log.String(), "shed=true priority=1")

	time.Sleep(600 * time.Millisecond) // refusals count for 500 ms
	b.watchOverload()
	b.watchOverload()
	require.Zero(t, overloadedServices.Get())
	require.Empty(t, b.Status().Overloaded)
	require.Equal(t, 1, strings.Count(log.String(), "msg=overload_began"))
	require.Equal(t, 1, strings.Count(log.String(), "msg=overload_ended"))
}
