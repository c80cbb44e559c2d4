package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is what a proxy does to connections.
type mode int

const (
	modePass   mode = iota
	modeDelay       // answers come late
	modeSilent      // open connections and new ones hang, nothing is reset
	modeOneWay      // calls arrive, answers do not
	modeReset       // connections are reset
	modeCount
)

func (m mode) String() string {
	return [...]string{"pass", "delay", "silent", "one way", "reset"}[m]
}

const proxyDelay = 300 * time.Millisecond

// proxy is a TCP proxy on loopback that harms what passes.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to.String(), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// set changes the mode. A connection that was silenced stays so, as behind a middlebox that forgot it.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == modeReset {
		p.reset()
	}
}

func (p *proxy) get() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) keep(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.keep(conn)
		if p.get() == modeReset {
			p.reset()
			continue
		}
		out, err := net.Dial("tcp4", p.to)
		if err != nil {
			_ = conn.Close()
			continue
		}
		p.keep(out)
		go p.copy(out, conn, false)
		go p.copy(conn, out, true)
	}
}

// copy moves bytes one way until an end closes, as the mode says.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			m := p.get()
			silent = silent || m == modeSilent || (m == modeOneWay && answers)
			if m == modeDelay && answers {
				time.Sleep(proxyDelay)
			}
			if !silent {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return // an end closed the connection
		}
	}
}
