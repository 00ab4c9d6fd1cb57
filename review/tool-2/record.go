package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run: what was sent, answered and run, with the time since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// conclude adds a line that is also printed.
func (r *record) conclude(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
