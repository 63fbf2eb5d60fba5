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
		// Stopping the load does not cancel a pending submission, so that its reply
		// is recorded and checked, too.
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

// CheckResult is the result of checking a set of replies against the recorded starts. Its
// field names are keys in the benchmarks' result files.
type CheckResult struct {
	Complete int
	Failed   int
	Refused  int
	NoAnswer int
	// Unknown counts the tasks for which the answer says that they may have run.
	Unknown int
	// Codes counts the answers with an error, by error code.
	Codes map[string]int
	// Faults lists the violations found.
	Faults []string
}

// Check checks replies against the starts that the runners recorded: no task started
// twice, every task of a completed job started exactly once, no task reported as not
// run was started, and every answer to a completed job has a result for each task.
func Check(starts Starts, replies []Reply) CheckResult {
	c := CheckResult{Codes: map[string]int{}}
	for task, n := range starts.Tasks {
		if n > 1 {
			c.addViolation("task %s started %d times", task, n)
		}
	}
	for _, r := range replies {
		c.checkReply(starts, r)
	}
	return c
}

func (c *CheckResult) addViolation(format string, args ...any) {
	c.Faults = append(c.Faults, fmt.Sprintf(format, args...))
}

func (c *CheckResult) checkReply(starts Starts, r Reply) {
	if r.Answer != nil && r.Answer.Error != nil {
		c.Codes[r.Answer.Error.Code]++
	}
	switch {
	case r.Err != nil:
		c.NoAnswer++
	case r.Answer.OK():
		c.Complete++
		c.checkCompleted(starts, r)
	case r.Answer.Ran() == "no":
		c.Refused++
		c.checkNotRun(starts, r)
	default:
		c.Failed++
		c.checkFailed(starts, r)
	}
}

func (c *CheckResult) checkCompleted(starts Starts, r Reply) {
	if len(r.Answer.Tasks) != len(r.Job.Tasks) {
		c.addViolation("%s: %d results for %d tasks", r.Answer.Submission, len(r.Answer.Tasks), len(r.Job.Tasks))
		return
	}
	for i := range r.Job.Tasks {
		if n := starts.Tasks[taskKey(r, i)]; n != 1 {
			c.addViolation("%s reported as completed but started %d times", taskKey(r, i), n)
		}
	}
}

func (c *CheckResult) checkNotRun(starts Starts, r Reply) {
	for i := range r.Job.Tasks {
		if starts.Tasks[taskKey(r, i)] > 0 {
			c.addViolation("%s reported as not run (%s) but started", taskKey(r, i), r.Answer.Error.Code)
		}
	}
}

func (c *CheckResult) checkFailed(starts Starts, r Reply) {
	for i, task := range r.Answer.Tasks {
		n := starts.Tasks[taskKey(r, i)]
		switch task.Ran {
		case "no":
			if n > 0 {
				c.addViolation("%s reported as not run (%s) but started", taskKey(r, i), task.Code)
			}
		case "yes":
			if n == 0 {
				c.addViolation("%s reported as run (%s) but not started", taskKey(r, i), task.Code)
			}
		case "unknown":
			c.Unknown++
		default:
			c.addViolation("%s: invalid value of ran: %q", taskKey(r, i), task.Ran)
		}
	}
}

func taskKey(r Reply, i int) string {
	return fmt.Sprintf("%s/%d", r.Answer.Submission, i)
}
