package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
)

func vmAt(name string, port uint16) fleet.VM {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(port >> 8), byte(port)}), 7400)
	return fleet.VM{Name: name, FailureDomain: "a", Role: fleet.RoleTarget, Data: address, Control: address}
}

func record(vm fleet.VM, started, sequence uint64, state fleet.State) *fleet.Member {
	r := fleet.MemberRecord{VM: vm, Started: started, Sequence: sequence, State: state, Weight: fleet.WeightFull}
	return &fleet.Member{Record: r}
}

// Guards against a late or repeated record that overwrites a newer one, and against a down flag that is lost
// before, or survives, a newer record of the process.
func TestMergeOrder(t *testing.T) {
	vm := vmAt("bench-1", 1)
	table := fleet.NewTable()
	require.True(t, table.Merge(record(vm, 10, 5, fleet.StateServing)))
	require.False(t, table.Merge(record(vm, 10, 4, fleet.StateDraining)), "lower sequence")
	require.False(t, table.Merge(record(vm, 9, 99, fleet.StateDraining)), "earlier process")
	down := record(vm, 10, 5, fleet.StateServing)
	down.Down = true
	require.True(t, table.Merge(down))
	require.False(t, table.Merge(record(vm, 10, 5, fleet.StateServing)), "the same record does not clear Down")
	member, _ := table.Get("bench-1")
	require.True(t, member.Down)
	require.True(t, table.Merge(record(vm, 10, 6, fleet.StateServing)))
	member, _ = table.Get("bench-1")
	require.False(t, member.Down, "a newer record clears it")
}

// Guards against a stale VM list that restores an older state, and against a VM list that removes a live process.
func TestVMListDoesNotRemoveLiveProcess(t *testing.T) {
	vm := vmAt("bench-1", 1)
	table := fleet.NewTable()
	require.True(t, table.ApplyVMList("a", 7, []fleet.VM{vm}))
	require.True(t, table.Merge(record(vm, 10, 1, fleet.StateServing)))
	require.True(t, table.ApplyVMList("a", 8, nil))
	require.False(t, table.ApplyVMList("a", 7, []fleet.VM{vm}), "stale list")
	member, _ := table.Get("bench-1")
	require.False(t, member.Listed)
	require.Len(t, table.View(benchRules(), nil).Targets(1), 1)
}

// Guards against memory that grows with each VM that was ever replaced: 2,500 replacements in a day, each of
// which stops the process and removes the VM from the list.
func TestTableStaysBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const live, day = 100, 2500
		relay, subscriber := fleet.NewTable(), fleet.NewTable()
		var vms []fleet.VM
		for i := range live + day {
			vms = append(vms, vmAt(fmt.Sprintf("bench-%d", i), uint16(i)))
			if len(vms) > live {
				relay.Merge(record(vms[0], 1, 2, fleet.StateStopped))
				vms = vms[1:]
			}
			require.True(t, relay.ApplyVMList("a", uint64(i+1), vms))
			relay.Merge(record(vms[len(vms)-1], 1, 1, fleet.StateServing))
			time.Sleep(24 * time.Hour / day)
			relay.Prune("a")
			changed, _ := relay.ChangesSince(0, "")
			for k := range changed {
				subscriber.Merge(&changed[k])
			}
			subscriber.Prune("")
		}
		require.LessOrEqual(t, relay.Len(), live+10)
		require.LessOrEqual(t, subscriber.Len(), live+10)
	})
}

// Guards against two eligible targets at one address after a VM was replaced by one with another name.
func TestReplacedVMIsSuperseded(t *testing.T) {
	old, successor := record(vmAt("bench-1", 1), 10, 1, fleet.StateServing), record(vmAt("bench-9", 1), 20, 1, fleet.StateServing)
	view := fleet.NewView(benchRules(), fleet.Observation{
		Records: []fleet.MemberRecord{old.Record, successor.Record},
	})
	require.False(t, view.Targets(1)[0].Eligible(), "bench-1")
	require.True(t, view.Targets(1)[1].Eligible(), "bench-9")
	require.Equal(t, "bench-9", view.TargetByAddress(successor.Record.VM.Data).VM.Name)
}
