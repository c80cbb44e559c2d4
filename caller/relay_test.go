package caller

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relay is a UDP relay that can go silent for the flows it knows, as a middlebox that lost its entries.
type relay struct {
	front *net.UDPConn
	muted atomic.Bool // for callers known at that time
}

func newRelay(t *testing.T, to netip.AddrPort) *relay {
	t.Helper()
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	r := &relay{front: front}
	t.Cleanup(func() { _ = front.Close() })
	go r.run(to)
	return r
}

func (r *relay) run(to netip.AddrPort) {
	backs := make(map[netip.AddrPort]*net.UDPConn)
	lost := make(map[netip.AddrPort]bool)
	packet := make([]byte, 2000)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(packet)
		if err != nil {
			return
		}
		back := backs[from]
		if back == nil {
			back, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
			if err != nil {
				return
			}
			backs[from] = back
			go r.back(back, from)
		} else if r.muted.CompareAndSwap(true, false) {
			for known := range backs {
				lost[known] = true
				_ = backs[known].Close()
			}
		}
		if !lost[from] {
			_, _ = back.Write(packet[:n])
		}
	}
}

func (r *relay) back(back *net.UDPConn, from netip.AddrPort) {
	packet := make([]byte, 2000)
	for {
		n, err := back.Read(packet)
		if err != nil {
			return
		}
		_, _ = r.front.WriteToUDPAddrPort(packet[:n], from)
	}
}

// Guards against a flow that went silent for good while new ones work (F9): a waiting request must be moved, an open
// view must end with an error, and both soon.
func TestSilentFlowIsReplaced(t *testing.T) {
	s := newStand(t, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		if r.URL.Path == "/view" {
			time.Sleep(20 * time.Second)
		}
	})
	r := newRelay(t, s.address)
	c := s.caller(t, r.front.LocalAddr().(*net.UDPAddr).AddrPort())
	view := c.Do(get(t, "/view"))
	require.Equal(t, Answered, view.Outcome, view.Reason)
	r.muted.Store(true)
	started := time.Now()
	result := c.Do(get(t, "/"))
	require.Equal(t, Answered, result.Outcome, result.Reason)
	require.Less(t, time.Since(started), suspectAfter+time.Second)
	_ = result.Response.Body.Close()
	_, err := io.ReadAll(view.Response.Body)
	var interrupted *Interrupted
	require.ErrorAs(t, err, &interrupted)
	require.Equal(t, ReasonUnresponsive, interrupted.Reason)
	require.Less(t, time.Since(started), silentAfter+2*time.Second)
	_ = view.Response.Body.Close()
}
