// Command cowslip-balancer forwards callers' QUIC datagrams to agents. It runs on an entry VM.
package main

import (
	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/internal/daemon"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/settings"
)

func main() {
	program := daemon.Program{
		Name:  "cowslip-balancer",
		Short: "Forward callers' QUIC datagrams to agents",
		Load: func(file string) (*settings.Common, func(*keys.Store) fx.Option, error) {
			s, err := settings.LoadBalancer(file)
			if err != nil {
				return nil, nil, err
			}
			return &s.Common, func(store *keys.Store) fx.Option { return module(s, store) }, nil
		},
	}
	daemon.LimitMemory()
	program.Main()
}
