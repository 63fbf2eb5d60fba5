package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what clients, runners and the operator have seen, in the order of their times.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	begun time.Time
	// starts are the starts that runners have begun, in order.
	starts []startSeen
}

type startSeen struct {
	at      time.Duration
	job     string
	task    string
	run     int
	runner  string
	id      string
	service string
	labels  []string
	endedAt time.Duration
	outcome string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{out: bufio.NewWriter(f), file: f, begun: time.Now()}
}

func (r *record) now() time.Duration { return time.Since(r.begun) }

func (r *record) add(format string, args ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.line(format, args...)
}

func (r *record) line(format string, args ...any) time.Duration {
	at := r.now()
	_, _ = fmt.Fprintf(r.out, "%9.4f s  %s\n", at.Seconds(), fmt.Sprintf(format, args...))
	return at
}

// runStarted is called with the runner's lock held.
func (r *record) runStarted(x *runner, task string, run int, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.line("runner %s (%s, labels %v, service %s) starts %s run %d: %s", x.name, x.id, x.labels, x.service, task, run, spec)
	r.starts = append(r.starts, startSeen{at: at, job: jobOf(task), task: task, run: run, runner: x.name, id: x.id, service: x.service, labels: x.labels})
}

func (r *record) runEnded(x *runner, task string, run int, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.line("runner %s: %s run %d ends: %s", x.name, task, run, outcome)
	for i := len(r.starts) - 1; i >= 0; i-- {
		if s := &r.starts[i]; s.task == task && s.run == run && s.runner == x.name && s.endedAt == 0 {
			s.endedAt, s.outcome = at, outcome
			return
		}
	}
}

// startsOf returns the starts of a job.
func (r *record) startsOf(job string) []startSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	var of []startSeen
	for _, s := range r.starts {
		if s.job == job {
			of = append(of, s)
		}
	}
	return of
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
