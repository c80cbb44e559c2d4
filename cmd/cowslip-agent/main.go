// Command cowslip-agent runs on the VM of each target. It terminates callers' QUIC connections and forwards
// their requests to the target.
package main

import (
	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/internal/daemon"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/settings"
)

func main() {
	program := daemon.Program{
		Name:  "cowslip-agent",
		Short: "Terminate callers' QUIC connections and forward requests to the local target",
		Load: func(file string) (*settings.Common, func(*keys.Store) fx.Option, error) {
			s, err := settings.LoadAgent(file)
			if err != nil {
				return nil, nil, err
			}
			return &s.Common, func(store *keys.Store) fx.Option { return module(s, store) }, nil
		},
	}
	program.Main()
}
