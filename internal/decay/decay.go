// Package decay implements values that decay exponentially over time.
package decay

import (
	"math"
	"time"
)

// Value is a number that halves with each half-life after it was set.
type Value struct {
	value float64
	at    time.Duration
}

// At returns the decayed value at a monotonic time.
func (v *Value) At(now, halfLife time.Duration) float64 {
	if v.value == 0 {
		return 0
	}
	return v.value * math.Exp2(-float64(now-v.at)/float64(halfLife))
}

// Set sets the value at a monotonic time.
func (v *Value) Set(value float64, now time.Duration) { v.value, v.at = value, now }
