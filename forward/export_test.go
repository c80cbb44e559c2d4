package forward

import "github.com/cowslipward/cowslipward/dispatch"

// Decisions returns how many decisions of the cause this process has made.
func Decisions(cause dispatch.Cause) uint64 { return decisions[cause].Get() }
