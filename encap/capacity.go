package encap

import (
	"math"
	"time"
)

// Capacity is the part of a report that tells how much work the target takes well. Balancers of versions without it
// ignore its bytes.
type Capacity struct {
	WaitCode     uint8 // time that a new request would wait for a slot; see WaitCode
	Limit        uint8 // requests in progress that the target takes well; 0: unknown
	RouteTag     uint8 // identifies the route that DurationCode is about; see RouteTag
	DurationCode uint8 // mean time in which the target answers requests of that route; see DurationCode
}

// capacityBytes is the length of an encoded Capacity.
const capacityBytes = 4

func (c Capacity) append(b []byte) []byte {
	return append(b, c.WaitCode, c.Limit, c.RouteTag, c.DurationCode)
}

func decodeCapacity(b []byte) Capacity {
	return Capacity{WaitCode: b[0], Limit: b[1], RouteTag: b[2], DurationCode: b[3]}
}

// waitUnit is the unit of WaitCode.
const waitUnit = 4 * time.Millisecond

// WaitCode encodes a waiting time. Times above the range are encoded as the highest code.
func WaitCode(wait time.Duration) uint8 { return Clamp8(int(wait / waitUnit)) }

// Wait returns the time that a WaitCode stands for.
func Wait(code uint8) time.Duration { return time.Duration(code) * waitUnit }

// DurationCode 1 stands for shortestDuration, and each further code for a time that is longer by the factor
// durationStep. The codes cover the range up to 25 s.
const (
	shortestDuration = 100 * time.Microsecond
	durationStep     = 1.05
)

// DurationCode encodes a duration on a logarithmic scale. It returns 0, which means unknown, for a duration of zero or
// less. Durations outside the range are encoded as its nearest end.
func DurationCode(d time.Duration) uint8 {
	if d <= 0 {
		return 0
	}
	steps := math.Log(float64(d)/float64(shortestDuration)) / math.Log(durationStep)
	return uint8(min(max(math.Round(steps), 0), math.MaxUint8-1)) + 1
}

// Duration returns the time that a DurationCode stands for, or 0 if it is unknown.
func Duration(code uint8) time.Duration {
	if code == 0 {
		return 0
	}
	return time.Duration(float64(shortestDuration) * math.Pow(durationStep, float64(code-1)))
}
