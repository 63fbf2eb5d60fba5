package queue

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/internal/indexed"
)

// Job is a job with tasks that have not ended. The caller sets the exported fields before Add
// and only reads them afterwards.
type Job struct {
	ID     string
	Client string
	// Weight is the client's weight in fair queueing.
	Weight   float64
	Accepted time.Time
	Deadline time.Time
	Bytes    int64
	// Idempotent is true if the job's tasks may be started again after an unknown outcome.
	Idempotent bool
	// Estimates are the expected run times of the tasks, by index.
	Estimates []time.Duration
	// AdmissionEstimates are the run times that count for the tasks in the admission of other jobs,
	// by index; nil takes Estimates. The order of jobs uses Estimates.
	AdmissionEstimates []time.Duration

	// left counts the unfinished tasks, work is the sum of their estimates.
	left    int
	work    time.Duration
	longest time.Duration
	// waiting holds the indexes of the waiting tasks, sorted by estimate except for returned
	// ones; the last, normally the longest, is started next.
	waiting []int
	seq     uint64
	key     float64
	removed bool
	account *account
	// sizeClass is the size class of the job by the expected work of all its tasks, added the
	// time when the job was added.
	sizeClass int
	added     time.Time
	// aged is set once the job has reached agesAt; from then on it takes turns with the first
	// job by the order.
	aged   bool
	agesAt time.Time

	position         int
	agePosition      int
	deadlinePosition int
}

// Left returns the number of unfinished tasks.
func (j *Job) Left() int { return j.left }

// Work returns the expected run time of all unfinished tasks together.
func (j *Job) Work() time.Duration { return j.work }

// Longest returns the expected run time of the job's longest task.
func (j *Job) Longest() time.Duration { return j.longest }

// Shortest returns the expected run time of the shortest waiting task. A task must be waiting.
func (j *Job) Shortest() time.Duration { return j.Estimates[j.waiting[0]] }

// Waiting returns the number of tasks that are not started.
func (j *Job) Waiting() int { return len(j.waiting) }

// Removed reports whether the job was removed from the queue.
func (j *Job) Removed() bool { return j.removed }

// prepare initializes the state of a new job. Tasks with a long expected run time go first: a
// job ends with its last task, and a long one started last would delay that.
func (j *Job) prepare(seq uint64) {
	j.seq = seq
	j.left = len(j.Estimates)
	j.position = indexed.None
	j.agePosition = indexed.None
	j.deadlinePosition = indexed.None
	j.waiting = make([]int, j.left)
	if j.AdmissionEstimates == nil {
		j.AdmissionEstimates = j.Estimates
	}
	for i, estimate := range j.Estimates {
		j.waiting[i] = j.left - 1 - i
		j.work += estimate
	}
	j.sort()
}

// sort sorts the waiting tasks by estimate and finds the longest estimate of all tasks.
func (j *Job) sort() {
	j.longest = 0
	for _, estimate := range j.Estimates {
		j.longest = max(j.longest, estimate)
	}
	slices.SortStableFunc(j.waiting, func(a, b int) int {
		return int(j.Estimates[a] - j.Estimates[b])
	})
}
