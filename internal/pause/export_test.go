package pause

import "time"

// SimulatePause moves the last tick back by gap, as if the process had been paused for that time.
func (d *Detector) SimulatePause(gap time.Duration) { d.lastTick.Add(-int64(gap)) }

// Running reports whether Run has recorded its first tick.
func (d *Detector) Running() bool { return d.lastTick.Load() != 0 }
