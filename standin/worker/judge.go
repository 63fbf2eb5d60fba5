package worker

import (
	"fmt"
	"sync"
	"time"
)

// Checker checks the platform's guarantees against the runs that the stand-in
// runners observe. All runners of a test share one Checker.
type Checker struct {
	mu sync.Mutex
	// running maps each task to its current runs.
	running    map[string][]RunLocation
	violations []string
	starts     int
	done       map[string]int
	createdAt  time.Time
	// rejectedJobs are jobs that were rejected without any attempt having been accepted.
	rejectedJobs map[string]bool
	startedJobs  map[string]bool
	events       []TraceEvent
	cordons      cordons
}

// RunLocation identifies a run and the runner process that executes it.
type RunLocation struct {
	Runner   string
	Instance string
	// ProcessStart is the start time of the runner's process.
	ProcessStart time.Time
	Run          int
}

// NewChecker returns a Checker without any recorded runs.
func NewChecker() *Checker {
	return &Checker{running: map[string][]RunLocation{}, done: map[string]int{}, createdAt: time.Now(), rejectedJobs: map[string]bool{}, startedJobs: map[string]bool{}}
}

func (j *Checker) addViolation(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf("%7.3f s: ", time.Since(j.createdAt).Seconds())+fmt.Sprintf(format, args...))
}

// ReportViolation records a violated guarantee.
func (j *Checker) ReportViolation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addViolation(format, args...)
}

// runStarted records the start of a run. Two concurrent runs of one task violate the
// guarantee that a task runs once.
func (j *Checker) runStarted(task string, w RunLocation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	j.startedJobs[jobOf(task)] = true
	j.addRun(task, w)
}

// runContinued records that a run continues that was taken to have ended with its lease.
func (j *Checker) runContinued(task string, w RunLocation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addRun(task, w)
}

// addRun adds a run to the current ones. The caller holds the lock.
func (j *Checker) addRun(task string, w RunLocation) {
	if current := j.running[task]; len(current) > 0 {
		j.addViolation("task %s is running at %v and was started at %v as well", task, current, w)
	}
	j.running[task] = append(j.running[task], w)
}

func (j *Checker) runEnded(task string, w RunLocation, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if outcome == Done {
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

// JobCompleted checks a job that was reported as completed with all its tasks: the
// runners must have recorded a successful run of each task.
func (j *Checker) JobCompleted(job string, tasks int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range tasks {
		if task := fmt.Sprintf("%s.0.0.%d", job, i); j.done[task] == 0 {
			j.addViolation("job %s was reported as completed, but no run of task %d ended successfully", job, i)
		}
	}
}

// JobRejected records a job all of whose attempts were rejected as not run.
func (j *Checker) JobRejected(job string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rejectedJobs[job] = true
}

// Violations returns the violated guarantees.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := append([]string(nil), j.violations...)
	for job := range j.rejectedJobs {
		if j.startedJobs[job] {
			all = append(all, "job "+job+" was rejected as not run, but one of its tasks was started")
		}
	}
	return all
}

// Starts returns the number of runs that were started.
func (j *Checker) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts
}

// Running returns the number of tasks that have a run at the moment.
func (j *Checker) Running() int {
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
