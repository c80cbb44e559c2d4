package feed

import (
	"time"

	"github.com/cowslipward/cowslipward/fleet"
)

// IsRelay reports whether the process serves subscribers.
func (f *Feed) IsRelay() bool { return f.relayReady.Load() }

// Pause makes the feed believe that the process was not running.
func (f *Feed) Pause(gap time.Duration) { f.onPause(gap) }

// Member returns what the process knows of a VM.
func (f *Feed) Member(vm string) (fleet.Member, bool) { return f.table.Get(vm) }
