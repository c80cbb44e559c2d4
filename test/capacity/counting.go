package main

import (
	"net"
	"sync/atomic"
)

// counters count what crosses the edge of the measured process, in bytes of TCP payload.
type counters struct {
	FromMeasured atomic.Int64
	ToMeasured   atomic.Int64
	Reads        atomic.Int64 // queries to the platform
	Reports      atomic.Int64
	Changes      atomic.Int64
	Revisions    atomic.Int64
}

// snapshot is a reading of the counters.
type snapshot struct {
	FromMeasured, ToMeasured, Reads, Reports, Changes, Revisions int64
}

func (c *counters) read() snapshot {
	return snapshot{
		FromMeasured: c.FromMeasured.Load(), ToMeasured: c.ToMeasured.Load(), Reads: c.Reads.Load(),
		Reports: c.Reports.Load(), Changes: c.Changes.Load(), Revisions: c.Revisions.Load(),
	}
}

// countingConn counts the bytes of a connection of the measured process, seen from the other end.
type countingConn struct {
	net.Conn
	c *counters
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.FromMeasured.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.ToMeasured.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	c *counters
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, c: l.c}, nil
}
