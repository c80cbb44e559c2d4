package capacity

import "time"

const (
	// slowBelow is the speed below which a target counts as slow, and normalFrom the speed from which it no longer
	// does. The distance bounds the number of log lines of a target whose speed is near the threshold.
	slowBelow  = 0.5
	normalFrom = 0.6
)

// Change is what a report changed.
type Change struct {
	Implausible   bool // a value of the report was out of its range and was bounded or ignored
	LimitFrom     int  // limit before and after the report; equal if it did not change
	LimitTo       int
	BecameSlow    bool // the speed fell below a half
	BecameNormal  bool // the speed is no longer below a half
	Speed         float64
	RouteDuration time.Duration // longest duration of a route
}

// IsLogged reports whether the change is worth a log line.
func (c *Change) IsLogged() bool {
	return c.Implausible || c.BecameSlow || c.BecameNormal || c.LimitFrom != c.LimitTo
}

func (c *Change) speedChanged(t *Target, now time.Duration) {
	c.Speed = t.Speed(now)
	switch {
	case !t.slow && c.Speed < slowBelow:
		t.slow, c.BecameSlow = true, true
	case t.slow && c.Speed >= normalFrom:
		t.slow, c.BecameNormal = false, true
	}
	if c.BecameSlow || c.BecameNormal {
		c.RouteDuration = t.LongestDuration(now)
	}
}
