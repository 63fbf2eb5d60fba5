package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// A caller waits for a job until its deadline and gets no answer, because its guard left this
// entry while a task of the job was running and nothing more is reported about it. So an
// endpoint is released only once it accepts no starts and no run is left there.
func TestEndpointIsReleasedOnceItsRunsAreOver(t *testing.T) {
	f := newFleet(t, 4)
	start := f.submit("job", 1, 60*ms).Starts[0]
	assert.Assert(t, !f.ReleaseEndpoint(f.id(0)), "it takes starts")
	f.UpdateEndpoint(f.now, f.id(0), EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}, Total: core, Used: core})
	assert.Assert(t, !f.ReleaseEndpoint(f.id(0)), "a run is open")
	f.now += 60 * time.Millisecond
	f.report(start, Done)
	assert.Equal(t, f.act().Ended[0].Outcome, Completed)
	assert.Assert(t, f.ReleaseEndpoint(f.id(0)))
	assert.Equal(t, f.CountEndpoints(f.now)[Detached], 0, "it is removed, not only detached")
	assert.Assert(t, f.ReleaseEndpoint(f.id(0)), "again")
}
