package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// flowTTL is the age from which flows are not judged, as the settings of the small deployments have it.
const flowTTL = 60 * time.Second

// load drives the clients and judges what they see.
type load struct {
	fleet  *fleet
	rec    *record
	number atomic.Int64
	end    chan struct{}
	group  sync.WaitGroup
}

func newLoad(f *fleet) *load { return &load{fleet: f, rec: f.rec, end: make(chan struct{})} }

// stop ends the load and waits for the requests in progress.
func (l *load) stop() {
	close(l.end)
	l.group.Wait()
}

func (l *load) isOver() bool {
	select {
	case <-l.end:
		return true
	default:
		return false
	}
}

// pause waits, unless the load ends before.
func (l *load) pause(d time.Duration) {
	select {
	case <-l.end:
	case <-time.After(d):
	}
}

// kind is a kind of request.
type kind struct {
	name, method string
	route        endpoint
	work         time.Duration
	bytes        int
	deadline     time.Duration
}

// ask sends a request on a flow and judges its end.
func (l *load) ask(f *clientFlow, k kind) error {
	r := &request{
		id: fmt.Sprintf("%s-%d", k.name, l.number.Add(1)), method: k.method, work: k.work, bytes: k.bytes, deadline: k.deadline,
	}
	l.rec.count(k.name + " asked")
	err := f.do(r)
	if err == nil {
		l.rec.count(k.name + " answered")
		l.rec.add("request %s is answered", r.id)
		return nil
	}
	l.rec.count(k.name + " failed")
	l.rec.add("request %s on flow %s fails: %v", r.id, f.key, err)
	if errors.Is(err, errReset) {
		l.judgeReset(f, r.id)
	}
	return err
}

// judgeReset applies rule FLOW (a) to a reset of the system that a client accepted on an open flow.
func (l *load) judgeReset(f *clientFlow, id string) {
	h, since := l.fleet.holder(f.key)
	switch {
	case h == nil:
		l.rec.count("resets of flows that no host holds")
		l.rec.add("flow %s was reset, and no host holds it", f.key)
	case time.Since(since) > flowTTL:
		l.rec.count("resets of flows older than flowTtlS")
		l.rec.add("flow %s was reset, %.1f s old, which is not judged", f.key, time.Since(since).Seconds())
	default:
		l.rec.breach("FLOW", "open flow %s (request %s) was reset by the system while host %s holds it", f.key, id, h.id)
	}
}

// keepAsking keeps one flow open for many requests with pauses between them, and opens another when it ends.
func (l *load) keepAsking(c *client, k kind, pause time.Duration) {
	l.group.Go(func() {
		var f *clientFlow
		for !l.isOver() {
			var err error
			if f == nil {
				if f, err = c.openFlow(k.route); err != nil {
					l.rec.count("flows refused")
					l.pause(pause)
					continue
				}
			}
			if err = l.ask(f, k); err != nil || f.ended {
				f.close()
				f = nil
			}
			l.pause(pause/2 + rand.N(pause))
		}
		if f != nil {
			f.close()
		}
	})
}

// keepOpening opens a flow for each request, at a mean rate a second.
func (l *load) keepOpening(k kind, perS float64) {
	l.group.Go(func() {
		for n := 0; !l.isOver(); n++ {
			c := l.fleet.clients[n%len(l.fleet.clients)]
			l.group.Go(func() { l.askOnce(c, k) })
			l.pause(time.Duration(rand.ExpFloat64() / perS * float64(time.Second)))
		}
	})
}

func (l *load) askOnce(c *client, k kind) {
	f, err := c.openFlow(k.route)
	if err != nil {
		l.rec.count("flows refused")
		return
	}
	_ = l.ask(f, k)
	f.close()
}
