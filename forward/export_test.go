package forward

import "github.com/cowslipward/cowslipward/dispatch"

// Decisions returns the number of decisions with the cause in this process.
func Decisions(cause dispatch.Cause) uint64 { return decisions[cause].Get() }
