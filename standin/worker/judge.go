package worker

import (
	"fmt"
	"sync"
	"time"
)

// Judge checks the platform's guarantees against the runs that the stand-in
// runners observe. All runners of a test share one Judge.
type Judge struct {
	mu sync.Mutex
	// running maps each task to its current runs.
	running    map[string][]Where
	violations []string
	starts     int
	done       map[string]int
	createdAt  time.Time
	// rejectedJobs are jobs that were rejected without any attempt having been accepted.
	rejectedJobs map[string]bool
	startedJobs  map[string]bool
}

// Where identifies a run and the runner process that executes it.
type Where struct {
	Runner   string
	Instance string
	// Born is the start time of the runner's process.
	Born time.Time
	Run  int
}

// NewJudge returns a Judge without any recorded runs.
func NewJudge() *Judge {
	return &Judge{running: map[string][]Where{}, done: map[string]int{}, createdAt: time.Now(), rejectedJobs: map[string]bool{}, startedJobs: map[string]bool{}}
}

func (j *Judge) addViolation(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf("%7.3f s: ", time.Since(j.createdAt).Seconds())+fmt.Sprintf(format, args...))
}

// Fault records a violated guarantee.
func (j *Judge) Fault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addViolation(format, args...)
}

// runStarted records the start of a run. Two concurrent runs of one task violate the
// guarantee that a task runs once.
func (j *Judge) runStarted(task string, w Where) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	j.startedJobs[jobOf(task)] = true
	if current := j.running[task]; len(current) > 0 {
		j.addViolation("task %s is running at %v and was started at %v as well", task, current, w)
	}
	j.running[task] = append(j.running[task], w)
}

func (j *Judge) runEnded(task string, w Where, outcome string) {
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

// Completed checks a job that was reported as completed with all its tasks: the
// runners must have recorded a successful run of each task.
func (j *Judge) Completed(job string, tasks int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range tasks {
		if task := fmt.Sprintf("%s.0.0.%d", job, i); j.done[task] == 0 {
			j.addViolation("job %s was reported as completed, but no run of task %d ended successfully", job, i)
		}
	}
}

// Refused records a job all of whose attempts were rejected as not run.
func (j *Judge) Refused(job string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rejectedJobs[job] = true
}

// Faults returns the violated guarantees.
func (j *Judge) Faults() []string {
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
func (j *Judge) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts
}

// Running returns the number of tasks that have a run at the moment.
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
