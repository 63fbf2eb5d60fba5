package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// runOut starts the waiting tasks, and has those fail for which fails returns true. It returns the
// number of completed jobs with the given name.
func (f *fleet) runOut(name string, fails func(Start) bool) int {
	completed := 0
	for range 3 {
		a := f.act()
		for _, s := range a.Starts {
			f.report(s, Running)
			f.now += ms
			if fails(s) {
				f.report(s, TaskFailed)
			} else {
				f.report(s, Done)
			}
		}
		for _, e := range a.Ended {
			if e.Outcome == Completed && e.Job[:len(name)] == name {
				completed++
			}
		}
	}
	return completed
}

// submitTerms submits a job of single-core tasks under the given terms.
func (f *fleet) submitTerms(id string, tasks int, t Terms) {
	w := work.Job{ID: id, Steps: []work.Step{{Count: tasks, Need: core, Declared: 20 * ms}}}
	assert.Equal(f.t, f.Submit(f.now, f.now+300*ms, w, t), Accepted)
}

// Guards against a contract whose tasks fail on any runner and eject all endpoints of its service:
// the jobs of another contract are served.
func TestContractThatAlwaysFailsDoesNotEjectItsService(t *testing.T) {
	const jobs = 400
	for n := 1; n <= 6; n++ {
		f := newFleet(t)
		for i := range n {
			f.AttachEndpoint(f.id(i), "a", true)
			f.setCapacity(i, 2, 0)
		}
		failing := terms
		failing.Contract = "failing"
		completed := 0
		for i := range jobs {
			f.now += 10 * ms
			f.submitTerms(fmt.Sprint("bad", i), 2, failing)
			f.submitTerms(fmt.Sprint("good", i), 1, terms)
			completed += f.runOut("good", func(s Start) bool { return s.Run.Task.Job[:3] == "bad" })
		}
		assert.Assert(t, completed >= jobs*99/100, "%d endpoints: %d of %d completed", n, completed, jobs)
	}
}

// Guards against runners that fail all tasks and stay in use because several do so at once.
func TestSeveralFailingRunnersAreEjected(t *testing.T) {
	f := newFleet(t, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2)
	failing := map[string]bool{f.id(1): true, f.id(4): true, f.id(8): true}
	failed := 0
	for i := range 100 {
		f.now += ms
		f.submitTerms(fmt.Sprint("job", i), 4, terms)
		f.runOut("job", func(s Start) bool {
			if failing[s.Endpoint] {
				failed++
			}
			return failing[s.Endpoint]
		})
	}
	assert.Equal(t, f.CountEndpoints(f.now)[Ejected], len(failing))
	assert.Assert(t, failed <= len(failing)*(ejectionStreak+2), "%d runs failed", failed)
}

// Guards against a runner that fails all tasks and stays in use because its peer, which has
// recovered by now, failed them before while it was alone: jobs have one attempt, so none is retried there.
func TestFailingRunnerIsEjectedAfterItsPeerRecovered(t *testing.T) {
	for n := 2; n <= 4; n++ {
		f := newFleet(t)
		for i := range n {
			f.AttachEndpoint(f.id(i), "a", true)
			f.setCapacity(i, 2, 0)
		}
		once := terms
		once.MaxAttempts = 1
		failing := f.id(0)
		for i := 1; i < n; i++ {
			f.DetachEndpoint(f.id(i))
		}
		completed := 0
		for i := range 600 {
			if i == 100 {
				for i := 1; i < n; i++ {
					f.AttachEndpoint(f.id(i), "a", false)
				}
			}
			if i == 200 {
				failing = f.id(1)
			}
			f.now += 10 * ms
			f.submitTerms(fmt.Sprint("job", i), 1, once)
			done := f.runOut("job", func(s Start) bool { return s.Endpoint == failing })
			if i >= 300 {
				completed += done
			}
		}
		assert.Assert(t, completed >= 285, "%d endpoints: %d of 300 completed", n, completed)
	}
}
