package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// way is a TCP proxy between the balancers and the store. While it is down, it resets connections, as a store does that
// is down.
type way struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	down   bool
	conns  map[net.Conn]bool
	reader netip.Addr // that called last
}

func newWay(to netip.AddrPort) (*way, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &way{listener: listener, to: to.String(), conns: make(map[net.Conn]bool)}
	go w.run()
	return w, nil
}

func (w *way) address() string { return w.listener.Addr().String() }

func (w *way) run() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.carry(conn)
	}
}

func (w *way) carry(conn net.Conn) {
	out, err := net.Dial("tcp4", w.to)
	if err != nil || !w.keep(conn, out) {
		w.drop(conn)
		return
	}
	go func() {
		_, _ = io.Copy(out, callNotes{conn, w})
		w.drop(out)
	}()
	_, _ = io.Copy(conn, out)
	w.drop(conn)
}

// callNotes notes the caller of each call that it reads.
type callNotes struct {
	conn net.Conn
	way  *way
}

func (c callNotes) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	if n > 0 {
		from, _ := netip.ParseAddrPort(c.conn.RemoteAddr().String())
		c.way.mu.Lock()
		c.way.reader = from.Addr()
		c.way.mu.Unlock()
	}
	return n, err
}

// lastReader returns the address of the machine that called the store last.
func (w *way) lastReader() netip.Addr {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reader
}

// keep notes both ends of a connection. It reports false while the way is down.
func (w *way) keep(conn, out net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		_ = out.Close()
		return false
	}
	w.conns[conn], w.conns[out] = true, true
	return true
}

// drop resets one end of a connection.
func (w *way) drop(conn net.Conn) {
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// set takes the way down, which resets all connections, or up again.
func (w *way) set(down bool) {
	w.mu.Lock()
	w.down = down
	conns := make([]net.Conn, 0, len(w.conns))
	for conn := range w.conns {
		conns = append(conns, conn)
	}
	w.mu.Unlock()
	if !down {
		return
	}
	for _, conn := range conns {
		w.drop(conn)
	}
}

func (w *way) close() {
	_ = w.listener.Close()
	w.set(true)
}
