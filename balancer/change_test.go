package balancer_test

import (
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/wire"
)

// Guards against flows that break when the files of the connection ID keys and the tunnel keys are rotated.
func TestKeyRotation(t *testing.T) {
	b := newTestbed(t)
	b.startAgents(3)
	b.startBalancers(3)
	go b.keys.Run(t.Context(), slog.New(slog.DiscardHandler))
	old := b.keys.Current()
	var d downloads
	d.start(b, 20, 120)
	time.Sleep(300 * time.Millisecond)
	for _, file := range []string{keys.FileConnID, keys.FileTunnel} {
		path := filepath.Join(b.dir, file)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		fresh := "77 " + strings.Repeat("7a", keys.SecretBytes) + "\n"
		require.NoError(t, os.WriteFile(path, append([]byte(fresh), text...), 0o600))
	}
	require.Eventually(t, func() bool { return b.keys.Current() != old }, 3*time.Second, time.Millisecond)
	require.Equal(t, uint8(77), b.keys.Current().ConnID.Active().ID)
	d.start(b, 20, 30)
	d.wg.Wait()
	require.Empty(t, d.broken)
}

// Guards against path MTU discovery that ignores the tunnel header, so that all full-sized packets are lost.
func TestPathMTU(t *testing.T) {
	b := newTestbed(t)
	b.startAgents(1)
	b.startBalancers(3)
	client, conn := b.newClient()
	body, err := get(client, "/slow?chunks=100")
	require.NoError(t, err)
	require.Len(t, body, 100*len(chunk))
	sent, received := conn.largest()
	require.Greater(t, received, 1350, "agents must discover a path MTU above the initial 1,280 bytes")
	require.LessOrEqual(t, received, wire.MaxDatagramIPv4)
	require.Greater(t, sent, 1280, "callers must probe for a larger path MTU")
}

// Guards against new flows that stay at a full target, and against retransmissions that go to another target
// than the first packet.
func TestFullTargetPassesNewFlows(t *testing.T) {
	b := newTestbed(t)
	agents := b.startAgents(4)
	b.startBalancers(2)
	agents[0].conn.SetAdmitFunc(func() bool { return false })
	agents[1].conn.SetAdmitFunc(func() bool { return false })
	for range 40 {
		client, _ := b.newClient()
		body, err := get(client, "/hello")
		require.NoError(t, err)
		require.Contains(t, []string{"bench-3", "bench-4"}, body, "two hops reach a target that accepts the flow")
	}
	require.NotZero(t, agents[0].conn.Counts().Counted(link.EventPassed))
	for _, a := range agents[2:] {
		a.conn.SetAdmitFunc(func() bool { return false })
	}
	client, _ := b.newClient()
	_, err := get(client, "/hello")
	require.NoError(t, err, "after two hops the flow is accepted")
}

// Guards against a draining target that passes no flows on because it is no longer in any order of targets.
func TestDrainingTargetPassesNewFlows(t *testing.T) {
	b := newTestbed(t)
	agents := b.startAgents(3)
	stale := fleet.NewStatic(b.source.View())
	b.sprayOver(b.startBalancer("a", stale))
	agents[0].record.State = fleet.StateDraining
	agents[0].conn.SetAdmitFunc(func() bool { return false })
	b.publish()
	for range 20 {
		client, _ := b.newClient()
		body, err := get(client, "/hello")
		require.NoError(t, err)
		require.NotEqual(t, "bench-1", body)
	}
	require.NotZero(t, agents[0].conn.Counts().Counted(link.EventPassed))
}

// noticeSource is a source of views that records revision notices and can withhold its confirmation.
type noticeSource struct {
	*fleet.Static
	unconfirmed atomic.Bool
	mu          sync.Mutex
	notices     map[rules.Revision]netip.AddrPort
}

func (n *noticeSource) Confirmed() bool { return !n.unconfirmed.Load() }

func (n *noticeSource) ReportPeerRevision(rev rules.Revision, from netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notices[rev] = from
}

func (n *noticeSource) noticeSender(rev rules.Revision) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.notices[rev]
}

func newNoticeSource(view *fleet.View) *noticeSource {
	return &noticeSource{Static: fleet.NewStatic(view), notices: map[rules.Revision]netip.AddrPort{}}
}

// Guards against a process that keeps an old revision although it receives packets from processes with a newer
// one, for balancers and for agents.
func TestRevisionNotices(t *testing.T) {
	b := newTestbed(t)
	agent := b.startAgents(1)[0]
	source := newNoticeSource(b.source.View())
	lb := b.startBalancer("a", source)
	b.sprayOver(lb)
	b.publish()
	newer := b.source.View().Rules().Revision
	client, _ := b.newClient()
	_, err := get(client, "/hello")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return source.noticeSender(newer) == agent.record.VM.Control },
		time.Second, time.Millisecond,
		"a lagging balancer must receive revision notices from agents")

	lagging := newNoticeSource(b.source.View())
	second := b.startAgentWithSource("bench-2", "a", netip.AddrPort{}, 1, lagging)
	b.publish()
	newest := b.source.View().Rules().Revision
	source.Set(b.source.View())
	for range 20 {
		client, _ := b.newClient()
		_, err := get(client, "/hello")
		require.NoError(t, err)
	}
	require.NotZero(t, second.conn.Counts().Counted(link.EventDelivered))
	require.Eventually(t, func() bool { return lagging.noticeSender(newest) == lb.vm.Control },
		time.Second, time.Millisecond,
		"a lagging agent must receive revision notices from balancers")
}

// Guards against packets that are sent while the view is not confirmed.
func TestPacketsHeldWhileViewUnconfirmed(t *testing.T) {
	b := newTestbed(t)
	agent := b.startAgents(1)[0]
	source := newNoticeSource(b.source.View())
	b.sprayOver(b.startBalancer("a", source))
	client, _ := b.newClient()
	_, err := get(client, "/hello")
	require.NoError(t, err)
	source.unconfirmed.Store(true)
	time.Sleep(settleTime)
	before := agent.conn.Counts().Counted(link.EventDelivered)
	result := make(chan error, 1)
	go func() {
		_, err := get(client, "/hello")
		result <- err
	}()
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, before, agent.conn.Counts().Counted(link.EventDelivered))
	source.unconfirmed.Store(false)
	require.NoError(t, <-result, "held packets must be sent once the view is confirmed")
}

// Guards against replies that stay with a failed balancer, or go through one in a failure domain that is out.
func TestReturnPath(t *testing.T) {
	b := newTestbed(t)
	agent := b.startAgents(1)[0]
	balancers := b.startBalancers(2)
	b.sprayOver(balancers[0])
	client, _ := b.newClient()
	result := make(chan error, 1)
	go func() {
		_, err := get(client, "/slow?chunks=60")
		result <- err
	}()
	time.Sleep(200 * time.Millisecond)
	b.sprayOver(balancers[1])
	time.Sleep(600 * time.Millisecond)
	before := balancers[0].Counts().Counted(link.EventReplied)
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, before, balancers[0].Counts().Counted(link.EventReplied),
		"replies must have moved to the other balancer")
	require.NoError(t, <-result)
	b.balancers = []fleet.MemberRecord{{VM: balancers[0].vm}, {VM: balancers[1].vm}}
	b.domains[1].Out = true
	b.publish()
	time.Sleep(settleTime)
	repliedBefore := balancers[1].Counts().Counted(link.EventReplied)
	_, err := get(client, "/hello")
	require.NoError(t, err, "replies must go through the other balancer")
	require.Equal(t, repliedBefore, balancers[1].Counts().Counted(link.EventReplied))
	require.NotZero(t, agent.conn.Counts().Counted(link.EventReturnPathMoved))
}

// Guards against new flows that reach the service which had the address when the packet arrived: a packet that was held
// while the view was not confirmed follows the rules that were confirmed.
func TestHeldPacketsFollowMovedAddress(t *testing.T) {
	b := newTestbed(t)
	bench := b.startAgents(1)[0]
	archive := b.startAgent("archive-1", "a", netip.AddrPort{}, 2)
	source := newNoticeSource(b.source.View())
	b.sprayOver(b.startBalancer("a", source))
	source.unconfirmed.Store(true)
	time.Sleep(settleTime)
	client, _ := b.newClient()
	answer := make(chan string, 1)
	go func() {
		body, _ := get(client, "/hello")
		answer <- body
	}()
	time.Sleep(settleTime) // the first packet is held
	b.services[0].Address, b.services[1].Address = b.services[1].Address, b.services[0].Address
	b.publish()
	source.Set(b.source.View())
	time.Sleep(settleTime)
	source.unconfirmed.Store(false)
	require.Equal(t, archive.name, <-answer, "the address belongs to the archive now")
	require.Zero(t, bench.conn.Counts().Counted(link.EventDelivered))
}
