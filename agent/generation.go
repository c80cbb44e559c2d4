package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// idleGrace is how long a draining connection without requests stays open. Requests that the caller sent
	// before it received the GOAWAY are rejected during this time.
	idleGrace = time.Second
	// drainPollPeriod is how often a drain checks for connections without requests and for running handoffs.
	drainPollPeriod = 100 * time.Millisecond
	// goAwayGrace is how long connections stay open after GOAWAY when the failure domain goes out.
	goAwayGrace = 100 * time.Millisecond
)

// generation is the set of connections accepted between two drains. A reverted drain needs a new generation,
// because an HTTP/3 server that has sent GOAWAY cannot accept requests again.
type generation struct {
	http        *http3.Server
	refusing    *http3.Server // refuses requests of connections whose handshake completes after the drain began
	drained     chan struct{} // closed when a drain has closed the last connection
	markDrained func()

	mu           sync.Mutex
	closing      bool
	conns        map[*quic.Conn]*connection
	unregistered sync.WaitGroup // connections that http3 does not track yet
}

// connection is the state that a generation keeps for a caller's connection.
type connection struct {
	quic           *quic.Conn
	requests       int
	idleSince      time.Time
	markRegistered func()
}

type connectionKey struct{}

func newGeneration(handler http.Handler) *generation {
	g := &generation{conns: make(map[*quic.Conn]*connection), drained: make(chan struct{})}
	g.markDrained = sync.OnceFunc(func() { close(g.drained) })
	g.http = &http3.Server{MaxHeaderBytes: maxRequestHeaderBytes, Handler: g.countRequests(handler), ConnContext: g.register}
	g.refusing = &http3.Server{MaxHeaderBytes: maxRequestHeaderBytes, Handler: http.HandlerFunc(refuseDraining)}
	return g
}

// serve handles the requests of a connection until it closes.
func (g *generation) serve(conn *quic.Conn) {
	if !g.add(conn) {
		g.serveRefusing(conn)
		return
	}
	defer g.remove(conn)
	_ = g.http.ServeQUICConn(conn)
}

// serveRefusing refuses the requests of a connection that was admitted before the drain began. If the connection
// were closed immediately, the caller could not tell that its requests did not run.
func (g *generation) serveRefusing(conn *quic.Conn) {
	timer := time.AfterFunc(idleGrace, func() { _ = conn.CloseWithError(CodeNoError, reasonDraining) })
	defer timer.Stop()
	_ = g.refusing.ServeQUICConn(conn)
}

func refuseDraining(w http.ResponseWriter, _ *http.Request) {
	outcome{refused: notRun(reasonDraining)}.respond(w)
}

func (g *generation) add(conn *quic.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing {
		return false
	}
	g.unregistered.Add(1)
	g.conns[conn] = &connection{quic: conn, idleSince: time.Now(), markRegistered: sync.OnceFunc(g.unregistered.Done)}
	return true
}

func (g *generation) remove(conn *quic.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[conn].markRegistered()
	delete(g.conns, conn)
}

// register is called once http3 tracks the connection. A shutdown before that would not wait for the connection.
func (g *generation) register(ctx context.Context, conn *quic.Conn) context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.conns[conn]
	c.markRegistered()
	return context.WithValue(ctx, connectionKey{}, c)
}

// countRequests wraps a handler to count the running requests of each connection.
func (g *generation) countRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connectionKey{}).(*connection)
		g.addRequests(c, 1)
		defer g.addRequests(c, -1)
		handler.ServeHTTP(w, r)
	})
}

func (g *generation) addRequests(c *connection, delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.requests += delta
	if c.requests == 0 {
		c.idleSince = time.Now()
	}
}

// drain sends GOAWAY, lets running requests finish and closes connections without requests. It returns when all
// connections are closed; any that remain when the context ends are cut off.
func (g *generation) drain(ctx context.Context) error {
	g.mu.Lock()
	g.closing = true
	g.mu.Unlock()
	g.unregistered.Wait()
	done := make(chan error, 1)
	go func() { done <- g.http.Shutdown(ctx) }()
	begin := time.Now()
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case now := <-ticker.C:
			if now.Sub(begin) >= idleGrace {
				g.closeIdle(now)
			}
		}
	}
}

func (g *generation) closeIdle(now time.Time) {
	for _, c := range g.list() {
		g.mu.Lock()
		idle := c.requests == 0 && now.Sub(c.idleSince) >= idleGrace
		g.mu.Unlock()
		if idle {
			_ = c.quic.CloseWithError(CodeNoError, reasonDraining)
		}
	}
}

func (g *generation) list() []*connection {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns := make([]*connection, 0, len(g.conns))
	for _, c := range g.conns {
		conns = append(conns, c)
	}
	return conns
}

// closeAll sends GOAWAY and, after goAwayGrace, closes all connections with an error.
func (g *generation) closeAll(code quic.ApplicationErrorCode, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*goAwayGrace)
	defer cancel()
	time.AfterFunc(goAwayGrace, func() {
		for _, c := range g.list() {
			_ = c.quic.CloseWithError(code, text)
		}
	})
	_ = g.drain(ctx)
	g.markDrained()
}
