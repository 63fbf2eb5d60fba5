package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/dispatch/work"
)

// reportReleases reports an endpoint of which all cores are in use, with an estimate of releases.
func (f *fleet) reportReleases(i, cores int, milli ...int64) {
	amount := work.Amounts{CPUMilli: int64(cores) * 1000, MemoryMB: int64(cores) * 64}
	f.UpdateEndpoint(f.now, f.id(i), EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}, AcceptsStarts: true, Total: amount, Used: amount, ReleasesMilli: milli})
}

// oneCoreEach is the estimate of an endpoint with four cores: one is released within 25 ms, the
// others within 50, 100 and 200 ms.
var oneCoreEach = []int64{1000, 2000, 3000, 4000, 4000, 4000, 4000}

func (f *fleet) drain(coreSeconds float64) (time.Duration, bool) {
	f.now += outlookInterval
	return f.service("teardown").drainTime(f.now, coreSeconds)
}

// Guards against a forecast that counts capacity before it is released, or not at all once the report
// has an age.
func TestDrainTime(t *testing.T) {
	for name, c := range map[string]struct {
		releases []int64
		age      time.Duration
		work     float64
		in       time.Duration
	}{
		"nothing ahead":         {oneCoreEach, 0, 0, 0},
		"by the first release":  {oneCoreEach, 0, 0.0125, 25 * ms},
		"by all releases":       {oneCoreEach, 0, 0.0125 + 0.0375 + 0.125 + 0.35, 200 * ms},
		"past the last horizon": {oneCoreEach, 0, 0.0125 + 0.0375 + 0.125 + 0.35 + 5.6 + 4, 2600 * ms},
		"all released at once":  {[]int64{4000, 4000, 4000, 4000, 4000, 4000, 4000}, 0, 0.05 + 0.1, 50 * ms},
		"shifted by its age":    {[]int64{0, 0, 4000, 4000, 4000, 4000, 4000}, 50 * ms, 0.1, 50 * ms},
	} {
		f := newFleet(t)
		f.AttachEndpoint(f.id(0), "a", true)
		f.reportReleases(0, 4, c.releases...)
		f.now += c.age
		in, known := f.service("teardown").drainTime(f.now, c.work)
		assert.Assert(t, known, name)
		assert.Assert(t, (in-c.in).Abs() < ms, "%s: %s instead of %s", name, in, c.in)
	}
}

// Guards against a forecast from guards that do not tell releases, tell malformed ones or have not
// reported for 1.5 s.
func TestDrainTimeIsUnknownWithoutReleases(t *testing.T) {
	for name, c := range map[string]struct {
		releases []int64
		age      time.Duration
		known    bool
	}{
		"known":          {oneCoreEach, 0, true},
		"older guard":    {nil, 0, false},
		"too short":      {[]int64{1, 2}, 0, false},
		"negative":       {[]int64{-1, 0, 0, 0, 0, 0, 0}, 0, false},
		"decreasing":     {[]int64{4, 3, 2, 1, 0, 0, 0}, 0, false},
		"stale report":   {oneCoreEach, 1500 * ms, false},
		"old but usable": {oneCoreEach, 1400 * ms, true},
	} {
		f := newFleet(t)
		for i := range 3 {
			f.AttachEndpoint(f.id(i), "a", true)
			f.reportReleases(i, 4)
		}
		f.now += time.Second
		f.reportReleases(0, 4, c.releases...)
		f.reportReleases(1, 4, c.releases...)
		f.now += c.age
		_, known := f.drain(1)
		assert.Equal(t, known, c.known, name)
		f.now = max(f.now, 5*time.Second)
		f.reportReleases(1, 4)
		_, known = f.drain(1)
		assert.Assert(t, !known, "%s: one of three endpoints reports releases", name)
	}
}

// Guards against rejections for capacity that is back in a moment: half of the endpoints are lost at
// once. Once they have been gone for returnTime, what is left decides.
func TestDrainTimeWhenHalfOfTheEndpointsAreLost(t *testing.T) {
	f := newFleet(t)
	for i := range 4 {
		f.AttachEndpoint(f.id(i), "a", true)
		f.reportReleases(i, 4, oneCoreEach...)
	}
	before, known := f.drain(4)
	assert.Assert(t, known)
	f.DetachEndpoint(f.id(0))
	f.DetachEndpoint(f.id(1))
	_, known = f.drain(4)
	assert.Assert(t, !known)
	f.AttachEndpoint(f.id(0), "a", false)
	f.AttachEndpoint(f.id(1), "a", false)
	back, known := f.drain(4)
	assert.Assert(t, known && (back-before).Abs() < 30*ms)
	f.DetachEndpoint(f.id(0))
	f.DetachEndpoint(f.id(1))
	f.now += returnTime
	f.reportReleases(2, 4, oneCoreEach...)
	f.reportReleases(3, 4, oneCoreEach...)
	without, known := f.drain(4)
	assert.Assert(t, known && without > before)
}

// Guards against a forecast that is shorter for more work, or for later releases.
func TestDrainTimeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o outlook
		for i := range o.free {
			if i > 0 {
				o.free[i] = o.free[i-1]
			}
			o.free[i] += rapid.Float64Range(0, 5).Draw(t, "release")
		}
		o.total = o.free[len(o.free)-1] + 1
		least := rapid.Float64Range(0, 40).Draw(t, "work")
		more := least + rapid.Float64Range(0, 40).Draw(t, "more")
		assert.Assert(t, o.drain(least) >= 0 && o.drain(least) <= o.drain(more)+1)
		later := o
		later.free[3] = later.free[2]
		assert.Assert(t, o.drain(least) <= later.drain(least)+1)
	})
}
