package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

func (f *fleet) preview(id string, waited time.Duration) JobPreview {
	w := work.Job{ID: id, Steps: []work.Step{{Count: 2, Need: core, Declared: 100 * ms}}}
	return f.Preview(f.now, f.now+1500*ms, waited, w, terms)
}

// Guards against a handover that is decided by another slack than the job has here: the preview of a job
// equals the forecast of the job once it is accepted, and nothing is accepted by it.
func TestPreviewEqualsForecastAndChangesNothing(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 40 {
		s := f.submit(string(rune('a'+i)), 1, 100*ms).Starts[0]
		f.now += 150 * ms
		f.report(s, Done)
	}
	x := f.preview("j", 0)
	assert.Equal(t, f.Count(f.now, ""), Counts{})
	assert.Equal(t, len(f.act().Starts), 0)
	f.submit("j", 2, 100*ms)
	assert.Equal(t, x, JobPreview{Slack: f.Forecast("j").StartIn})
	unknown := f.Preview(f.now, f.now+1500*ms, 0, work.Job{ID: "k", Steps: []work.Step{{Count: 1, Need: core}}}, Terms{Contract: "new"})
	assert.Assert(t, unknown.Slack < 0, "it has no time for a run")
	assert.Equal(t, len(f.estimates), 1, "nothing is learnt of a contract by a preview")
}

// Guards against a task that runs twice, or a false "not run": a job that this entry has, that ended here,
// or of which a start may be executed is not handed over.
func TestPreviewOfInvolvedJob(t *testing.T) {
	f := newFleet(t, 8)
	s := f.submit("open", 1, 100*ms).Starts[0]
	assert.Assert(t, f.preview("open", 0).Involved)
	f.Cancel(f.now, "open")
	assert.Assert(t, f.preview("open", 0).Involved, "its run is being stopped")
	f.report(s, Stopped)
	assert.Assert(t, f.preview("open", 0).Involved, "its next attempt must have a number of its own")
	f.RecordLateStart(f.now, "other", work.TaskID{Job: "late", Index: 1}, 300*ms)
	assert.Assert(t, f.preview("late", 0).Involved)
	f.now += 300 * ms
	assert.Assert(t, !f.preview("late", 0).Involved)
	assert.Assert(t, !f.preview("fresh", 0).Involved)
}

// Guards against jobs kept at an entry that can't start them, and handed over for want of a contract's
// first run or because of a cordon.
func TestReachesService(t *testing.T) {
	f := newFleet(t, 1)
	assert.Assert(t, f.ReachesService("teardown"))
	assert.Assert(t, !f.ReachesService("unknown"))
	f.SetCordons([]string{"a"})
	assert.Assert(t, f.ReachesService("teardown"))
	f.SetCordons(nil)
	f.DetachEndpoint(f.id(0))
	assert.Assert(t, !f.ReachesService("teardown"))
}

// Guards against a response-time target that starts anew when a job changes its entry, and against a
// rejection of such a job while there is capacity for it at once.
func TestWaitedTimeCounts(t *testing.T) {
	f := newFleet(t, 1)
	fresh, waited := f.preview("j", 0), f.preview("j", 30*ms)
	assert.Equal(t, fresh.Slack-waited.Slack, 30*ms)
	w := work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: core, Declared: 100 * ms}}}
	assert.Equal(t, f.SubmitWaited(f.now, f.now+1500*ms, 900*ms, w, terms), Accepted)
	assert.Equal(t, f.Count(f.now, "").Oldest, 900*ms)
	assert.Equal(t, len(f.act().Starts), 1)
}
