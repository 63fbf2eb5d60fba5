package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	begin   time.Time
	running map[string]int // runs at work, by task
	Runs    []RunRecord
	broken  []string
}

// RunRecord is one run.
type RunRecord struct {
	Runner, Life, Task string
	Number             int
	Start, End         time.Time
	How                string
}

func newRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &Record{file: f, begin: time.Now(), running: map[string]int{}}
}

func (r *Record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *Record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that the rule was broken.
func (r *Record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.line("BROKEN: "+format, args...)
}

func (r *Record) runStarted(runner, life, task string, number int, used, capacity int64, labels []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Runs = append(r.Runs, RunRecord{Runner: runner, Life: life, Task: task, Number: number, Start: time.Now()})
	r.running[task]++
	r.line("%s starts %s run %d, uses %d of %d %v; runs of it at work: %d", runner, task, number, used, capacity, labels, r.running[task])
}

func (r *Record) runEnded(runner, task string, number int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]--
	for i := range r.Runs {
		if x := &r.Runs[i]; x.Runner == runner && x.Task == task && x.Number == number && x.End.IsZero() {
			x.End, x.How = time.Now(), how
		}
	}
	r.line("%s ends %s run %d: %s", runner, task, number, how)
}

// runsOf returns the runs of a job.
func (r *Record) runsOf(job string) []RunRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []RunRecord
	for _, x := range r.Runs {
		if jobOf(x.Task) == job {
			all = append(all, x)
		}
	}
	return all
}

// finish writes the result and returns the exit code.
func (r *Record) finish() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) > 0 {
		r.line("result: broken, %d times", len(r.broken))
		fmt.Printf("broken, %d times; the first: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	r.line("result: held")
	fmt.Println("held")
	return 0
}
