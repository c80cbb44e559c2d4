package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what clients sent and got, what hosts ran, and which rules were broken.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken int
	counts map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now(), counts: make(map[string]int)}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// count counts an event by name without a line.
func (r *record) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// breach records that a rule was broken.
func (r *record) breach(rule, format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.add("BROKEN "+rule+": "+format, args...)
}

// breaches returns how often a rule was broken.
func (r *record) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
