package worker

import (
	"fmt"
	"sync"
	"time"
)

// Judge holds the promises against what the runners see. One judge watches all
// runners of a test.
type Judge struct {
	mu sync.Mutex
	// running are the runs going on, by task.
	running map[string][]Where
	faults  []string
	starts  int
	done    map[string]int
	began   time.Time
	// refused are jobs that were turned away, with no attempt taken.
	refused map[string]bool
	ran     map[string]bool
}

// Where a run goes on.
type Where struct {
	Runner   string
	Instance string
	// Born is when the runner's process was started.
	Born time.Time
	Run  int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{running: map[string][]Where{}, done: map[string]int{}, began: time.Now(), refused: map[string]bool{}, ran: map[string]bool{}}
}

func (j *Judge) fault(format string, args ...any) {
	j.faults = append(j.faults, fmt.Sprintf("%7.3f s: ", time.Since(j.began).Seconds())+fmt.Sprintf(format, args...))
}

// Fault takes note of a broken promise.
func (j *Judge) Fault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fault(format, args...)
}

// started takes note of a run's begin. Two runs of one task at a time break the
// promise that a task runs once.
func (j *Judge) started(task string, w Where) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	j.ran[jobOf(task)] = true
	if others := j.running[task]; len(others) > 0 {
		j.fault("task %s runs at %v and begins at %v", task, others, w)
	}
	j.running[task] = append(j.running[task], w)
}

func (j *Judge) ended(task string, w Where, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if how == Done {
		j.done[task]++
	}
	kept := j.running[task][:0]
	for _, o := range j.running[task] {
		if o != w {
			kept = append(kept, o)
		}
	}
	j.running[task] = kept
	if len(kept) == 0 {
		delete(j.running, task)
	}
}

// Completed holds a job's whole answer against the runners' records.
func (j *Judge) Completed(job string, tasks int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range tasks {
		if task := fmt.Sprintf("%s.0.0.%d", job, i); j.done[task] == 0 {
			j.fault("job %s was said to be completed, task %d has not ended done", job, i)
		}
	}
}

// Refused takes note of a job of which every attempt was refused as not run.
func (j *Judge) Refused(job string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused[job] = true
}

// Faults returns the broken promises.
func (j *Judge) Faults() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := append([]string(nil), j.faults...)
	for job := range j.refused {
		if j.ran[job] {
			all = append(all, "job "+job+" was refused as not run, and a task of it began")
		}
	}
	return all
}

// Starts counts the runs begun.
func (j *Judge) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts
}

// Running counts the runs going on.
func (j *Judge) Running() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.running)
}

func jobOf(task string) string {
	for i, c := range task {
		if c == '.' {
			return task[:i]
		}
	}
	return task
}
