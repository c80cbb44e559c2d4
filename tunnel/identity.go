package tunnel

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/cowslipward/cowslipward/connid"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// identity is what a view contains about this agent and its return paths. It is computed once per view:
// searching the rules for each packet would mean scanning the glob patterns of thousands of services.
type identity struct {
	view      *fleet.View
	service   rules.ServiceID // zero if no service's pool contains this VM
	address   netip.AddrPort  // of the service
	domain    rules.DomainID  // zero if the rules do not declare the domain
	domainOut bool            // this agent's failure domain is out

	balancersOut map[netip.AddrPort]bool // balancers in domains that are out
}

// currentIdentity returns the identity in the current view.
func (c *Conn) currentIdentity() *identity {
	view := c.cfg.Source.View()
	if id := c.identity.Load(); id != nil && id.view == view {
		return id
	}
	id := &identity{view: view}
	if service := view.Rules().ServiceOfVM(c.cfg.VM); service != nil {
		id.service = service.ID
		id.address = service.Address
	}
	if domain := view.Rules().DomainByName(c.cfg.Domain); domain != nil {
		id.domain = domain.ID
		id.domainOut = domain.Out
	}
	id.findBalancersOut()
	c.identity.Store(id)
	return id
}

func (id *identity) findBalancersOut() {
	records := id.view.Balancers()
	for i := range records {
		domain := id.view.Rules().DomainByName(records[i].VM.FailureDomain)
		if domain == nil || !domain.Out {
			continue
		}
		if id.balancersOut == nil {
			id.balancersOut = make(map[netip.AddrPort]bool)
		}
		id.balancersOut[records[i].VM.Data] = true
	}
}

// idGenerator generates connection IDs that route to this agent.
type idGenerator struct {
	conn    *Conn
	counter atomic.Uint32
}

// newGenerator returns a generator that starts at a random counter, so that a process with the incarnation of
// an earlier one, which happens once in 65,536 restarts, does not repeat its IDs.
func newGenerator(c *Conn) *idGenerator {
	g := &idGenerator{conn: c}
	g.counter.Store(rand.Uint32())
	return g
}

// ConnectionIDGenerator returns the connection ID generator for quic.Transport.
func (c *Conn) ConnectionIDGenerator() quic.ConnectionIDGenerator { return c.ids }

// errNoIdentity is returned if a new connection ID could not be routed back to this agent.
var errNoIdentity = errors.New("tunnel: the rules name no service or failure domain for this VM")

// GenerateConnectionID returns an ID that this process has not issued before. The counter wraps after 16.7
// million IDs.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := g.conn.currentIdentity()
	if id.service == 0 || id.domain == 0 {
		return quic.ConnectionID{}, errNoIdentity
	}
	var buf [connid.Len]byte
	g.conn.link.Codecs().ID.Encode(buf[:], connid.ID{
		Agent:       g.conn.cfg.Advertise,
		Service:     id.service,
		Domain:      id.domain,
		Incarnation: g.conn.cfg.Incarnation,
		Counter:     g.counter.Add(1) & connid.MaxCounter,
	})
	return quic.ConnectionIDFromBytes(buf[:]), nil
}

// ConnectionIDLen returns the length of every ID in bytes.
func (g *idGenerator) ConnectionIDLen() int { return connid.Len }
