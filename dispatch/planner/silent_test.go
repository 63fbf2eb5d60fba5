package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lossFleet is a fleet of endpoints in two data centres, of which "b" is lost at some time.
type lossFleet struct {
	*fleet
	lost   bool
	starts []Start
	toLost int
}

func newLossFleet(t *testing.T, endpoints int) *lossFleet {
	capacity := make([]int, endpoints)
	for i := range capacity {
		capacity[i] = 10
	}
	f := &lossFleet{fleet: newFleet(t, capacity...)}
	for i := range endpoints {
		if i%2 == 1 {
			f.AttachEndpoint(f.id(i), "b", false)
		}
	}
	return f
}

func (f *lossFleet) isLost(id string) bool { return f.lost && f.endpoints[id].dataCentre == "b" }

// step answers the starts of the last step that were not lost, lets their runs end, and submits
// some jobs.
func (f *lossFleet) step(n int) {
	for _, s := range f.starts {
		if f.isLost(s.Endpoint) {
			f.toLost++
			continue
		}
		f.Heard(f.now, s.Endpoint)
		f.ReportRun(f.now, s.Endpoint, s.Run, Done, 10*ms)
	}
	f.starts = nil
	for i := range 8 {
		f.starts = append(f.starts, f.submit(fmt.Sprint("job", n, "-", i), 2, 10*ms).Starts...)
	}
	f.now += 10 * ms
}

// Guards against jobs that are lost for seconds after a data centre, one task at each of its
// endpoints after the other: with forty endpoints, the first starts that go unanswered are enough.
func TestLostDataCentreGetsNoMoreStarts(t *testing.T) {
	f := newLossFleet(t, 40)
	for n := range 50 {
		f.step(n)
	}
	f.lost = true
	lostAt := f.now
	for n := 100; f.now < lostAt+silenceTimeout+50*ms; n++ {
		f.step(n)
	}
	assert.Assert(t, f.toLost > 0)
	assert.Equal(t, f.CountEndpoints(f.now)[Unresponsive], 20)
	f.toLost = 0
	for n := 200; n < 300; n++ {
		f.step(n)
	}
	assert.Equal(t, f.toLost, 0)
	f.lost = false
	f.Heard(f.now, f.id(1))
	assert.Assert(t, f.CountEndpoints(f.now)[Accepting] > 20)
}

// Guards against an entry that is cut off or late itself and takes every data centre for lost.
func TestEntryThatHearsNobodyAvoidsNobody(t *testing.T) {
	f := newLossFleet(t, 4)
	f.Heard(f.now, f.id(0))
	f.Heard(f.now, f.id(1))
	assert.Equal(t, len(f.submit("first", 2, 60*ms).Starts), 2)
	f.now += silenceTimeout + 10*time.Millisecond
	assert.Equal(t, len(f.submit("second", 20, 60*ms).Starts), 20)
	assert.Equal(t, len(f.silent), 0)
}

// Guards against an entry that was stalled and reads the messages of one data centre first: those of
// the others wait unread, and they are not lost.
func TestStalledEntryAvoidsNobody(t *testing.T) {
	f := newLossFleet(t, 40)
	for n := range 50 {
		f.step(n)
	}
	f.now += 5 * time.Millisecond
	f.submit("before", 100, 10*ms)
	f.now += 400 * time.Millisecond
	for range 10 {
		f.now += time.Millisecond
		f.Heard(f.now, f.id(0))
		f.submit(fmt.Sprint("after", f.now), 2, 10*ms)
	}
	assert.Equal(t, len(f.silent), 0)
}
