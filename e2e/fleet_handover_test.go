package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/relay"
)

// Times of the platform that these tests wait for.
const (
	// balancerNotice is the default of the setting of the same name, after which a draining entry starts
	// no more jobs.
	balancerNotice = 2300 * time.Millisecond
	// handoverDrainTime is how long the drain of the first entry lasts after that.
	handoverDrainTime = 3 * time.Second
	// handoverGracePeriod is longer than the drain and the longest time that a caller waits: a job whose
	// caller waits beyond the end of its entry is not handed over.
	handoverGracePeriod = 20 * time.Second
	// lostHandoverLimit is the longest time until a caller is answered whose job was handed over to an
	// entry that is silent: the limit for the silence, and slack for a busy machine.
	lostHandoverLimit = 900 * time.Millisecond
)

// drainingFleet is a fleet of three entries. The first drains, so that it hands over the jobs of its
// callers; the second takes them; the third does not.
type drainingFleet struct {
	*fleet.Fleet
	t *testing.T
}

// startDrainingFleet returns a fleet whose first entry starts no more jobs.
func startDrainingFleet(t *testing.T) *drainingFleet {
	t.Helper()
	f := startFleetOf(t, fleet.Options{Entries: 3, Guards: 2, Cores: []float64{0, 2}, GracePeriod: handoverGracePeriod})
	// An open job keeps the first entry from ending.
	open := fleet.NewJob(1, int((balancerNotice + handoverDrainTime).Milliseconds()))
	open.Deadline = 20 * time.Second
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, open)
	}()
	t.Cleanup(func() {
		leave()
		<-ended
	})
	time.Sleep(100 * time.Millisecond)
	f.Entries[0].Process().Terminate()
	time.Sleep(balancerNotice + 100*time.Millisecond)
	return &drainingFleet{f, t}
}

// untilTaken calls submit until it succeeds. The second entry takes no job while it is short of processor
// time itself, as on a busy machine, and is then not chosen for a second.
func (f *drainingFleet) untilTaken(submit func() (taken bool)) {
	f.t.Helper()
	for end := time.Now().Add(handoverDrainTime / 2); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if submit() {
			return
		}
	}
	f.t.Fatal("the second entry takes no job over")
}

// handOver submits a job to the first entry, and returns once the second one runs it. leave ends the wait
// of its caller.
func (f *drainingFleet) handOver() (job fleet.Job, answers <-chan fleet.Answer, leave func()) {
	f.t.Helper()
	ctx, leave := context.WithCancel(f.t.Context())
	f.t.Cleanup(leave)
	answer := make(chan fleet.Answer, 1)
	f.untilTaken(func() bool {
		job = fleet.NewJob(1, 3000)
		job.Deadline = 6 * time.Second
		go func() { answer <- f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, job) }()
		for {
			select {
			case a := <-answer:
				assert.Equal(f.t, a.Status, http.StatusServiceUnavailable, "%+v", a)
				return false
			case <-time.After(5 * time.Millisecond):
				if f.Checker.Running() == 2 {
					return true
				}
			}
		}
	})
	return job, answer, leave
}

// resubmit submits a job again as its caller does after an answer that leaves open whether it has run, to
// the third entry, and checks that it completes.
func (f *drainingFleet) resubmit(job fleet.Job, first fleet.Answer) {
	f.t.Helper()
	assert.Assert(f.t, first.Status == http.StatusGatewayTimeout || first.Status == 0, "%+v", first)
	job.Ms = 500
	a := f.Continue(f.t.Context(), first, 2, job, 1)
	assert.Equal(f.t, a.Status, http.StatusOK, "%+v", a)
	assert.DeepEqual(f.t, f.Checker.Violations(), []string(nil))
}

// Guards against "this entry is ending" for jobs that another entry can run, against jobs that both run, and
// against a false "not run" once the other entry shuts down as well.
func TestFleetDrainingEntryHandsItsJobsOver(t *testing.T) {
	f := startDrainingFleet(t)
	before := f.Checker.Starts()
	for range 10 {
		f.untilTaken(func() bool { return f.Submit(t.Context(), 0, fleet.NewJob(2, 40), 1).Status == http.StatusOK })
	}
	assert.Equal(t, f.Checker.Starts()-before, 20)
	waitUntil(t, time.Second, "the jobs were not handed over", func() bool {
		return countLines(f.Entries[0], `"msg":"job.handover_ended"`, `"end":"answered"`) == 10 && countLines(f.Entries[1], `"msg":"job.taken_over"`, `"from":"entry-1"`) == 10
	})
	f.Entries[1].Process().Terminate()
	waitUntil(t, time.Second, "the second entry does not drain", func() bool { return countLines(f.Entries[1], `"msg":"edge.draining"`) == 1 })
	a := f.Submit(t.Context(), 0, fleet.NewJob(1, 40), 1)
	assert.Equal(t, a.Status, http.StatusServiceUnavailable, "%+v", a)
}

// Guards against a task that runs twice, and a false "not run", when the second entry fails with a job that
// it has taken over: its caller must be answered soon that tasks may have run, and all runs must be over
// when it submits the job again.
func TestFleetSecondEntryFailsDuringHandover(t *testing.T) {
	for name, fail := range map[string]func(f *drainingFleet) (recover func()){
		"killed": func(f *drainingFleet) func() {
			f.Entries[1].Process().Kill()
			return func() {}
		},
		"suspended": func(f *drainingFleet) func() {
			p := f.Entries[1].Process()
			p.Suspend()
			return p.Resume
		},
		"cut off": func(f *drainingFleet) func() {
			assert.NilError(f.t, f.EntryRelays[1].Set(relay.State{ToTarget: relay.Drop, ToClient: relay.Drop, Refuse: true}))
			return func() { reconnect(f.Fleet, 1) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			f := startDrainingFleet(t)
			job, answers, _ := f.handOver()
			failed := time.Now()
			recover := fail(f)
			a := <-answers
			assert.Assert(t, time.Since(failed) < lostHandoverLimit, "%+v after %s", a, time.Since(failed))
			assert.Equal(t, a.Status, http.StatusGatewayTimeout, "%+v", a)
			// The second entry recovers after the job was started again elsewhere.
			time.AfterFunc(fleet.ResubmitDelay+200*time.Millisecond, recover)
			f.resubmit(job, a)
		})
	}
}

// Guards against a task that runs twice: the second entry is suspended with an idle stream, and reads the
// job long after the caller was answered.
func TestFleetSuspendedEntryReadsHandedJobLate(t *testing.T) {
	f := startDrainingFleet(t)
	f.untilTaken(func() bool { return f.Submit(t.Context(), 0, fleet.NewJob(1, 10), 1).Status == http.StatusOK })
	p := f.Entries[1].Process()
	p.Suspend()
	time.Sleep(50 * time.Millisecond)
	job := fleet.NewJob(1, 500)
	job.Deadline = 6 * time.Second
	a := f.SubmitOnce(t.Context(), f.Entries[0], fleet.Prefix, job)
	waitUntil(t, time.Second, "the job was not sent", func() bool {
		return countLines(f.Entries[0], `"msg":"job.handover_ended"`, job.ID, `"end":"lost"`) == 1
	})
	time.AfterFunc(fleet.ResubmitDelay+200*time.Millisecond, p.Resume)
	f.resubmit(job, a)
	assert.Equal(t, countLines(f.Entries[1], `"msg":"job.task_ordered"`, job.ID), 0)
}

// Guards against a task that runs on at the second entry, and runs twice once its caller submits the job
// again: the first entry was killed or suspended, or the caller has left it.
func TestFleetFirstEntryFailsDuringHandover(t *testing.T) {
	for name, fail := range map[string]func(f *drainingFleet){
		"killed":      func(f *drainingFleet) { f.Entries[0].Process().Kill() },
		"suspended":   func(f *drainingFleet) { f.Entries[0].Process().Suspend() },
		"caller left": func(*drainingFleet) {},
	} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			f := startDrainingFleet(t)
			job, answers, leave := f.handOver()
			fail(f)
			leave()
			f.resubmit(job, <-answers)
			f.Entries[0].Process().Resume()
			waitUntil(t, time.Second, "a run goes on", func() bool { return countLines(f.Entries[1], `"msg":"job.not_completed"`, job.ID) == 1 })
		})
	}
}
