package feed

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
)

// Guards against a number of relays that does not match the size of the domain, balancers that become relays of a large
// domain, and VMs that never started being chosen as relays.
func TestChoiceOfRelays(t *testing.T) {
	cases := []struct{ balancers, targets, absent, relays int }{
		{balancers: 1, relays: 1},
		{balancers: 1, targets: 1, relays: 2},
		{balancers: 1, targets: 3, relays: 3},
		{balancers: 1, targets: 3, absent: 50, relays: 3},
		{balancers: 90, targets: 888, absent: 20, relays: 16},
	}
	for _, c := range cases {
		ranks := &domainRankings{}
		for i := range c.balancers + c.targets + c.absent {
			m := &fleet.Member{Listed: true}
			m.Record.VM = fleet.VM{Name: fmt.Sprintf("vm-%d", i), Role: fleet.RoleTarget, Control: netip.MustParseAddrPort("10.0.0.1:1")}
			if i < c.balancers {
				m.Record.VM.Role = fleet.RoleBalancer
			}
			if i < c.balancers+c.targets {
				m.Record.Started = 1
			} else {
				m.Record.VM.Name = fmt.Sprintf("absent-%d", i)
			}
			ranks.add(m)
		}
		chosen := chooseRelays(ranks.candidates())
		require.Len(t, chosen, c.relays, "%+v", c)
		for _, vm := range chosen {
			require.NotContains(t, vm.Name, "absent")
			require.False(t, c.relays > readersPerDomain && vm.Role == fleet.RoleBalancer, vm.Name)
		}
	}
}
