package pause

import "time"

// SimulatePause makes the last tick older by d, as a pause of the process does.
func (d *Detector) SimulatePause(gap time.Duration) { d.last.Add(-int64(gap)) }

// Running reports whether the detector has begun to tick.
func (d *Detector) Running() bool { return d.last.Load() != 0 }
