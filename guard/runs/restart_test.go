package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

var (
	bornFirst  = Process{Incarnation: work.Incarnation{ID: "i", Born: 1000}}
	bornSecond = Process{Incarnation: work.Incarnation{ID: "i", Born: 2000}}
)

// newBornTable returns an account of a runner that says when it was started.
func newBornTable() *Table {
	b := New(Options{})
	adopt(b, begin, bornFirst)
	b.Alive(entryA, begin)
	return b
}

func adopt(b *Table, now time.Duration, p Process, listed ...work.RunName) []Report {
	reports := b.Adopt(now, p, listed...)
	b.Describe(work.Amounts{CPUMilli: 8000, MemoryMB: 512}, nil, false)
	return append(reports, b.Read(now, now, work.Account{Running: listed})...)
}

// Guards against: a task starts elsewhere while a start without an answer may still be carried
// out by the next process under its runner's id.
func TestStartInDoubtIsHeldUntilTheNextProcessIsFenced(t *testing.T) {
	for _, over := range []func(b *Table) []Report{
		func(b *Table) []Report { return b.Lapse(begin+700*ms, true) },
		func(b *Table) []Report { return b.Lapse(begin+700*ms, false) },
		func(b *Table) []Report { return b.Lose(begin + 700*ms) },
	} {
		b := newBornTable()
		unanswered := mustStart(t, b, begin, entryA, order("j", 0))
		running := mustStart(t, b, begin, entryA, order("j", 1))
		b.Started(begin+ms, running.Name)
		b.Doubtful(begin+150*ms, unanswered.Name)
		got := over(b)
		assert.Equal(t, len(got), 1, "%v", got)
		assert.Equal(t, got[0].Run, running.Run)
		reported := 0
		for _, r := range adopt(b, begin+900*ms, bornSecond) {
			if r.Run == unanswered.Run {
				reported++
				assert.Assert(t, r.State == Crashed || r.State == Stopped, "%v", r)
			}
		}
		assert.Equal(t, reported, 1)
		assert.Equal(t, b.Capacity().Used, work.Amounts{})
	}
}

// Guards against: a run that a late start began at the next process is taken as over.
func TestRunThatTheNextProcessListsGoesOn(t *testing.T) {
	b := newBornTable()
	s := mustStart(t, b, begin, entryA, order("j", 0))
	b.Doubtful(begin+150*ms, s.Name)
	got := adopt(b, begin+900*ms, bornSecond, s.Name)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, Running)
	assert.Equal(t, b.Capacity().Used, need)
	done := b.Read(begin+1000*ms, begin+950*ms, work.Account{Ends: []work.End{{Seq: 1, Run: s.Name, How: work.Done}}})
	assert.Equal(t, done[0].State, Done)
}

// Guards against: a run that was reported as over goes on at the next process.
func TestRunReportedAsOverIsStoppedAtTheNextProcess(t *testing.T) {
	b := newBornTable()
	s := mustStart(t, b, begin, entryA, order("j", 0))
	b.Started(begin+ms, s.Name)
	assert.Equal(t, len(b.Lapse(begin+700*ms, true)), 1)
	assert.Equal(t, len(adopt(b, begin+900*ms, bornSecond, s.Name)), 0)
	assert.DeepEqual(t, b.Stops(begin+900*ms), []Stop{{s.Name}})
	assert.Assert(t, !b.Open())
}

// Guards against: a start in doubt is never reported on when its runner doesn't come back.
func TestStartInDoubtExpiresWithItsCaller(t *testing.T) {
	b := newBornTable()
	s := mustStart(t, b, begin, entryA, order("j", 0))
	b.Doubtful(begin+150*ms, s.Name)
	b.Lose(begin + 700*ms)
	assert.Equal(t, len(b.Expire(begin+1499*ms)), 0)
	got := b.Expire(begin + 1500*ms)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, Stopped)
	assert.Assert(t, b.Idle())
}

// Guards against: the next process is open before it has said what it has.
func TestProcessIsOpenOnceItHasReported(t *testing.T) {
	b := newBornTable()
	b.Adopt(begin, bornSecond)
	b.Read(begin, begin, work.Account{})
	assert.Assert(t, !b.Open())
	b.Describe(need, nil, false)
	assert.Assert(t, b.Open())
}
