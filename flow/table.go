package flow

import "time"

// Table remembers a value for each flow that was seen lately. It is bounded in time and in entries: an entry that is
// not used for the idle time goes, and a full table forgets the entries that were not used lately. The loss of an entry
// costs the flow one search. The table is not safe for concurrent use.
type Table[V any] struct {
	idle    time.Duration
	limit   int // entries of each generation
	young   map[Key]V
	old     map[Key]V
	rotated time.Duration
}

// NewTable returns a table that keeps entries for at least idle after their last use, and at most limit of them.
func NewTable[V any](idle time.Duration, limit int) *Table[V] {
	return &Table[V]{idle: idle, limit: max(1, limit/2), young: make(map[Key]V), old: make(map[Key]V)}
}

// SetIdleTimeout changes how long entries stay after their last use.
func (t *Table[V]) SetIdleTimeout(idle time.Duration) { t.idle = idle }

// Get returns the entry of a flow and counts as a use.
func (t *Table[V]) Get(key Key, now time.Duration) (V, bool) {
	t.rotate(now)
	if v, ok := t.young[key]; ok {
		return v, true
	}
	v, ok := t.old[key]
	if ok {
		t.young[key] = v
		delete(t.old, key)
	}
	return v, ok
}

// Put sets the entry of a flow.
func (t *Table[V]) Put(key Key, v V, now time.Duration) {
	t.rotate(now)
	t.young[key] = v
	delete(t.old, key)
}

// Delete forgets a flow.
func (t *Table[V]) Delete(key Key) {
	delete(t.young, key)
	delete(t.old, key)
}

// Len returns the number of entries.
func (t *Table[V]) Len() int { return len(t.young) + len(t.old) }

// Each calls f for each entry until f returns false.
func (t *Table[V]) Each(f func(Key, V) bool) {
	for _, m := range []map[Key]V{t.young, t.old} {
		for key, v := range m {
			if !f(key, v) {
				return
			}
		}
	}
}

// rotate starts a new generation once the present one is full or old enough.
func (t *Table[V]) rotate(now time.Duration) {
	if now-t.rotated < t.idle && len(t.young) < t.limit {
		return
	}
	t.old, t.young = t.young, make(map[Key]V)
	t.rotated = now
}
