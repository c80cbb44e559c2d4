package main

import (
	"syscall"
	"time"
)

// coldDeployment starts three hosts of a service that bear 10 requests a second while cold, and a load of short requests.
func coldDeployment(f *fleet, perS float64) (*load, []*machine, []*host, error) {
	if err := f.prepare(3, 6, []serviceConfig{{name: "guides", warmupPerS: coldPerS, warmupS: coldTime.Seconds()}}); err != nil {
		return nil, nil, nil, err
	}
	var machines []*machine
	var hosts []*host
	for n := range 3 {
		m, h, err := f.addHost(hostConfig{service: "guides", slots: 7, zone: f.zones[n]})
		if err != nil {
			return nil, nil, nil, err
		}
		machines, hosts = append(machines, m), append(hosts, h)
	}
	if err := f.awaitStart(); err != nil {
		return nil, nil, nil, err
	}
	l := newLoad(f)
	guide := kind{name: "guide", method: "GET", route: route(0), work: 20 * time.Millisecond, deadline: 8 * time.Second}
	l.keepOpening(guide, perS)
	time.Sleep(3 * time.Second)
	return l, machines, hosts, nil
}

const (
	coldPerS = 10
	coldTime = 2 * time.Second
	// crashTime is how long a host is down after a crash.
	crashTime = 400 * time.Millisecond
)

// coldStoreDown lets a host crash and start again under its id while the store is down.
func coldStoreDown(f *fleet, trouble bool) error {
	l, machines, hosts, err := coldDeployment(f, 200)
	if err != nil {
		return err
	}
	if trouble {
		f.setStoreDown(true)
		time.Sleep(500 * time.Millisecond)
		if err := f.restartCold(machines[0], hosts[0], crashTime); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		f.setStoreDown(false)
	}
	time.Sleep(10 * time.Second)
	l.stop()
	return nil
}

// coldCrash lets a host crash and start again under its id.
func coldCrash(f *fleet, trouble bool) error {
	l, machines, hosts, err := coldDeployment(f, 200)
	if err != nil {
		return err
	}
	if trouble {
		if err := f.restartCold(machines[0], hosts[0], crashTime); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	l.stop()
	return nil
}

// coldAgentKilled kills the agent beside a cold host, which is started again at once.
func coldAgentKilled(f *fleet, trouble bool) error {
	l, _, _, err := coldDeployment(f, 200)
	if err != nil {
		return err
	}
	m, _, err := f.addHost(hostConfig{service: "guides", slots: 7, zone: f.zones[0], warmup: coldTime, warmupPerS: coldPerS})
	if err != nil {
		return err
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		f.signal(m, syscall.SIGKILL)
		time.Sleep(200 * time.Millisecond)
		if err := f.start(m); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	l.stop()
	return nil
}

// restartCold ends a host and starts it again under its id after a pause. It is cold then.
func (f *fleet) restartCold(m *machine, h *host, pause time.Duration) error {
	f.rec.add("host %s crashes", h.id)
	h.stop()
	time.Sleep(pause)
	c := h.hostConfig
	c.warmup, c.warmupPerS, c.fallsOver = coldTime, coldPerS, true
	_, err := f.startHost(m, c)
	return err
}
