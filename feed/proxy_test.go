package feed_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// wire relays the control connections between the processes of a test. It can swallow the bytes of some without closing
// them, as a middlebox does that has lost its entry.
type connProxy struct {
	mu            sync.Mutex
	vmNames       map[netip.Addr]string
	isPartitioned func(from, to string) bool // nil for none; by VM name
	conns         map[*proxiedConn]bool
	byteCounts    map[direction]int // bytes since the last reset, swallowed ones included
}

// direction is one way of the connections from one VM to another.
type direction struct {
	caller, callee, receiver string
}

// strand is one relayed connection.
type proxiedConn struct {
	from, to   string
	blackholed bool
}

func newConnProxy() *connProxy {
	return &connProxy{vmNames: make(map[netip.Addr]string), conns: make(map[*proxiedConn]bool), byteCounts: make(map[direction]int)}
}

// listen relays connections to the VM from a new address.
func (w *connProxy) listen(t *testing.T, vm string, ip netip.Addr, target string) netip.AddrPort {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	w.mu.Lock()
	w.vmNames[ip] = vm
	w.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.forward(conn, vm, target)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (w *connProxy) forward(caller net.Conn, to, target string) {
	defer caller.Close()
	callee, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer callee.Close()
	s := &proxiedConn{to: to}
	w.mu.Lock()
	s.from = w.vmNames[caller.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()]
	w.conns[s] = true
	w.mu.Unlock()
	done := make(chan struct{})
	go func() {
		w.copy(s, caller, callee, s.from)
		_ = caller.Close()
		close(done)
	}()
	w.copy(s, callee, caller, s.to)
	_ = callee.Close()
	<-done
	w.mu.Lock()
	delete(w.conns, s)
	w.mu.Unlock()
}

func (w *connProxy) copy(s *proxiedConn, dst io.Writer, src io.Reader, receiver string) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		if w.shouldForward(s, receiver, n) {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
}

// passes counts the bytes and reports whether they go on. A connection that was cut once stays silent for good.
func (w *connProxy) shouldForward(s *proxiedConn, receiver string, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.from != s.to {
		w.byteCounts[direction{s.from, s.to, receiver}] += n
	}
	if w.isPartitioned != nil && w.isPartitioned(s.from, s.to) {
		s.blackholed = true
	}
	return !s.blackholed
}

func (w *connProxy) setPartition(isPartitioned func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isPartitioned = isPartitioned
}

// silence makes the connections that are open now go silent; new ones work. It returns how many.
func (w *connProxy) blackhole(match func(from, to string) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for s := range w.conns {
		if match(s.from, s.to) && !s.blackholed {
			s.blackholed = true
			count++
		}
	}
	return count
}

// resetBytes forgets what was counted.
func (w *connProxy) resetBytes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.byteCounts)
}

// bytes sums the bytes that a filter chooses.
func (w *connProxy) bytes(match func(direction) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for d, n := range w.byteCounts {
		if match(d) {
			total += n
		}
	}
	return total
}
