package engine

import (
	"context"
	"time"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/task"
)

type taskState uint8

const (
	pending taskState = iota
	running
	ended
)

// job is an accepted job. It is guarded by the lock of its service, except for the fields set by
// newJob, and for answer once answered is closed.
type job struct {
	Job
	id       scheduler.JobID
	accepted time.Time
	deadline time.Time
	// ctx ends when the job is cancelled or has failed; every start of its tasks uses it.
	ctx    context.Context
	cancel context.CancelFunc

	states []taskState
	// priorRan says for each task whether an earlier start of it ran.
	priorRan []task.Ran
	outcomes []task.Outcome
	// inFlight counts the tasks that are running, remaining those that have not ended.
	inFlight  int
	remaining int

	answered chan struct{}
	answer   *Answer
}

func newJob(j Job, now time.Time) *job {
	n := len(j.Tasks)
	ctx, cancel := context.WithCancel(context.Background())
	j.Idempotent = j.Idempotent && n == 1
	return &job{
		Job:       j,
		id:        scheduler.JobID(j.ID),
		accepted:  now,
		deadline:  now.Add(j.AnswerTime),
		ctx:       ctx,
		cancel:    cancel,
		states:    make([]taskState, n),
		priorRan:  make([]task.Ran, n),
		outcomes:  make([]task.Outcome, n),
		remaining: n,
		answered:  make(chan struct{}),
	}
}

func (j *job) schedulerJob() scheduler.Job {
	tasks := make([]scheduler.Task, len(j.Tasks))
	var size int64
	for i, t := range j.Tasks {
		tasks[i] = scheduler.Task{Kind: t.Kind, Declared: t.Declared}
		size += int64(len(t.Payload))
	}
	return scheduler.Job{
		ID:         j.id,
		Client:     j.Client,
		Priority:   j.Priority,
		Accepted:   j.accepted,
		Deadline:   j.deadline,
		RunLimit:   j.RunLimit,
		Bytes:      size,
		Tasks:      tasks,
		Idempotent: j.Idempotent,
	}
}

func (j *job) newCall(a scheduler.Assignment) task.Call {
	t := j.Tasks[a.Task.Index]
	return task.Call{
		Assignment: a,
		Submission: j.ID,
		Client:     j.Client,
		Service:    j.Service,
		Kind:       t.Kind,
		Payload:    t.Payload,
		Priority:   j.Priority,
		Deadline:   j.deadline,
		RunLimit:   j.RunLimit,
	}
}

// start marks a pending task as running. It returns false if the task is not pending.
func (j *job) start(index int) bool {
	if index < 0 || index >= len(j.states) || j.states[index] != pending {
		return false
	}
	j.states[index] = running
	j.inFlight++
	return true
}

// requeue marks a running task as pending again. It returns false, and the task ends, unless the
// task certainly did not start or its caller declared it idempotent. The scheduler's decision does
// not override this.
func (j *job) requeue(index int, ran task.Ran) bool {
	if j.answer != nil || (ran != task.RanNo && !j.Idempotent) {
		return false
	}
	j.states[index] = pending
	j.priorRan[index] = combineRan(j.priorRan[index], ran)
	j.inFlight--
	return true
}

// finish ends a running task. The outcomes of an answered job do not change any more.
func (j *job) finish(index int, o task.Outcome) {
	j.states[index] = ended
	j.inFlight--
	if j.answer != nil {
		return
	}
	j.remaining--
	o.Ran = combineRan(o.Ran, j.priorRan[index])
	j.outcomes[index] = o
}

// resolveUnfinished sets the outcome of every task that has not ended.
func (j *job) resolveUnfinished(code task.Code) {
	for i, state := range j.states {
		switch state {
		case pending:
			j.outcomes[i] = task.Outcome{Code: code, Ran: combineRan(task.RanNo, j.priorRan[i])}
			j.states[i] = ended
		case running:
			j.outcomes[i] = task.Outcome{Code: code, Ran: combineRan(task.RanUnknown, j.priorRan[i])}
		}
	}
	j.remaining = 0
}
