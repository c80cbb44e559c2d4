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

// udpProxy is a UDP proxy that can drop the packets of all known flows, like a middlebox that lost its table
// entries.
type udpProxy struct {
	front     *net.UDPConn
	dropKnown atomic.Bool // drop all known flows from the next packet of one of them on
}

func newUDPProxy(t *testing.T, to netip.AddrPort) *udpProxy {
	t.Helper()
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	p := &udpProxy{front: front}
	t.Cleanup(func() { _ = front.Close() })
	go p.run(to)
	return p
}

func (p *udpProxy) run(to netip.AddrPort) {
	upstreams := make(map[netip.AddrPort]*net.UDPConn)
	dropped := make(map[netip.AddrPort]bool)
	packet := make([]byte, 2000)
	for {
		n, from, err := p.front.ReadFromUDPAddrPort(packet)
		if err != nil {
			return
		}
		upstream := upstreams[from]
		if upstream == nil {
			upstream, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
			if err != nil {
				return
			}
			upstreams[from] = upstream
			go p.copyReplies(upstream, from)
		} else if p.dropKnown.CompareAndSwap(true, false) {
			for known := range upstreams {
				dropped[known] = true
				_ = upstreams[known].Close()
			}
		}
		if !dropped[from] {
			_, _ = upstream.Write(packet[:n])
		}
	}
}

func (p *udpProxy) copyReplies(upstream *net.UDPConn, from netip.AddrPort) {
	packet := make([]byte, 2000)
	for {
		n, err := upstream.Read(packet)
		if err != nil {
			return
		}
		_, _ = p.front.WriteToUDPAddrPort(packet[:n], from)
	}
}

// Guards against a flow that receives no packets any more while new flows work (F9): within a few seconds, a
// waiting request must be retried on a new flow and a streaming response must end with an error.
func TestUnresponsiveFlowIsReplaced(t *testing.T) {
	s := newTestAgent(t, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		if r.URL.Path == "/view" {
			time.Sleep(20 * time.Second)
		}
	})
	proxy := newUDPProxy(t, s.address)
	c := s.caller(t, proxy.front.LocalAddr().(*net.UDPAddr).AddrPort())
	stream := c.Do(getRequest(t, "/view"))
	require.Equal(t, Answered, stream.Outcome, stream.Reason)
	proxy.dropKnown.Store(true)
	started := time.Now()
	result := c.Do(getRequest(t, "/"))
	require.Equal(t, Answered, result.Outcome, result.Reason)
	require.Less(t, time.Since(started), suspectTimeout+time.Second)
	_ = result.Response.Body.Close()
	_, err := io.ReadAll(stream.Response.Body)
	var interrupted *Interrupted
	require.ErrorAs(t, err, &interrupted)
	require.Equal(t, ReasonUnresponsive, interrupted.Reason)
	require.Less(t, time.Since(started), unresponsiveTimeout+2*time.Second)
	_ = stream.Response.Body.Close()
}
