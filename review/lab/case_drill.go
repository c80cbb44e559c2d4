package main

import (
	"syscall"
	"time"
)

const (
	evacuateTime = 5 * time.Second         // evacuateMs
	stableTime   = 4 * time.Second         // stableMs
	awayTime     = 2 * time.Second         // how long the store is away in the drill
	copyAge      = 3 * time.Second         // how old the copy is
	outTime      = 9 * time.Second         // how long a zone is evacuated
	backTime     = 5 * time.Second         // between two rounds
	darkTime     = 3500 * time.Millisecond // how long a killed machine is without power
)

// drillEvacuation has a drill of the store, after which the operator evacuates a zone. kill is whether the node that reads
// the store for the others loses power then.
func drillEvacuation(f *fleet, trouble, kill bool) error {
	const hosts, perS = 6, 100
	if err := f.prepare(3, 6, "members"); err != nil {
		return err
	}
	for n := range hosts {
		if _, _, err := f.addHost(hostConfig{service: "members", slots: 7, zone: f.zones[n%len(f.zones)]}); err != nil {
			return err
		}
	}
	if err := f.awaitStart(); err != nil {
		return err
	}
	l := newLoad(f)
	order := kind{name: "order", method: "POST", route: route(0), work: 52 * time.Millisecond, bytes: 900, deadline: 4 * time.Second}
	l.keepOpening(order, perS)
	err := f.drillOnce(f.zones[0], trouble, kill)
	l.stop()
	return err
}

// drillOnce restores the store from a copy and evacuates a zone for a while.
func (f *fleet) drillOnce(zone string, trouble, kill bool) error {
	backup := f.store.TakeBackup()
	time.Sleep(copyAge)
	if trouble {
		f.setStoreDown(true)
		time.Sleep(awayTime)
		lost := f.store.Restore(backup)
		f.rec.add("the store is restored from a copy that is %s old", copyAge+awayTime)
		f.setStoreDown(false)
		f.store.WriteAgain(lost)
	}
	f.evacuate(zone)
	time.Sleep(time.Second)
	var m *machine
	if kill && trouble {
		m = f.reader()
		f.router.exempt(m)
		f.signal(m, syscall.SIGKILL)
	}
	time.Sleep(darkTime)
	if m != nil {
		if err := f.start(m); err != nil {
			return err
		}
	}
	time.Sleep(outTime - time.Second - darkTime)
	f.takeBack(zone)
	return nil
}

// evacuate asks that nothing more is sent to the hosts of a zone, and judges what they get.
func (f *fleet) evacuate(zone string) {
	f.store.SetDomainOut(zone, true)
	acked := time.Now()
	f.rec.add("zone %s is evacuated", zone)
	for _, h := range f.hosts {
		if h.zone != zone {
			continue
		}
		h.onArrival(func(key flowKey) {
			late := time.Since(acked)
			f.rec.add("host %s of zone %s gets flow %s, %.3f s after the evacuation, from %s", h.id, zone, key, late.Seconds(), f.router.lastSent(key).node)
			if late > evacuateTime && !f.router.isExempt(key) {
				f.rec.breach("EVAC", "host %s of zone %s got flow %s, %.3f s after the evacuation", h.id, zone, key, late.Seconds())
			}
		})
	}
}

// takeBack ends the evacuation of a zone.
func (f *fleet) takeBack(zone string) {
	for _, h := range f.hosts {
		h.onArrival(nil)
	}
	f.store.SetDomainOut(zone, false)
	f.rec.add("zone %s is taken back", zone)
}

// reader returns the node that read the store last.
func (f *fleet) reader() *machine {
	ip := f.way.lastReader()
	for _, m := range f.fronts {
		if m.ip == ip {
			return m
		}
	}
	return f.fronts[0]
}
