package main

import "time"

// oldFlows keeps flows open for longer than flowTtlS. With the trouble, hosts discard flows from that age on, also while
// a request is at work on them, and return their packets.
func oldFlows(f *fleet, trouble bool) error {
	const hosts, oldCount, youngCount = 5, 100, 30
	if err := f.prepare(3, 6, "bench"); err != nil {
		return err
	}
	for n := range hosts {
		c := hostConfig{service: "bench", slots: 9, zone: f.zones[n%len(f.zones)]}
		if trouble {
			c.maxFlowAge = flowTTL
		}
		if _, _, err := f.addHost(c); err != nil {
			return err
		}
	}
	if err := f.awaitStart(); err != nil {
		return err
	}
	l := newLoad(f)
	post := kind{name: "post", method: "POST", route: route(0), work: 350 * time.Millisecond, bytes: 600, deadline: 5 * time.Second}
	photo := kind{name: "photo", method: "GET", route: route(0), work: 5 * time.Millisecond, deadline: 8 * time.Second}
	for n := range oldCount {
		l.keepAsking(f.clients[n%len(f.clients)], post, 500*time.Millisecond)
	}
	time.Sleep(40 * time.Second)
	for n := range youngCount {
		l.keepAsking(f.clients[n%len(f.clients)], photo, 4*time.Second)
	}
	time.Sleep(40 * time.Second)
	l.stop()
	return nil
}
