package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
	broken    bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

// note adds a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that the rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = true
	r.write("BROKEN: "+format, args...)
}

func (r *record) wasBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
