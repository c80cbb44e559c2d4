package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/loadcontrol"
	"github.com/cowslipward/cowslipward/targetgate"
)

// Guards against balancers that miss every capacity because they get only every second report, and against bytes in
// reports of a target that is not under load control, or in other datagrams.
func TestCapacityIsRepeatedForAlternateReports(t *testing.T) {
	next := func(s loadcontrol.Settings, balancers int) (reports []encap.Capacity) {
		a := &Agent{gate: targetgate.New(), balancers: make([]balancerPeer, balancers)}
		a.gate.SetLoadControl(s, "bench")
		a.gate.Offer(&targetgate.Offer{Slots: 2}, time.Second)
		require.Zero(t, a.statusHeader(encap.KindReturn, time.Second).Capacity)
		for n := range 4 {
			reports = append(reports, a.reportHeader(time.Second+time.Duration(n)*reportInterval).Capacity)
		}
		return reports
	}
	on := loadcontrol.Settings{MaxSlots: 2, LearnedCapacity: true}
	require.Equal(t, []encap.Capacity{capacity.Unknown, {}, {}, {}}, next(on, 50))
	require.Equal(t, []encap.Capacity{capacity.Unknown, capacity.Unknown, {}, {}}, next(on, 51))
	require.Equal(t, make([]encap.Capacity, 4), next(loadcontrol.Settings{}, 51))
}
