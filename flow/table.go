package flow

import "time"

// Table stores one value per flow. Entries that are not used within the idle timeout expire, and a full table evicts
// entries that were not used recently. The loss of an entry costs one search for the target of its flow. The table is
// not safe for concurrent use.
type Table[V any] struct {
	idleTimeout     time.Duration
	generationLimit int       // maximum number of entries per generation
	current         map[Key]V // entries used since the last rotation
	previous        map[Key]V // other entries, which the next rotation discards
	rotatedAt       time.Duration
}

// NewTable returns a table that keeps entries for at least idleTimeout after their last use, and at most
// maxEntries of them.
func NewTable[V any](idleTimeout time.Duration, maxEntries int) *Table[V] {
	return &Table[V]{idleTimeout: idleTimeout, generationLimit: max(1, maxEntries/2), current: make(map[Key]V), previous: make(map[Key]V)}
}

// SetIdleTimeout changes how long entries stay after their last use.
func (t *Table[V]) SetIdleTimeout(idleTimeout time.Duration) { t.idleTimeout = idleTimeout }

// Get returns the entry of a flow and counts as a use of it.
func (t *Table[V]) Get(key Key, now time.Duration) (V, bool) {
	t.rotate(now)
	if v, ok := t.current[key]; ok {
		return v, true
	}
	v, ok := t.previous[key]
	if ok {
		t.current[key] = v
		delete(t.previous, key)
	}
	return v, ok
}

// Peek returns what Get would, but does not count as a use of the entry.
func (t *Table[V]) Peek(key Key, now time.Duration) (V, bool) {
	v, ok := t.current[key]
	if !ok && !t.isRotationDue(now) {
		v, ok = t.previous[key]
	}
	return v, ok
}

// Put sets the entry of a flow.
func (t *Table[V]) Put(key Key, v V, now time.Duration) {
	t.rotate(now)
	t.current[key] = v
	delete(t.previous, key)
}

// Delete removes the entry of a flow.
func (t *Table[V]) Delete(key Key) {
	delete(t.current, key)
	delete(t.previous, key)
}

// Len returns the number of entries.
func (t *Table[V]) Len() int { return len(t.current) + len(t.previous) }

// Each calls f for each entry until f returns false.
func (t *Table[V]) Each(f func(Key, V) bool) {
	for _, m := range []map[Key]V{t.current, t.previous} {
		for key, v := range m {
			if !f(key, v) {
				return
			}
		}
	}
}

// rotate starts a new generation once the current one is full or older than the idle timeout.
func (t *Table[V]) rotate(now time.Duration) {
	if !t.isRotationDue(now) {
		return
	}
	t.previous, t.current = t.current, make(map[Key]V)
	t.rotatedAt = now
}

func (t *Table[V]) isRotationDue(now time.Duration) bool {
	return now-t.rotatedAt >= t.idleTimeout || len(t.current) >= t.generationLimit
}
