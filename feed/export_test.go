package feed

import (
	"time"

	"github.com/cowslipward/cowslipward/fleet"
)

// IsRelay reports whether the process serves subscribers.
func (f *Feed) IsRelay() bool { return f.relayReady.Load() }

// Pause simulates a pause of the process that lasted for the gap.
func (f *Feed) Pause(gap time.Duration) { f.onPause(gap) }

// Member returns the member of the table with the VM name.
func (f *Feed) Member(vm string) (fleet.Member, bool) { return f.table.Get(vm) }
