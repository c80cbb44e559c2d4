package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add(format, args...)
}

// at returns a time as it stands in the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.4f", t.Sub(r.start).Seconds()) }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
