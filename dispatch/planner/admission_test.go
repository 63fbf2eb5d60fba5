package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/backlog"
	"almondstand.dev/dispatch/work"
)

// Guards against rejections that an error of a third in the prediction would make wrong.
func TestPredictionNeedsMargin(t *testing.T) {
	for _, c := range []struct {
		wait, left time.Duration
		late       bool
	}{
		{99 * ms, 100 * ms, false},
		{129 * ms, 100 * ms, false},
		{149 * ms, 100 * ms, false},
		{150 * ms, 100 * ms, true},
		{1299 * ms, 1000 * ms, false},
		{1300 * ms, 1000 * ms, true},
		{49 * ms, 0, false},
		{50 * ms, 0, true},
	} {
		assert.Equal(t, backlog.TooLate(c.wait, c.left), c.late, "%s of %s", c.wait, c.left)
	}
}

// shortFleet is a fleet of two endpoints with four cores each, all in use, whose guards tell that
// nothing is released for long, and with jobs that wait: capacity has been short for minShortage.
func shortFleet(t *testing.T, waiting int) *fleet {
	f := newFleet(t)
	f.now = time.Minute
	f.act()
	f.now += startupGrace
	busy := func() {
		for i := range 2 {
			f.AttachEndpoint(f.id(i), "a", false)
			f.reportReleases(i, 4, 0, 0, 0, 0, 0, 0, 4000)
		}
	}
	busy()
	for n := range waiting {
		f.submitWaiting(fmt.Sprint("waiting-", n), "lookup", 0)
	}
	f.act()
	for range 40 {
		f.after(20 * ms)
	}
	busy()
	return f
}

// submitWaiting submits a job of 0.2 core-seconds whose caller has time.
func (f *fleet) submitWaiting(id, contract string, priority int) *job {
	w := work.Job{ID: id, Steps: []work.Step{{Count: 1, Need: core, Declared: 200 * ms}}}
	x := terms
	x.Contract, x.Priority, x.TargetMargin = contract, priority, 2*time.Second
	f.Submit(f.now, f.now+20*time.Second, w, x)
	return f.jobs[id]
}

// predict predicts a job's wait behind the given work, as after a report of the other entries' demand.
func (f *fleet) predict(j *job, ahead float64) bool {
	return f.predictsTooLate(f.now, j, ahead)
}

// Guards against a job that waits in vain although it is known that it can't start in time, and
// against rejections while capacity is free, just became short, or is not all known after a start.
func TestJobThatStartsTooLateIsRejectedEarly(t *testing.T) {
	f := shortFleet(t, 2)
	j := f.jobs["waiting-1"]
	assert.Assert(t, !f.predict(j, 8), "starts late, but in time to be of use")
	assert.Assert(t, f.predict(j, 100))
	assert.Equal(t, j.admission.prediction.Rule, RuleForecast)

	f = shortFleet(t, 2)
	f.setCapacity(0, 4, 3)
	f.reportReleases(1, 4, 0, 0, 0, 0, 0, 0, 4000)
	f.endpoints[f.id(0)].releases = f.endpoints[f.id(1)].releases
	assert.Assert(t, !f.predict(f.jobs["waiting-1"], 100), "a core is free")

	f = shortFleet(t, 2)
	f.services["teardown"].shortSince = f.now - minShortage + ms
	assert.Assert(t, !f.predict(f.jobs["waiting-1"], 100), "capacity has just become short")

	f = shortFleet(t, 2)
	f.firstEvent = f.now - startupGrace + ms
	assert.Assert(t, !f.predict(f.jobs["waiting-1"], 100), "the entry has just started")

	f = shortFleet(t, 2)
	f.RecordLateStart(f.now, f.id(0), f.jobs["waiting-1"].tasks[0].id(), time.Second)
	assert.Assert(t, !f.predict(f.jobs["waiting-1"], 100), "it may have run, so that it would end as expired")

	f = shortFleet(t, 2)
	f.jobs["waiting-1"].retest = true
	assert.Assert(t, !f.predict(f.jobs["waiting-1"], 100), "it is to correct the learnt run times")

	f = shortFleet(t, 2)
	f.opt.AsksPeers = true
	f.contact.scannedAt, f.contact.oldest = never, 0
	f.endpoints[f.id(0)].keepsID = true
	assert.Assert(t, !f.knowsLateStarts(f.now, f.jobs["waiting-1"].arrived))
	assert.Assert(t, !f.predict(f.jobs["waiting-1"], 100), "it is not known whether it has run")

	f = shortFleet(t, 2)
	f.DetachEndpoint(f.id(0))
	assert.Assert(t, !f.predict(f.jobs["waiting-1"], 100), "half of the endpoints were lost just now")
}

// rejections submits jobs of a contract and returns those that end.
func (f *fleet) rejections(contract string, priority, jobs int) (all []Ended) {
	for n := range jobs {
		f.submitWaiting(fmt.Sprint(contract, "-", n), contract, priority)
		all = append(all, f.act().Ended...)
	}
	return all
}

// Guards against a contract whose waiting work grows without limit, against a limit for the first two
// jobs of a contract, and against callers that are all asked to return at once.
func TestBacklogLimit(t *testing.T) {
	f := shortFleet(t, 1)
	all := f.rejections("bulk", 2, 300)
	assert.Assert(t, len(all) > 100 && len(all) < 200, "%d rejected", len(all))
	seen := map[time.Duration]int{}
	returning := newJob(f.now, f.now+20*time.Second, f.jobs["bulk-1"].work, f.jobs["bulk-1"].terms)
	returning.service = f.services["teardown"]
	returning.predict(f.estimate("bulk"), 1)
	_, exceeded := f.exceedsBacklog(f.now, returning)
	assert.Assert(t, exceeded)
	returning.admission.returning = true
	_, exceeded = f.exceedsBacklog(f.now, returning)
	assert.Assert(t, !exceeded, "a job that returns in its slot is rejected again")
	for _, x := range all {
		assert.Equal(t, x.Reason, ReasonOverload)
		assert.Equal(t, x.Prediction.Rule, RuleBacklog)
		assert.Assert(t, x.Prediction.OnArrival && x.Prediction.Wait > x.Prediction.TimeLeft)
		assert.Assert(t, x.RetryAfter >= time.Second && x.RetryAfter <= 8*time.Second)
		seen[x.RetryAfter]++
	}
	assert.Assert(t, len(seen) > 1, "%v", seen)
	assert.Equal(t, len(f.rejections("other", 2, 2)), 0)
	assert.Assert(t, f.returns.Len() == len(all))

	f = shortFleet(t, 1)
	f.services["teardown"].shortSince = f.now
	assert.Equal(t, len(f.rejections("bulk", 2, 300)), 0, "capacity has just become short")

	f = shortFleet(t, 1)
	f.opt.Disabled.BacklogLimit = true
	assert.Equal(t, len(f.rejections("bulk", 2, 300)), 0)
}

// Guards against a returning job that is rejected by the limit again, or goes after new jobs of its
// contract, or before more urgent ones and those that have waited longer.
func TestReturningJobGoesBeforeNewOnes(t *testing.T) {
	f := shortFleet(t, 1)
	rejected := f.rejections("bulk", 2, 300)
	again := rejected[0]
	f.now += again.RetryAfter
	f.act()
	f.reportReleases(0, 4, 0, 0, 0, 0, 0, 0, 4000)
	f.submitWaiting("older", "bulk", 2)
	f.now += ms
	j := f.submitWaiting(again.Job, "bulk", 2)
	assert.Assert(t, j != nil && j.admission.returning)
	f.now += ms
	young := f.submitWaiting("young", "bulk", 2)
	young.startBy = j.startBy - 50*ms
	f.submitWaiting("urgent", "lookup", 0)
	s := f.services["teardown"]
	s.remove(young)
	s.addUnstarted(young)
	position := map[string]int{}
	for n, o := range s.order(f.now) {
		position[o.work.ID] = n + 1
	}
	assert.Assert(t, position["urgent"] < position[again.Job])
	assert.Assert(t, position["older"] == 0 || position["older"] < position[again.Job])
	assert.Assert(t, position[again.Job] < position["young"], "%v", position)
}

// Guards against a job that returns long after its slot and is still preferred, and one that returns
// before it and leaves its work booked.
func TestReturnOutsideItsTimeIsNew(t *testing.T) {
	f := shortFleet(t, 1)
	rejected := f.rejections("bulk", 2, 300)
	s := f.services["teardown"]
	booked := s.entry.retries.Booked(f.now)
	j := newJob(f.now, f.now+time.Second, work.Job{ID: rejected[0].Job, Steps: []work.Step{{Count: 1, Need: core}}}, terms)
	j.service = s
	j.predict(f.estimate("bulk"), 1)
	f.recordArrival(f.now, j)
	assert.Assert(t, !j.admission.returning)
	assert.Assert(t, s.entry.retries.Booked(f.now) < booked)
	f.now += rejected[1].RetryAfter + backlog.ReturnWindow + ms
	j.work.ID = rejected[1].Job
	f.recordArrival(f.now, j)
	assert.Assert(t, !j.admission.returning)
}

// Guards against an error of the forecast in the metrics that is not one: a wait that was predicted
// while the job waited is not its wait since its arrival.
func TestPredictionIsThatOnArrival(t *testing.T) {
	f := shortFleet(t, 2)
	j := f.jobs["waiting-1"]
	assert.Assert(t, !f.predict(j, 8))
	assert.Assert(t, j.admission.prediction == nil, "predicted %s after its arrival", f.now-j.arrived)
	j = f.submitWaiting("new", "lookup", 0)
	assert.Assert(t, !f.predict(j, 8))
	assert.Assert(t, j.admission.prediction != nil)
}
