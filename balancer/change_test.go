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

// Guards against flows that die when the keys of connection IDs and of the tunnel are rotated in their files.
func TestKeyRotation(t *testing.T) {
	b := newBed(t)
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

// Guards against path MTU discovery that ignores the tunnel header, which would lose all full-sized packets.
func TestPathMTU(t *testing.T) {
	b := newBed(t)
	b.startAgents(1)
	b.startBalancers(3)
	client, conn := b.dial()
	body, err := get(client, "/slow?chunks=100")
	require.NoError(t, err)
	require.Len(t, body, 100*len(chunk))
	sent, received := conn.largest()
	require.Greater(t, received, 1350, "agents must find that more than the initial 1,280 bytes fit")
	require.LessOrEqual(t, received, wire.MaxDatagram4)
	require.Greater(t, sent, 1280, "callers probe")
}

// Guards against new flows that a full target keeps, and against retransmissions that go to another target.
func TestNewFlowsPassed(t *testing.T) {
	b := newBed(t)
	agents := b.startAgents(4)
	b.startBalancers(2)
	agents[0].conn.SetAdmit(func() bool { return false })
	agents[1].conn.SetAdmit(func() bool { return false })
	for range 40 {
		client, _ := b.dial()
		body, err := get(client, "/hello")
		require.NoError(t, err)
		require.Contains(t, []string{"bench-3", "bench-4"}, body, "two hops reach a target that takes the flow")
	}
	require.NotZero(t, agents[0].conn.Counts().Counted(link.EventPassed))
	for _, a := range agents[2:] {
		a.conn.SetAdmit(func() bool { return false })
	}
	client, _ := b.dial()
	_, err := get(client, "/hello")
	require.NoError(t, err, "after two hops the flow is taken")
}

// Guards against a drained target that passes nothing because it stands in no order of targets any more.
func TestDrainedTargetPasses(t *testing.T) {
	b := newBed(t)
	agents := b.startAgents(3)
	stale := fleet.NewStatic(b.static.View())
	b.spray(b.startBalancer("a", stale))
	agents[0].record.State = fleet.StateDraining
	agents[0].conn.SetAdmit(func() bool { return false })
	b.publish()
	for range 20 {
		client, _ := b.dial()
		body, err := get(client, "/hello")
		require.NoError(t, err)
		require.NotEqual(t, "bench-1", body)
	}
	require.NotZero(t, agents[0].conn.Counts().Counted(link.EventPassed))
}

// noted is a source that records revision notes and can withhold its confirmation.
type noted struct {
	*fleet.Static
	unconfirmed atomic.Bool
	mu          sync.Mutex
	notes       map[rules.Revision]netip.AddrPort
}

func (n *noted) Confirmed() bool { return !n.unconfirmed.Load() }

func (n *noted) NoteRevision(rev rules.Revision, from netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notes[rev] = from
}

func (n *noted) note(rev rules.Revision) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.notes[rev]
}

func newNoted(view *fleet.View) *noted {
	return &noted{Static: fleet.NewStatic(view), notes: map[rules.Revision]netip.AddrPort{}}
}

// Guards against a process that keeps an old revision although packets of newer ones pass, in both directions.
func TestRevisionNotices(t *testing.T) {
	b := newBed(t)
	agent := b.startAgents(1)[0]
	source := newNoted(b.static.View())
	lb := b.startBalancer("a", source)
	b.spray(lb)
	b.publish()
	newer := b.static.View().Rules().Revision
	client, _ := b.dial()
	_, err := get(client, "/hello")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return source.note(newer) == agent.record.VM.Control }, time.Second, time.Millisecond,
		"a lagging balancer must learn from agents")

	lagging := newNoted(b.static.View())
	second := b.startAgentWith("bench-2", "a", netip.AddrPort{}, 1, lagging)
	b.publish()
	newest := b.static.View().Rules().Revision
	source.Set(b.static.View())
	for range 20 {
		client, _ := b.dial()
		_, err := get(client, "/hello")
		require.NoError(t, err)
	}
	require.NotZero(t, second.conn.Counts().Counted(link.EventDelivered))
	require.Eventually(t, func() bool { return lagging.note(newest) == lb.vm.Control }, time.Second, time.Millisecond,
		"a lagging agent must learn from balancers")
}

// Guards against packets that leave while the view is not confirmed.
func TestHeldWhileUnconfirmed(t *testing.T) {
	b := newBed(t)
	agent := b.startAgents(1)[0]
	source := newNoted(b.static.View())
	b.spray(b.startBalancer("a", source))
	client, _ := b.dial()
	_, err := get(client, "/hello")
	require.NoError(t, err)
	source.unconfirmed.Store(true)
	time.Sleep(settle)
	before := agent.conn.Counts().Counted(link.EventDelivered)
	result := make(chan error, 1)
	go func() {
		_, err := get(client, "/hello")
		result <- err
	}()
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, before, agent.conn.Counts().Counted(link.EventDelivered))
	source.unconfirmed.Store(false)
	require.NoError(t, <-result, "held packets must go on once the view is confirmed")
}

// Guards against replies that stay with a dead balancer, or go through one in a domain that is out.
func TestReturnPath(t *testing.T) {
	b := newBed(t)
	agent := b.startAgents(1)[0]
	entries := b.startBalancers(2)
	b.spray(entries[0])
	client, _ := b.dial()
	result := make(chan error, 1)
	go func() {
		_, err := get(client, "/slow?chunks=60")
		result <- err
	}()
	time.Sleep(200 * time.Millisecond)
	b.spray(entries[1])
	time.Sleep(600 * time.Millisecond)
	before := entries[0].Counts().Counted(link.EventReplied)
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, before, entries[0].Counts().Counted(link.EventReplied), "replies must have moved")
	require.NoError(t, <-result)
	b.balancers = []fleet.MemberRecord{{VM: entries[0].vm}, {VM: entries[1].vm}}
	b.domains[1].Out = true
	b.publish()
	time.Sleep(settle)
	quiet := entries[1].Counts().Counted(link.EventReplied)
	_, err := get(client, "/hello")
	require.NoError(t, err, "replies must take the other balancer")
	require.Equal(t, quiet, entries[1].Counts().Counted(link.EventReplied))
	require.NotZero(t, agent.conn.Counts().Counted(link.EventReturnPathMoved))
}
