package platform

import (
	"context"
	"strings"
	"sync"
	"time"
)

// value is one versioned value of the store.
type value struct {
	index uint64
	data  []byte
}

// store holds versioned values and wakes readers that wait for a newer version.
type store struct {
	mu      sync.Mutex
	index   uint64
	values  map[string]value
	changed chan struct{} // closed and replaced on each write
}

func newStore() *store {
	return &store{values: make(map[string]value), changed: make(chan struct{})}
}

// put writes a value and returns its index.
func (s *store) put(key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.values[key] = value{index: s.index, data: data}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.index
}

func (s *store) get(key string) (value, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], s.changed
}

// copy returns a store that holds the current values and no longer changes.
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

// await returns the value once its index is above the one given, or the current one when the wait is over, the context
// ends or interrupt is closed.
func (s *store) await(ctx context.Context, interrupt <-chan struct{}, key string, above uint64, wait time.Duration) value {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v, changed := s.get(key)
		if above == 0 || v.index > above {
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
