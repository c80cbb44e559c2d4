package load

import (
	"context"
	"crypto/tls"
	"net/netip"

	"github.com/quic-go/quic-go/http3"

	"github.com/cowslipward/cowslipward/keys"
)

// Place is where the callers find the services.
type Place interface {
	KeyDir() string
	ServiceAddress(name string) (netip.AddrPort, error)
}

// Callers open flows to the services of a place.
type Callers struct {
	place Place
	tls   *tls.Config
	raw   *rawDialer
}

// NewCallers returns callers that trust the place's CA for callers.
func NewCallers(place Place) (*Callers, error) {
	set, err := keys.Load(place.KeyDir())
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: set.CallerCA, NextProtos: []string{http3.NextProtoH3}}
	return &Callers{place: place, tls: config, raw: &rawDialer{tls: config}}, nil
}

// DialRaw opens a flow that is one bare connection.
func (c *Callers) DialRaw(ctx context.Context, service string) (Flow, error) {
	address, err := c.place.ServiceAddress(service)
	if err != nil {
		return nil, err
	}
	return c.raw.open(ctx, address)
}
