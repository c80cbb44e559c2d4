package soak

import "time"

// rewriteDelay is how long after a restoration the operator and the targets write again what was lost.
const rewriteDelay = 1500 * time.Millisecond

// restoreStore restores the store from a backup that is some seconds old. What was lost is written again.
func (f *faults) restoreStore(i injection) {
	if _, busy := f.busy.LoadOrStore("backup", true); busy {
		return
	}
	defer f.busy.Delete("backup")
	backup := f.bed.Store.TakeBackup()
	time.Sleep(i.last)
	lost := f.bed.Store.Restore(backup)
	time.Sleep(time.Duration(i.random.Int64N(int64(rewriteDelay))))
	f.bed.Store.WriteAgain(lost)
}
