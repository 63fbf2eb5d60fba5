package harness

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Reply is the outcome of one submission as observed by its caller.
type Reply struct {
	Answer *Answer
	// Err is set if no answer arrived: the caller doesn't know whether the job ran.
	Err error
	Job Job
}

// Load submits jobs from concurrent callers until it is stopped, and records
// every reply.
type Load struct {
	mu      sync.Mutex
	replies []Reply
	stop    context.CancelFunc
	callers sync.WaitGroup
}

// StartLoad starts callers that submit jobs sequentially to the entries, round-robin.
// A caller that gets no answer continues with a new job.
func StartLoad(ctx context.Context, account string, callers int, entries []*Entry, job func(n int) Job) *Load {
	ctx, stop := context.WithCancel(ctx)
	l := &Load{stop: stop}
	for i := range callers {
		l.callers.Go(func() { l.runCaller(ctx, NewClient(account), i, callers, entries, job) })
	}
	return l
}

func (l *Load) runCaller(ctx context.Context, client *Client, i, step int, entries []*Entry, job func(n int) Job) {
	for n := i; ctx.Err() == nil; n += step {
		j := job(n)
		// Stopping the load does not cancel a pending submission, so that Check checks
		// its reply, too.
		answer, err := client.Run(context.WithoutCancel(ctx), entries[n%len(entries)].Callers, j)
		l.add(Reply{Answer: answer, Err: err, Job: j})
		if err != nil || !answer.OK() {
			time.Sleep(pollInterval)
		}
	}
}

func (l *Load) add(r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, r)
}

// Count returns the number of replies so far.
func (l *Load) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.replies)
}

// Stop waits until every caller has finished its current job, and returns all replies.
func (l *Load) Stop() []Reply {
	l.stop()
	l.callers.Wait()
	return l.replies
}

// CheckResult is the result of checking a set of replies against the recorded starts.
type CheckResult struct {
	Complete int
	Failed   int
	Rejected int
	NoAnswer int
	// Unknown counts the tasks for which the answer says that they may have run.
	Unknown int
	// Codes counts the answers with an error, by error code.
	Codes map[string]int
	// Violations lists the violations found.
	Violations []string
}

// Check checks replies against the starts that the runners recorded: no task started
// twice, every task of a completed job started exactly once, no task reported as not
// run was started, and every answer to a completed job has a result for each task.
func Check(starts Starts, replies []Reply) CheckResult {
	v := CheckResult{Codes: map[string]int{}}
	for task, n := range starts.Tasks {
		if n > 1 {
			v.addViolation("task %s started %d times", task, n)
		}
	}
	for _, r := range replies {
		v.checkReply(starts, r)
	}
	return v
}

func (v *CheckResult) addViolation(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}

func (v *CheckResult) checkReply(starts Starts, r Reply) {
	if r.Answer != nil && r.Answer.Error != nil {
		v.Codes[r.Answer.Error.Code]++
	}
	switch {
	case r.Err != nil:
		v.NoAnswer++
	case r.Answer.OK():
		v.Complete++
		v.checkCompleted(starts, r)
	case r.Answer.Ran() == "no":
		v.Rejected++
		v.checkNotRun(starts, r)
	default:
		v.Failed++
		v.checkFailed(starts, r)
	}
}

func (v *CheckResult) checkCompleted(starts Starts, r Reply) {
	if len(r.Answer.Tasks) != len(r.Job.Tasks) {
		v.addViolation("%s: %d results for %d tasks", r.Answer.Submission, len(r.Answer.Tasks), len(r.Job.Tasks))
		return
	}
	for i := range r.Job.Tasks {
		if n := starts.Tasks[taskKey(r, i)]; n != 1 {
			v.addViolation("%s reported as completed but started %d times", taskKey(r, i), n)
		}
	}
}

func (v *CheckResult) checkNotRun(starts Starts, r Reply) {
	for i := range r.Job.Tasks {
		if starts.Tasks[taskKey(r, i)] > 0 {
			v.addViolation("%s reported as not run (%s) but started", taskKey(r, i), r.Answer.Error.Code)
		}
	}
}

func (v *CheckResult) checkFailed(starts Starts, r Reply) {
	for i, task := range r.Answer.Tasks {
		n := starts.Tasks[taskKey(r, i)]
		switch task.Ran {
		case "no":
			if n > 0 {
				v.addViolation("%s reported as not run (%s) but started", taskKey(r, i), task.Code)
			}
		case "yes":
			if n == 0 {
				v.addViolation("%s reported as run (%s) but not started", taskKey(r, i), task.Code)
			}
		case "unknown":
			v.Unknown++
		default:
			v.addViolation("%s: invalid value of ran: %q", taskKey(r, i), task.Ran)
		}
	}
}

func taskKey(r Reply, i int) string {
	return fmt.Sprintf("%s/%d", r.Answer.Submission, i)
}
