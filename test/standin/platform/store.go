package platform

import (
	"context"
	"strings"
	"sync"
	"time"
)

// value is a value of the store with the index of its last write. The index is 0 if the key does not exist.
type value struct {
	index uint64
	data  []byte
}

// store is a set of versioned values with blocking reads. All keys share one sequence of indexes.
type store struct {
	mu      sync.Mutex
	index   uint64
	values  map[string]value
	changed chan struct{} // closed and replaced on each write
}

func newStore() *store {
	return &store{values: make(map[string]value), changed: make(chan struct{})}
}

// put writes a value, wakes the waiting readers and returns the value's index.
func (s *store) put(key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.values[key] = value{index: s.index, data: data}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.index
}

// get returns the current value and a channel that is closed at the next write of any key.
func (s *store) get(key string) (value, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], s.changed
}

// copy returns a store with the current values, which later writes to s do not change.
func (s *store) copy() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	frozen := newStore()
	frozen.index = s.index
	for key, v := range s.values {
		frozen.values[key] = v
	}
	return frozen
}

// await blocks until the index of the value is above afterIndex and returns the value. It returns the current value at
// once if afterIndex is 0, and when the wait time has passed, the context is done or interrupt is closed.
func (s *store) await(ctx context.Context, interrupt <-chan struct{}, key string, afterIndex uint64, wait time.Duration) value {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v, changed := s.get(key)
		if afterIndex == 0 || v.index > afterIndex {
			return v
		}
		select {
		case <-changed:
		case <-interrupt:
			return v
		case <-timer.C:
			return v
		case <-ctx.Done():
			return v
		}
	}
}

// domains returns the failure domains that have a VM list.
func (s *store) domains() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var domains []string
	for key := range s.values {
		if domain, ok := strings.CutPrefix(key, vmsKey); ok {
			domains = append(domains, domain)
		}
	}
	return domains
}
