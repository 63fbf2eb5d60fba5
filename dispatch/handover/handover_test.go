package handover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// lagging is the state of an entry that is short of processor time, and job a job that it can hand over.
var (
	lagging = State{Lag: 20 * ms}
	job     = Job{Slack: 100 * ms, TimeLeft: time.Second}
)

// newLagging returns a policy that knows entries with this spare processor time, "0", "1" and so on, and
// whose entry has been lagging since time 0.
func newLagging(spare ...int) (p *Policy, now time.Duration) {
	p = New(1)
	now = time.Second
	p.Wanted(now, lagging)
	now += highFor
	for i, s := range spare {
		p.RecordLoad(now, Load{Address: fmt.Sprint(i), SpareMilli: s})
	}
	return p, now
}

// Guards against a handover for each rule by which a job stays, and against one that is not made when an
// entry is short of processor time, drains or reaches no endpoint.
func TestChoose(t *testing.T) {
	for name, c := range map[string]struct {
		state State
		job   Job
		other Load
		after time.Duration
		want  Reason
	}{
		"lag":                       {lagging, job, Load{SpareMilli: 500}, 0, ReasonLag},
		"all processor time used":   {State{UsedPermille: 950}, job, Load{SpareMilli: 500}, 0, ReasonLag},
		"some processor time used":  {State{UsedPermille: 400}, job, Load{SpareMilli: 500}, 0, ""},
		"no lag":                    {State{}, job, Load{SpareMilli: 500}, 0, ""},
		"draining":                  {State{Draining: true}, job, Load{SpareMilli: 500}, 0, ReasonDraining},
		"no endpoint":               {State{Unreachable: true}, job, Load{SpareMilli: 500}, 0, ReasonUnreachable},
		"no time left":              {lagging, Job{TimeLeft: 40 * ms}, Load{SpareMilli: 500}, 0, ""},
		"no time left while drains": {State{Draining: true}, Job{TimeLeft: ms}, Load{SpareMilli: 500}, 0, ""},
		"late but earlier":          {lagging, Job{TimeLeft: time.Second}, Load{SpareMilli: 500}, 0, ReasonLag},
		"later there":               {lagging, Job{TimeLeft: time.Second}, Load{SpareMilli: 500, Lag: 10 * ms}, 0, ""},
		"no spare time":             {lagging, job, Load{SpareMilli: jobMilli - 1}, 0, ""},
		"old load":                  {State{Draining: true}, job, Load{SpareMilli: 500}, loadMaxAge + ms, ""},
		"impossible load":           {lagging, job, Load{SpareMilli: 500, Lag: -ms}, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			p, now := newLagging()
			c.other.Address = "a"
			p.RecordLoad(now, c.other)
			address, why, ok := p.Choose(now+c.after, c.state, c.job)
			assert.Equal(t, why, c.want)
			assert.Equal(t, ok, c.want != "")
			assert.Equal(t, address == "a", ok)
		})
	}
}

// Guards against a handover because of one late event, and against an entry that stops while its lag is
// between the thresholds.
func TestLagMustLast(t *testing.T) {
	p := New(1)
	p.RecordLoad(time.Second, Load{Address: "a", SpareMilli: 1000})
	chosen := func(at time.Duration, lag time.Duration) bool {
		_, _, ok := p.Choose(time.Second+at, State{Lag: lag}, job)
		return ok
	}
	assert.Assert(t, !chosen(0, 20*ms))
	assert.Assert(t, !chosen(20*ms, ms))
	assert.Assert(t, !chosen(40*ms, 20*ms))
	assert.Assert(t, chosen(80*ms, 20*ms))
	assert.Assert(t, chosen(120*ms, 4*ms))
	assert.Assert(t, p.Wanted(time.Second+120*ms, State{Lag: 4 * ms}))
	assert.Assert(t, !chosen(160*ms, 2*ms))
	assert.Assert(t, !chosen(180*ms, 4*ms))
}

// Guards against an entry that hands no jobs over because it has not asked for the loads of others.
func TestLoadsAreWantedBeforeJobsAreHandedOver(t *testing.T) {
	for _, s := range []State{lagging, {Draining: true}, {Unreachable: true}, {UsedPermille: someUsed}} {
		assert.Assert(t, New(1).Wanted(time.Second, s), "%+v", s)
	}
	assert.Assert(t, !New(1).Wanted(time.Second, State{Lag: lowLag, UsedPermille: 100}))
}

// Guards against an entry that is sent jobs although it does not take them.
func TestEntryThatTookNoJobIsAvoided(t *testing.T) {
	for _, o := range []Outcome{NotTaken, Lost} {
		p, now := newLagging(500)
		address, _, _ := p.Choose(now, lagging, job)
		p.Ended(now, address, o)
		_, _, ok := p.Choose(now+100*ms, lagging, job)
		assert.Assert(t, !ok)
		now += avoidFor
		p.RecordLoad(now, Load{Address: address, SpareMilli: 500})
		p.Wanted(now, lagging)
		_, _, ok = p.Choose(now+highFor, lagging, job)
		assert.Assert(t, ok)
	}
}

// Guards against more jobs in flight than the bounds allow, whatever the loads and the order of ends, and
// against a count of jobs in flight that does not return to zero.
func TestJobsInFlightAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spare := rapid.SliceOfN(rapid.IntRange(0, 300), 1, 8).Draw(t, "spare")
		p, now := newLagging(spare...)
		inFlight := map[string]int{}
		var open []string
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				p.Ended(now, open[0], Answered)
				inFlight[open[0]]--
				open = open[1:]
				continue
			}
			address, _, ok := p.Choose(now, lagging, job)
			if !ok {
				continue
			}
			open = append(open, address)
			inFlight[address]++
			var i int
			_, err := fmt.Sscan(address, &i)
			assert.NilError(t, err)
			assert.Assert(t, inFlight[address] <= min(maxPerEntry, spare[i]/jobMilli) && len(open) <= maxInFlight)
		}
		for _, a := range open {
			p.Ended(now, a, Answered)
		}
		p.Ended(now, "0", Answered)
		assert.Equal(t, p.inFlight, 0)
	})
}
