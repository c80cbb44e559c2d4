package balancer

import (
	"net/netip"

	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/rules"
)

// listener is the socket at the address of one service.
type listener struct {
	service rules.ServiceID
	name    string
	address netip.AddrPort // bound address
	conn    *udpbatch.Conn
}

// bindAddress returns the address to bind for a service.
func (b *Balancer) bindAddress(service *rules.Service) netip.AddrPort {
	if b.cfg.ServiceHost.IsValid() {
		return netip.AddrPortFrom(b.cfg.ServiceHost, service.Address.Port())
	}
	return service.Address
}

// syncListeners opens and closes listeners to match the rules in force. Listeners whose address is unchanged
// stay open. A view without rules, as after a start without peers, closes nothing.
func (b *Balancer) syncListeners() {
	b.mu.Lock()
	defer b.mu.Unlock()
	set := b.cfg.Source.View().Rules()
	if set.Revision == 0 || b.link.Closed() || (set == b.boundRules && b.unbound.Load() == 0) {
		return
	}
	b.boundRules = set
	next := b.pruneListeners(set)
	unbound := int64(0)
	var opened []*listener
	for i := range set.Services {
		service := &set.Services[i]
		if next[service.ID] != nil {
			continue
		}
		l, err := b.openListener(service)
		if err != nil {
			unbound++
			if b.unbound.Load() == 0 {
				b.cfg.Log.Error("listen_failed", "service", service.Name, "error", err)
			}
			continue
		}
		next[service.ID] = l
		opened = append(opened, l)
	}
	b.unbound.Store(unbound)
	b.listeners.Store(&next)
	for _, l := range opened {
		b.readers.Add(1)
		go b.forward(l)
	}
}

// pruneListeners closes the listeners that the rules no longer need and returns the others. It runs before any
// bind, so that an address can move from one service to another.
func (b *Balancer) pruneListeners(set *rules.Set) listenerSet {
	next := make(listenerSet, len(set.Services))
	for id, l := range *b.listeners.Load() {
		if b.isInForce(l, set) {
			next[id] = l
			continue
		}
		_ = l.conn.Close()
		b.cfg.Log.Info("listener_closed", "service", l.name, "address", l.address)
	}
	return next
}

// isInForce reports whether the rules give the listener's address to its service. Rules that were not received yet, as
// after a start without peers, change nothing.
func (b *Balancer) isInForce(l *listener, set *rules.Set) bool {
	service := set.Service(l.service)
	return set.Revision == 0 || (service != nil && b.bindAddress(service) == l.address)
}

func (b *Balancer) openListener(service *rules.Service) (*listener, error) {
	address := b.bindAddress(service)
	conn, err := udpbatch.Listen(address)
	if err != nil {
		return nil, err
	}
	b.cfg.Log.Info("listener_opened", "service", service.Name, "address", address)
	return &listener{service: service.ID, name: service.Name, address: address, conn: conn}, nil
}
