package runs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// progressTable is a table whose runner lists the progress of its runs.
type progressTable struct {
	*Table
	starts map[string]*Start
}

// newProgressTable returns a table with a run for each job, which is expected to take 200 ms.
func newProgressTable(t *testing.T, jobs ...string) progressTable {
	p := progressTable{newTable(int64(len(jobs))), map[string]*Start{}}
	for _, job := range jobs {
		o := order(job, 0)
		o.Expected = 200 * ms
		p.starts[job] = mustStart(t, p.Table, testStart, entryA, o)
		p.Started(testStart, p.starts[job].Name)
	}
	return p
}

// list applies a listing made at a time after testStart, in which each run has the progress given; a
// negative one means that the row has none.
func (p progressTable) list(at time.Duration, percent map[string]int) {
	v := work.Listing{Clock: time.Hour + at, Progress: map[work.RunnerRunID]work.Progress{}}
	for job, s := range p.starts {
		v.Running = append(v.Running, s.Name)
		if listed, ok := percent[job]; ok && listed >= 0 {
			v.Progress[s.Name] = work.Progress{Percent: listed}
		}
	}
	p.ApplyListing(testStart+at, testStart+at, v)
}

// due returns the reports due at a time after testStart, by job.
func (p progressTable) due(at time.Duration) map[string]Progress {
	due, _ := p.DueProgress(testStart+at, entryA)
	byJob := map[string]Progress{}
	for _, d := range due {
		byJob[d.Run.Task.Job] = d
	}
	return byJob
}

// Guards against reports that tell an entry nothing new, and against runs that an entry would stop
// because no report says that they move, or keep because none says that they are stalled.
func TestProgressIsReportedWhereItMatters(t *testing.T) {
	p := newProgressTable(t, "normal", "long", "stalled")
	for at := 20 * ms; at <= 100*ms; at += 20 * ms {
		p.list(at, map[string]int{"normal": int(at / (2 * ms)), "long": int(at / (10 * ms)), "stalled": 5})
	}
	due := p.due(100 * ms)
	assert.Equal(t, len(due), 1, "%v", due)
	assert.Assert(t, due["long"].Left > 850*ms && due["long"].Left < 950*ms && due["long"].Percent == 10, "%v", due)
	other, _ := p.DueProgress(testStart+100*ms, entryB)
	assert.Equal(t, len(other), 0)
	assert.Equal(t, len(p.TakeStalled()), 0)
	// The long run goes on at its pace, and the stalled one stays at 5 percent.
	for at := 120 * ms; at <= 180*ms; at += 20 * ms {
		p.list(at, map[string]int{"normal": int(at / (2 * ms)), "long": int(at / (10 * ms)), "stalled": 5})
		assert.Equal(t, len(p.due(at)), 0, "%v", at)
	}
	p.list(240*ms, map[string]int{"long": 24, "stalled": 5})
	assert.DeepEqual(t, p.TakeStalled(), []StalledRun{{entryA, p.starts["stalled"].Run, 5}})
	due = p.due(240 * ms)
	assert.Assert(t, len(due) == 1 && due["stalled"].Stalled && due["stalled"].Left == 0, "%v", due)
	p.list(260*ms, map[string]int{"long": 26, "stalled": 5})
	assert.Equal(t, len(p.TakeStalled()), 0)
	// The pace of the long run becomes five times as slow.
	for at := 280 * ms; at <= 340*ms; at += 20 * ms {
		p.list(at, map[string]int{"long": 26 + int((at-260*ms)/(50*ms)), "stalled": 60})
	}
	due = p.due(340 * ms)
	assert.Assert(t, len(due) == 1 && !due["stalled"].Stalled, "%v", due)
	for at := 360 * ms; at <= 1260*ms; at += 60 * ms {
		p.list(at, map[string]int{"long": 26 + int((at-260*ms)/(50*ms))})
		if due, ok := p.due(at)["long"]; ok && due.Left > 2*time.Second {
			return
		}
	}
	t.Fatal("the changed pace was not reported")
}

// Guards against a run being reported with every message, and against a report that is lost with a
// session or with a message for good.
func TestProgressReportsAreLimited(t *testing.T) {
	p := newProgressTable(t, "long")
	reports := 0
	for at := 20 * ms; at < 1000*ms; at += 20 * ms {
		p.list(at, map[string]int{"long": int(at / (10 * ms))})
		reports += len(p.due(at))
	}
	assert.Equal(t, reports, 3, "one in 400 ms")
	p.Resume(testStart+1000*ms, entryA, nil)
	assert.Equal(t, len(p.due(1001*ms)), 0, "its owner does not know the run any more")

	changing := newProgressTable(t, "j")
	for at := 20 * ms; at <= 100*ms; at += 20 * ms {
		changing.list(at, map[string]int{"j": int(at / (10 * ms))})
	}
	assert.Equal(t, len(changing.due(100*ms)), 1)
	changing.list(120*ms, map[string]int{"j": 40})
	assert.Equal(t, len(changing.due(199*ms)), 0, "within 100 ms")
	assert.Equal(t, len(changing.due(200*ms)), 1)

	var jobs []string
	percent := map[string]int{}
	for i := range MaxProgress + 6 {
		jobs = append(jobs, fmt.Sprint("job-", i))
	}
	many := newProgressTable(t, jobs...)
	var open []work.RunID
	for i := 1; i <= 4; i++ {
		for _, job := range jobs {
			percent[job] = i
			open = append(open, many.starts[job].Run)
		}
		many.list(time.Duration(i)*20*ms, percent)
	}
	due, omitted := many.DueProgress(testStart+80*ms, entryA)
	assert.Equal(t, len(due), MaxProgress)
	assert.Equal(t, omitted, 6)
	due, omitted = many.DueProgress(testStart+81*ms, entryA)
	assert.Equal(t, len(due), 6)
	assert.Equal(t, omitted, 0)
	many.Resume(testStart+90*ms, entryA, open)
	due, _ = many.DueProgress(testStart+91*ms, entryA)
	assert.Equal(t, len(due), MaxProgress, "a new session is sent everything again")
}

// Guards against estimates of runs whose progress a runner stops reporting, reports out of order or
// wrongly, and against those of one process being used for the next.
func TestProgressThatIsNotKnown(t *testing.T) {
	for name, last := range map[string]func(p progressTable){
		"no progress":       func(p progressTable) { p.list(120*ms, map[string]int{"long": -1}) },
		"goes back":         func(p progressTable) { p.list(120*ms, map[string]int{"long": 4}) },
		"over 100":          func(p progressTable) { p.list(120*ms, map[string]int{"long": 101}) },
		"listings not read": func(progressTable) {},
		"runner without runs": func(p progressTable) {
			p.ApplyListing(testStart+120*ms, testStart+120*ms, work.Listing{Clock: time.Hour + 120*ms})
		},
		"next process": func(p progressTable) {
			p.Adopt(testStart+120*ms, Process{Incarnation: work.Incarnation{ID: "i2"}})
			p.list(120*ms, map[string]int{"long": 12})
		},
	} {
		p := newProgressTable(t, "long")
		for at := 20 * ms; at <= 100*ms; at += 20 * ms {
			p.list(at, map[string]int{"long": int(at / (10 * ms))})
		}
		last(p)
		assert.Equal(t, len(p.due(450*ms)), 0, name)
	}
	// The run goes on at the next process, whose clock starts anew.
	moved := newProgressTable(t, "long")
	moved.list(20*ms, map[string]int{"long": 2})
	moved.list(60*ms, map[string]int{"long": 6})
	name := moved.starts["long"].Name
	moved.Adopt(testStart+70*ms, Process{Incarnation: work.Incarnation{ID: "i2"}}, name)
	for at := 80 * ms; at <= 140*ms; at += 20 * ms {
		moved.ApplyListing(testStart+at, testStart+at, work.Listing{Clock: at, Running: []work.RunnerRunID{name},
			Progress: map[work.RunnerRunID]work.Progress{name: {Percent: int((at - 70*ms) / (10 * ms))}}})
	}
	assert.Equal(t, len(moved.due(140*ms)), 1)

	p := newProgressTable(t, "long")
	for _, at := range []time.Duration{20, 60, 40, 100, 80} {
		p.list(at*ms, map[string]int{"long": int(at / 10)})
	}
	assert.Equal(t, len(p.due(100*ms)), 1, "answers out of order")
	off := newProgressTable(t, "long")
	off.opt.DisableRunProgress = true
	off.list(20*ms, map[string]int{"long": 2})
	off.list(60*ms, map[string]int{"long": 6})
	assert.Equal(t, len(off.due(100*ms)), 0)
	assert.Assert(t, off.CapacityAt(testStart+100*ms).ReleasesMilli == nil)
}

// Guards against a run that is predicted to last for minutes, and would be stopped for that, because
// the guard was suspended after its poll was answered.
func TestListingReadAfterSuspension(t *testing.T) {
	p := newProgressTable(t, "long")
	p.list(20*ms, map[string]int{"long": 2})
	p.list(40*ms, map[string]int{"long": 4})
	name := p.starts["long"].Name
	p.ApplyListing(testStart+3*time.Second, testStart+50*ms, work.Listing{Clock: time.Hour + 80*ms, Running: []work.RunnerRunID{name},
		Progress: map[work.RunnerRunID]work.Progress{name: {Percent: 8}}})
	assert.Equal(t, len(p.due(3*time.Second)), 0)
}

// Guards against a run that is predicted to take far longer than it does because its first listing was
// read 200 ms late by a guard that is short of processor time.
func TestListingReadLate(t *testing.T) {
	p := newProgressTable(t, "a")
	run := p.starts["a"]
	p.runs[run.Run.Task].expected = 400 * ms
	list := func(now, asked, clock time.Duration) {
		p.ApplyListing(testStart+now, testStart+asked, work.Listing{Clock: time.Hour + clock, Running: []work.RunnerRunID{run.Name},
			Progress: map[work.RunnerRunID]work.Progress{run.Name: {Percent: int(clock / (4 * ms))}}})
	}
	list(220*ms, 10*ms, 20*ms)
	list(240*ms, 120*ms, 160*ms)
	assert.Equal(t, len(p.due(240*ms)), 0)
}

// Guards against reports on all runs at a runner that is lastingly slow, against none on long runs at a
// fast one, and against a speed that is used from few samples.
func TestExpectationFollowsLastingSpeed(t *testing.T) {
	for _, c := range []struct {
		samples  int
		ran      time.Duration
		percent  time.Duration
		reported bool
	}{
		{minSpeedSamples, 200 * ms, 4 * ms, false},
		{minSpeedSamples - 1, 200 * ms, 4 * ms, true},
		{minSpeedSamples, 50 * ms, 2 * ms, true},
		{minSpeedSamples - 1, 50 * ms, 2 * ms, false},
	} {
		p := newProgressTable(t, "a")
		for i := range c.samples {
			p.runner.speed.Add(fmt.Sprint("other", i), c.ran, 100*ms)
		}
		for at := 20 * ms; at <= 100*ms; at += 20 * ms {
			p.list(at, map[string]int{"a": int(at / c.percent)})
		}
		assert.Equal(t, len(p.due(100*ms)) == 1, c.reported, "%+v", c)
	}
}

// Guards against a long run that is stopped when it is about to end, because no time left is reported
// as an unknown one.
func TestTimeLeftOfRunAboutToEnd(t *testing.T) {
	for name, last := range map[string]int{"at 99, slower than before": 99, "at 100": 100} {
		p := newProgressTable(t, "long")
		for at := 20 * ms; at < 990*ms; at += 20 * ms {
			p.list(at, map[string]int{"long": int(at / (10 * ms))})
		}
		p.list(990*ms, map[string]int{"long": last})
		if last == 99 {
			p.list(1030*ms, map[string]int{"long": last})
		}
		due := p.due(1035 * ms)
		assert.Assert(t, due["long"].Left > 0, "%s: %v", name, due)
	}
}

// Guards against a report that a run is not stalled any more, made because the run was stopped.
func TestStoppedRunStaysStalled(t *testing.T) {
	p := newProgressTable(t, "stalled", "moving")
	for at := 20 * ms; at <= 260*ms; at += 20 * ms {
		p.list(at, map[string]int{"stalled": 5, "moving": int(at / (10 * ms))})
	}
	assert.Assert(t, p.due(260 * ms)["stalled"].Stalled)
	p.Cancel(testStart+300*ms, entryA, p.starts["stalled"].Run)
	_, reported := p.due(400 * ms)["stalled"]
	assert.Assert(t, !reported)
}

// Guards against capacity that is expected to be released too early or not at all, and against an
// estimate that leaves out a run of which nothing is known.
func TestReleases(t *testing.T) {
	p := newProgressTable(t, "expected", "late", "moving", "stalled", "stopped")
	assert.DeepEqual(t, p.CapacityAt(testStart+100*ms).ReleasesMilli, []int64{0, 0, 5000, 5000, 5000, 5000, 5000})
	p.runs[p.starts["late"].Run.Task].expected = 50 * ms
	p.runs[p.starts["late"].Run.Task].priority = 7
	p.runs[p.starts["moving"].Run.Task].priority = 1
	for at := 20 * ms; at <= 240*ms; at += 20 * ms {
		p.list(at, map[string]int{"expected": -1, "late": -1, "stopped": -1, "stalled": 5, "moving": int(at / (10 * ms))})
	}
	p.Cancel(testStart+240*ms, entryA, p.starts["stopped"].Run)
	p.StopAcknowledged(testStart+240*ms, p.starts["stopped"].Name)
	p.runs[p.starts["expected"].Run.Task].expected = 330 * ms
	c := p.CapacityAt(testStart + 240*ms)
	// The stopped run ends within 50 ms, the expected one in 90, the late one in as long again as it
	// has lasted, and the moving one in 760.
	assert.DeepEqual(t, c.ReleasesMilli, []int64{0, 1000, 2000, 2000, 3000, 4000, 4000})
	assert.DeepEqual(t, c.AllocatedByPriorityMilli, []int64{3000, 1000, 0, 1000})
	p.runs[p.starts["expected"].Run.Task].expected = 0
	assert.Assert(t, p.CapacityAt(testStart+240*ms).ReleasesMilli == nil, "ordered by an older entry")

	replaced := New(Options{})
	assert.Assert(t, replaced.CapacityAt(testStart).ReleasesMilli == nil)
	replaced.Adopt(testStart, Process{Incarnation: work.Incarnation{ID: "i1"}})
	assert.Assert(t, replaced.CapacityAt(testStart).ReleasesMilli == nil, "no listing read yet")
	replaced.ApplyListing(testStart, testStart, work.Listing{Running: []work.RunnerRunID{p.starts["moving"].Name},
		Progress: map[work.RunnerRunID]work.Progress{p.starts["moving"].Name: {Percent: 24}}})
	due, _ := replaced.DueProgress(testStart, entryA)
	assert.Equal(t, len(due), 0, "a run of the guard's predecessor")
}
