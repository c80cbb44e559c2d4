package dispatch

import "time"

// wideSearchPathsPerSecond limits the paths over targets of other services than the route's. One of them takes about
// a kilobyte of the balancer's link, so that these searches use less than half of a link of 10 Mbit/s, whatever the
// number of targets and of flows without an owner.
const wideSearchPathsPerSecond = 500

// pathBudget limits the number of search paths per second. It allows a second's worth of paths at once.
type pathBudget struct {
	left      float64 // below zero after a search of more paths than were left
	updatedAt time.Duration
}

// take reports whether a search over the given number of paths may start now, and counts it if so.
func (b *pathBudget) take(paths int, now time.Duration) bool {
	b.left = min(wideSearchPathsPerSecond, b.left+(now-b.updatedAt).Seconds()*wideSearchPathsPerSecond)
	b.updatedAt = now
	if b.left <= 0 {
		return false
	}
	b.left -= float64(paths)
	return true
}
