package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// TestReleasedCapacityIsLeftToTheGuard guards against two orders for what one run has released, that of its
// entry and that of the one to which the guard offers it: one is refused, and entries that are short of
// processor time spend it on such orders.
func TestReleasedCapacityIsLeftToTheGuard(t *testing.T) {
	other, few := work.Demand{Contract: 1, Priority: 1, WaitingMilli: 10_000}, work.Demand{Contract: 1, Priority: 1, WaitingMilli: 1000}
	for name, c := range map[string]struct {
		others []work.Demand
		off    bool
		// report is the used capacity that the guard reports after the end of the run; -1 for no report.
		report int
		// atOnce and later are the starts before and after leaveTime has passed.
		atOnce, later int
	}{
		"the guard offers it":             {[]work.Demand{other}, false, 0, 1, 0},
		"it has offered it to another":    {[]work.Demand{other}, false, 1, 0, 0},
		"it offers it to nobody":          {[]work.Demand{other}, false, -1, 0, 1},
		"little waits elsewhere":          {[]work.Demand{few}, false, -1, 1, 0},
		"nothing waits elsewhere":         {nil, false, -1, 1, 0},
		"the entry does not share demand": {[]work.Demand{other}, true, -1, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 100)
			f.setCapacity(1, 100, 100)
			f.opt.Disabled.SharedDemand = c.off
			f.reportOthers(0, 1, 0, 1, nil, c.others...)
			first := f.submitFor("card", 1, 1, 60*ms).Starts[0]
			f.report(first, Running)
			f.submitFor("card", 1, 1, 600*ms)
			f.after(20 * ms)
			f.reportOthers(0, 1, 1, 1, nil, c.others...)
			f.report(first, Done)
			if c.report >= 0 {
				f.now += ms
				f.reportOthers(0, 1, c.report, 1, nil, c.others...)
			}
			a, next := f.Act(f.now)
			assert.Equal(t, len(a.Starts), c.atOnce)
			// Once the guard has reported, a wake-up would be in vain.
			waits := c.atOnce == 0 && c.report < 0
			assert.Equal(t, len(f.service("teardown").shared.left) > 0, waits)
			assert.Equal(t, next <= f.now+leaveTime, waits, "next in %v", next-f.now)
			f.now += leaveTime
			assert.Equal(t, len(f.act().Starts), c.later)
			assert.Assert(t, f.endpoints["g0"].free().CPUMilli >= 0)
			assert.Equal(t, len(f.service("teardown").shared.left), 0)
		})
	}
}
