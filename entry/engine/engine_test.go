package engine

import (
	"context"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/task"
)

// TestMain fixes the seed of the property tests unless the command line sets one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20262")
	flag.Parse()
	os.Exit(m.Run())
}

const serviceName = "teardown"

// openStart is one call of the fake starter that is open until the test replies.
type openStart struct {
	call  task.Call
	ctx   context.Context
	reply chan task.Outcome
}

// fakeStarter keeps every start open until the test ends it, even after its context has ended,
// because cancellation takes time.
type fakeStarter struct {
	mu   sync.Mutex
	open []*openStart
	// ranBefore holds, for each task, how its earlier starts ended.
	ranBefore  map[scheduler.TaskRef][]task.Ran
	idempotent map[string]bool
	duplicates []scheduler.TaskRef
}

func newFakeStarter() *fakeStarter {
	return &fakeStarter{ranBefore: map[scheduler.TaskRef][]task.Ran{}, idempotent: map[string]bool{}}
}

func (f *fakeStarter) Start(ctx context.Context, c task.Call) task.Outcome {
	s := &openStart{call: c, ctx: ctx, reply: make(chan task.Outcome, 1)}
	f.mu.Lock()
	if !f.mayStart(c) {
		f.duplicates = append(f.duplicates, c.Assignment.Task)
	}
	f.open = append(f.open, s)
	f.mu.Unlock()
	return <-s.reply
}

// mayStart checks the start guarantee: a task is started again only if it certainly did not start
// before or is idempotent, and never twice at the same time.
func (f *fakeStarter) mayStart(c task.Call) bool {
	for _, s := range f.open {
		if s.call.Assignment.Task == c.Assignment.Task {
			return false
		}
	}
	for _, ran := range f.ranBefore[c.Assignment.Task] {
		if ran != task.RanNo && !f.idempotent[c.Submission] {
			return false
		}
	}
	return true
}

func (f *fakeStarter) finish(i int, o task.Outcome) {
	f.mu.Lock()
	s := f.open[i]
	f.open = append(f.open[:i], f.open[i+1:]...)
	ref := s.call.Assignment.Task
	f.ranBefore[ref] = append(f.ranBefore[ref], o.Ran)
	f.mu.Unlock()
	s.reply <- o
}

// finishAll cancels every job and ends every start.
func (f *fakeStarter) finishAll(jobs []*submittedJob) {
	for _, s := range jobs {
		s.cancel()
	}
	synctest.Wait()
	for len(f.open) > 0 {
		f.finish(0, task.Outcome{Code: task.CodeLost, Ran: task.RanUnknown})
		synctest.Wait()
	}
}

func completed(c task.Call) task.Outcome {
	digest := sha256.Sum256(c.Payload)
	return task.Outcome{Ran: task.RanYes, Payload: c.Payload, Digest: digest[:], RunTime: time.Millisecond}
}

func payload(id string, index int) []byte { return fmt.Appendf(nil, "%s/%d", id, index) }

// submittedJob is a job from its caller's point of view.
type submittedJob struct {
	job      Job
	cancel   context.CancelFunc
	done     chan struct{}
	answer   *Answer
	err      error
	endCalls int
	deadline time.Time
}

func (s *submittedJob) answered() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func submit(e *Engine, f *fakeStarter, id string, tasks int, idempotent bool) *submittedJob {
	ctx, cancel := context.WithCancel(context.Background())
	s := &submittedJob{cancel: cancel, done: make(chan struct{}), deadline: time.Now().Add(time.Second)}
	s.job = Job{ID: id, Client: "shop", Service: serviceName, Priority: 1, AnswerTime: time.Second, RunLimit: time.Second,
		Idempotent: idempotent, OnEnd: func() { s.endCalls++ }}
	for i := range tasks {
		s.job.Tasks = append(s.job.Tasks, Task{Kind: "lookup", Payload: payload(id, i), Declared: time.Millisecond})
	}
	f.mu.Lock()
	f.idempotent[id] = idempotent && tasks == 1
	f.mu.Unlock()
	go func() {
		s.answer, s.err = e.Submit(ctx, s.job)
		close(s.done)
	}()
	return s
}

func newEngine(f *fakeStarter) *Engine {
	return New(Options{Starter: f, NewPolicy: func(string) scheduler.Policy {
		return scheduler.New(scheduler.Options{}, rand.New(rand.NewPCG(1, 2)))
	}})
}

// check verifies the guarantees of a job: it is answered as soon as it can be, its answer is
// complete or failed, and what the answer says about each task is true.
func (f *fakeStarter) check(t *rapid.T, s *submittedJob, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.duplicates), 0, "%v", f.duplicates)
	if !s.answered() {
		assert.Assert(t, !failed, "failed and not answered")
		assert.Assert(t, time.Now().Before(s.deadline), "due and not answered")
		return
	}
	open := map[int]bool{}
	for _, o := range f.open {
		if o.call.Submission == s.job.ID {
			open[o.call.Assignment.Task.Index] = true
		}
	}
	if s.err != nil {
		var r *Refusal
		assert.Assert(t, errors.As(s.err, &r))
		assert.Equal(t, len(open), 0)
		for i := range s.job.Tasks {
			assert.Equal(t, len(f.ranBefore[scheduler.TaskRef{Job: scheduler.JobID(s.job.ID), Index: i}]), 0)
		}
		assert.Equal(t, s.endCalls, 0)
		return
	}
	for i, o := range s.answer.Outcomes {
		ran := f.ranBefore[scheduler.TaskRef{Job: scheduler.JobID(s.job.ID), Index: i}]
		if s.answer.Complete() {
			assert.DeepEqual(t, o.Payload, payload(s.job.ID, i))
			assert.Equal(t, ran[len(ran)-1], task.RanYes)
		}
		if o.Ran == task.RanNo {
			assert.Assert(t, !open[i], "said not run, and runs")
			for _, r := range ran {
				assert.Equal(t, r, task.RanNo)
			}
		}
	}
	want := 0
	if len(open) == 0 {
		want = 1
	}
	assert.Equal(t, s.endCalls, want)
}

// rapidTB prevents rapid from reading the test's deadline, which is not allowed in a synctest
// bubble.
type rapidTB struct{ rapid.TB }

// TestEngineAgainstOracle drives the engine and the real scheduler with random outcomes,
// cancellations, expired deadlines, and endpoints that are added and removed. It compares each
// job's answer with what the fake endpoints saw.
func TestEngineAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(rapidTB{t}, checkEngine)
	})
}

func checkEngine(t *rapid.T) {
	f := newFakeStarter()
	e := newEngine(f)
	defer e.stopTimers()
	var jobs []*submittedJob
	defer func() { f.finishAll(jobs) }() // also when rapid aborts the run
	failed := map[string]bool{}
	outcomes := map[string]func(c task.Call) task.Outcome{
		"ok":       completed,
		"cut":      func(c task.Call) task.Outcome { o := completed(c); o.Payload = c.Payload[1:]; return o },
		"refused":  func(task.Call) task.Outcome { return task.Outcome{Code: task.CodeRefused, Ran: task.RanNo} },
		"failed":   func(task.Call) task.Outcome { return task.Outcome{Code: task.CodeFailed, Ran: task.RanYes} },
		"lost":     func(task.Call) task.Outcome { return task.Outcome{Code: task.CodeLost, Ran: task.RanUnknown} },
		"unsaid":   func(task.Call) task.Outcome { return task.Outcome{Code: task.CodeLost} },
		"deadline": func(task.Call) task.Outcome { return task.Outcome{Code: task.CodeDeadline, Ran: task.RanNo} },
	}
	names := []string{"ok", "ok", "ok", "cut", "refused", "failed", "lost", "unsaid", "deadline"}
	finishOne := func(i int, name string) {
		c := f.open[i].call
		o := outcomes[name](c)
		mayRepeat := name == "refused" || f.idempotent[c.Submission]
		if !o.OK() && !mayRepeat || name == "cut" && !f.idempotent[c.Submission] {
			failed[c.Submission] = true
		}
		f.finish(i, o)
	}
	ids := 0
	t.Repeat(map[string]func(*rapid.T){
		"endpoint": func(t *rapid.T) {
			id := scheduler.EndpointID(rapid.SampledFrom([]string{"a#1", "b#1"}).Draw(t, "id"))
			e.SetEndpoint(serviceName, scheduler.Endpoint{ID: id, Slots: rapid.IntRange(0, 3).Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "leaving")})
		},
		"remove": func(t *rapid.T) { e.RemoveEndpoint(serviceName, "a#1") },
		"submit": func(t *rapid.T) {
			ids++
			tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
			jobs = append(jobs, submit(e, f, fmt.Sprint("j", ids), tasks, rapid.Bool().Draw(t, "idempotent")))
		},
		"end": func(t *rapid.T) {
			if len(f.open) == 0 {
				t.Skip("nothing open")
			}
			finishOne(rapid.IntRange(0, len(f.open)-1).Draw(t, "which"), rapid.SampledFrom(names).Draw(t, "outcome"))
		},
		"cancel": func(t *rapid.T) {
			if len(jobs) == 0 {
				t.Skip("no job")
			}
			s := rapid.SampledFrom(jobs).Draw(t, "job")
			s.cancel()
			failed[s.job.ID] = true
		},
		"time": func(*rapid.T) { time.Sleep(300 * time.Millisecond) },
		"": func(t *rapid.T) {
			synctest.Wait()
			for _, s := range jobs {
				f.check(t, s, failed[s.job.ID])
			}
		},
	})
	f.finishAll(jobs)
	assert.NilError(t, e.Drain(context.Background()))
	for _, s := range jobs {
		assert.Assert(t, s.answered())
		f.check(t, s, true)
	}
	for _, b := range e.Backlogs() {
		assert.Equal(t, b.Jobs+b.Queued+b.InFlight, 0, "left behind: %+v", b)
	}
	_, err := e.Submit(context.Background(), Job{ID: "late", Service: serviceName, Tasks: make([]Task, 1)})
	assert.Assert(t, errors.Is(err, ErrDraining) || errors.Is(err, scheduler.ErrNoEndpoint), "%v", err)
}

// One task of a job fails while a second is running and a third is pending. The caller must be
// answered before the second has stopped, with "yes", "unknown" and "no". The second is cancelled,
// and the job counts as open until it has ended.
func TestFailureIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStarter()
		e := newEngine(f)
		defer e.stopTimers()
		e.SetEndpoint(serviceName, scheduler.Endpoint{ID: "a#1", Slots: 2})
		s := submit(e, f, "j", 3, false)
		synctest.Wait()
		assert.Equal(t, len(f.open), 2)
		index := f.open[0].call.Assignment.Task.Index
		f.finish(0, task.Outcome{Code: task.CodeFailed, Ran: task.RanYes})
		synctest.Wait()
		assert.Assert(t, s.answered())
		assert.NilError(t, s.err)
		assert.Equal(t, s.answer.Code, task.CodeFailed)
		count := map[task.Ran]int{}
		for _, o := range s.answer.Outcomes {
			count[o.Ran]++
		}
		assert.DeepEqual(t, count, map[task.Ran]int{"yes": 1, "unknown": 1, "no": 1})
		assert.Equal(t, s.answer.Outcomes[index].Ran, task.RanYes)
		assert.Equal(t, s.answer.Ran(), task.RanYes)
		assert.Assert(t, f.open[0].ctx.Err() != nil, "not cancelled")
		assert.Equal(t, s.endCalls, 0)
		f.finish(0, completed(f.open[0].call))
		synctest.Wait()
		assert.Equal(t, s.endCalls, 1)
		assert.Equal(t, len(f.open), 0)
	})
}

// The answer time passes while one task is running and another is pending. The caller must be
// answered at that time, not when the task ends.
func TestAnswerTimePasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStarter()
		e := newEngine(f)
		defer e.stopTimers()
		e.SetEndpoint(serviceName, scheduler.Endpoint{ID: "a#1", Slots: 1, EntryLimit: 1})
		s := submit(e, f, "j", 2, false)
		<-s.done
		answered := time.Now()
		synctest.Wait()
		assert.Assert(t, answered.Sub(s.deadline) < 10*time.Millisecond)
		assert.Equal(t, s.answer.Code, task.CodeDeadline)
		assert.Equal(t, s.answer.Outcomes[0].Ran, task.RanUnknown)
		assert.Equal(t, s.answer.Outcomes[1].Ran, task.RanNo)
		f.finish(0, completed(f.open[0].call))
	})
}

// A draining entry rejects new jobs as not run. The drain ends when the open job is answered.
func TestDrainFinishesOpenJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStarter()
		e := newEngine(f)
		defer e.stopTimers()
		e.SetEndpoint(serviceName, scheduler.Endpoint{ID: "a#1", Slots: 1})
		s := submit(e, f, "j", 1, false)
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- e.Drain(context.Background()) }()
		synctest.Wait()
		assert.Assert(t, e.Draining())
		late := submit(e, f, "late", 1, false)
		<-late.done
		assert.Assert(t, errors.Is(late.err, ErrDraining))
		assert.Equal(t, len(drained), 0)
		f.finish(0, completed(f.open[0].call))
		assert.NilError(t, <-drained)
		<-s.done
		assert.Assert(t, s.answer.Complete())
	})
}

// faultyPolicy assigns every task twice and requeues each one.
type faultyPolicy struct {
	scheduler.Policy
	queue []scheduler.TaskRef
}

func (d *faultyPolicy) Admit(_ time.Time, j scheduler.Job) error {
	for i := range j.Tasks {
		ref := scheduler.TaskRef{Job: j.ID, Index: i}
		d.queue = append(d.queue, ref, ref)
	}
	return nil
}

func (d *faultyPolicy) Next(now time.Time) (scheduler.Assignment, bool) {
	if len(d.queue) == 0 {
		return scheduler.Assignment{}, false
	}
	ref := d.queue[0]
	d.queue = d.queue[1:]
	return scheduler.Assignment{Task: ref, Endpoint: "a#1", DecidedAt: now}, true
}

func (d *faultyPolicy) Done(_ time.Time, a scheduler.Assignment, r scheduler.Result) bool {
	if r.Outcome != scheduler.Cancelled {
		d.queue = append(d.queue, a.Task)
	}
	return true
}

func (d *faultyPolicy) SetEndpoint(time.Time, scheduler.Endpoint)  {}
func (d *faultyPolicy) Drop(scheduler.JobID) []scheduler.TaskRef   { return nil }
func (d *faultyPolicy) NextWakeup(time.Time) (none time.Time)      { return none }
func (d *faultyPolicy) Expired(time.Time) (none []scheduler.JobID) { return none }

// A scheduler error must not make a task run twice. The policy assigns each task twice and
// requeues each after it may have run; the engine must start each once and fail the job.
func TestFaultyDeciderDoesNotRunTaskTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStarter()
		e := New(Options{Starter: f, NewPolicy: func(string) scheduler.Policy { return &faultyPolicy{} }})
		e.SetEndpoint(serviceName, scheduler.Endpoint{ID: "a#1"})
		s := submit(e, f, "j", 2, true)
		synctest.Wait()
		assert.Equal(t, len(f.open), 2)
		f.finish(0, task.Outcome{Code: task.CodeLost, Ran: task.RanUnknown})
		<-s.done
		f.finish(0, completed(f.open[0].call))
		synctest.Wait()
		assert.Equal(t, len(f.duplicates), 0)
		assert.Equal(t, len(f.open), 0)
		assert.Equal(t, s.answer.Code, task.CodeLost)
	})
}
