package main

import "time"

// Size of the releases: of 7 hosts, 3 are replaced in a release, one at a time.
const (
	releases        = 6
	hostsPerRelease = 3
	releaseGap      = time.Second
	betweenReleases = 2 * time.Second
)

// leavingPort replaces the hosts of a service in releases. A host that leaves reports draining, takes no new connections
// for health checks if closePort is set, keeps its flows, and answers the requests that it has. Most requests take 5 ms;
// some take 430 ms, the most that the site file of the small deployment allows, and a host leaves while it has one.
func leavingPort(f *fleet, trouble bool, closePort bool) error {
	const hosts = 7
	if err := f.prepare(3, 6, "bench"); err != nil {
		return err
	}
	var running []*host
	for n := range hosts {
		_, h, err := f.addHost(hostConfig{service: "bench", slots: 9, zone: f.zones[n%len(f.zones)]})
		if err != nil {
			return err
		}
		running = append(running, h)
	}
	if err := f.awaitStart(); err != nil {
		return err
	}
	l := newLoad(f)
	l.startMixed()
	time.Sleep(betweenReleases)
	for range releases {
		for range hostsPerRelease {
			if trouble {
				next, err := f.replace(running[0], closePort)
				if err != nil {
					return err
				}
				running = append(running[1:], next)
			}
			time.Sleep(releaseGap)
		}
		time.Sleep(betweenReleases)
	}
	l.stop()
	return nil
}

// startMixed starts short and long requests on flows of their own, and short ones with pauses on long flows.
func (l *load) startMixed() {
	photo := kind{name: "photo", method: "GET", route: route(0), work: 5 * time.Millisecond, deadline: 8 * time.Second}
	post := kind{name: "post", method: "POST", route: route(0), work: 72 * time.Millisecond, bytes: 900, deadline: 5 * time.Second}
	longPost := kind{name: "long-post", method: "POST", route: route(0), work: 430 * time.Millisecond, bytes: 1300, deadline: 5 * time.Second}
	for n := range 14 {
		l.keepAsking(l.fleet.clients[n%len(l.fleet.clients)], photo, 3*time.Second)
	}
	l.keepOpening(photo, 350)
	l.keepOpening(post, 8)
	l.keepOpening(longPost, 16)
}

// Times of a planned shutdown of a host.
const (
	startTime  = time.Second     // how long the new host runs before the old one drains
	drainTime  = 3 * time.Second // drainMs
	afterDrain = 2 * time.Second // how much longer the old host serves
)

// replace starts a new host and lets an old one leave: it drains, serves on and ends.
func (f *fleet) replace(old *host, closePort bool) (*host, error) {
	_, next, err := f.addHost(hostConfig{service: old.service, slots: old.slots, zone: old.zone})
	if err != nil {
		return nil, err
	}
	time.Sleep(startTime)
	old.awaitLongWork(startTime)
	f.rec.add("host %s reports draining (closes its port: %t)", old.id, closePort)
	old.drain(closePort)
	go func() {
		time.Sleep(drainTime + afterDrain)
		f.rec.add("host %s ends with %d flows", old.id, old.openFlows())
		old.stop()
		f.store.RemoveTarget(old.id)
	}()
	return next, nil
}
