package runs

import (
	"cmp"
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/progress"
)

const (
	// MaxProgress is the maximum number of progress reports in one message.
	MaxProgress = 64
	// minProgressInterval is the minimum time between two reports on one run, except that a run that
	// becomes stalled is reported at once.
	minProgressInterval = 100 * time.Millisecond
	// progressRefresh is the age of a report after which it is repeated while it still matters, so
	// that one that was lost is replaced.
	progressRefresh = 400 * time.Millisecond
	// longFactor is how much longer than expected a run must be predicted to take to be reported.
	longFactor = 1.5
	// progressChange is the change of a run's predicted run time since its last report, relative to
	// that report, from which it is reported again.
	progressChange = 0.25
	// minLeft is the least time left that is reported, because zero tells the entry that it is unknown:
	// the entry would then stop a long run that is about to end.
	minLeft = time.Millisecond
	// stopDuration is how long an acknowledged stop takes: the platform specifies 50 ms.
	stopDuration = 50 * time.Millisecond
	// maxListingTime is the time from the request of a run listing within which the runner makes it: a
	// poll waits up to 60 ms. A guard short of processor time or suspended reads the answer later.
	maxListingTime = 80 * time.Millisecond
)

// Progress is a report on the progress of a run to its owner.
type Progress struct {
	Run work.RunID
	// Percent is the progress as the runner last listed it, 0 to 100.
	Percent int
	// Left is the time left until the run ends at its own recent pace; zero if it is unknown.
	Left time.Duration
	// Stalled is true if the run makes no progress.
	Stalled bool
}

// StalledRun is a run that has become stalled.
type StalledRun struct {
	Owner   Owner
	Run     work.RunID
	Percent int
}

// reportedProgress is the last report on the progress of a run; its zero value means none.
type reportedProgress struct {
	// at is the uptime of the report, runTime the run time predicted in it, zero if unknown.
	at, runTime time.Duration
	stalled     bool
}

// recordProgress records the progress of the runs in a run listing that was requested at the uptime
// asked and read at the uptime now.
func (t *Table) recordProgress(now, asked time.Duration, v work.Listing) {
	if t.opt.DisableRunProgress {
		return
	}
	p := &t.runner.progress
	made := min(now, asked+maxListingTime)
	for _, name := range v.Running {
		r := t.find(name)
		if r == nil {
			continue
		}
		listed, known := v.Progress[name]
		if !known {
			r.progress.Forget(v.Clock)
			continue
		}
		reading := progress.Reading{ReadAt: made, Clock: v.Clock, Percent: listed.Percent, Kind: progress.Kind{Priority: r.priority, Expected: r.expected}}
		if r.started {
			reading.Age = max(made-r.startedAt, 0)
		}
		p.Record(&r.progress, reading)
		e := t.estimate(now, r)
		if stalled := e.State == progress.Stalled; stalled != r.stalled {
			r.stalled = stalled
			if stalled {
				t.stalled = append(t.stalled, StalledRun{r.owner, r.id, e.Percent})
			}
		}
	}
}

// TakeStalled returns the runs that have become stalled since the last call.
func (t *Table) TakeStalled() []StalledRun {
	stalled := t.stalled
	t.stalled = nil
	return stalled
}

// estimate returns what is known of a run's progress.
func (t *Table) estimate(now time.Duration, r *run) progress.Estimate {
	if t.runner == nil || r.stoppingSince > 0 || r.endReported {
		return progress.Estimate{}
	}
	return t.runner.progress.Estimate(&r.progress, now, t.expectedHere(r))
}

// expectedHere returns the expected run time at this runner, zero if it is unknown.
func (t *Table) expectedHere(r *run) time.Duration {
	if ratio := t.runTimePermille(); ratio > 0 {
		return time.Duration(float64(r.expected) * float64(ratio) / 1000)
	}
	return r.expected
}

// minSpeedSamples is the number of samples from which the ratio of run times is used.
const minSpeedSamples = 16

// runTimePermille returns the mean ratio of run times at this runner to the expected ones, in
// thousandths, and zero if it is unknown.
func (t *Table) runTimePermille() int {
	if t.runner == nil {
		return 0
	}
	ratio, samples := t.runner.speed.Permille()
	if samples < minSpeedSamples {
		return 0
	}
	return ratio
}

// DueProgress returns the progress reports that are to be sent to an owner with the next message, at
// most MaxProgress, stalled runs first, and the number of those omitted. They count as sent.
func (t *Table) DueProgress(now time.Duration, owner Owner) (due []Progress, omitted int) {
	if t.opt.DisableRunProgress || t.runner == nil || !t.runner.progress.Moves() {
		return nil, 0
	}
	for _, r := range t.runs {
		if r.owner != owner || r.stoppingSince > 0 || r.endReported {
			continue
		}
		e := t.estimate(now, r)
		if !t.isDue(now, r, e) {
			continue
		}
		if e.LeftKnown {
			e.Left = max(e.Left, minLeft)
		}
		due = append(due, Progress{Run: r.id, Percent: e.Percent, Left: e.Left, Stalled: e.State == progress.Stalled})
	}
	slices.SortFunc(due, func(a, b Progress) int {
		x, y := a.Run.Task, b.Run.Task
		return cmp.Or(compareTrueFirst(a.Stalled, b.Stalled), cmp.Compare(x.Job, y.Job), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
	})
	if len(due) > MaxProgress {
		omitted = len(due) - MaxProgress
		due = due[:MaxProgress]
	}
	for _, d := range due {
		r := t.runs[d.Run.Task]
		r.reported = reportedProgress{at: now, stalled: d.Stalled}
		if d.Left > 0 {
			r.reported.runTime = r.age(now) + d.Left
		}
	}
	return due, omitted
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// isDue reports whether the owner is to be sent an estimate, because it would assume something else.
func (t *Table) isDue(now time.Duration, r *run, e progress.Estimate) bool {
	last := r.reported
	stalled := e.State == progress.Stalled
	if stalled && !last.stalled {
		return true
	}
	if last.at > 0 && now-last.at < minProgressInterval {
		return false
	}
	refresh := last.at == 0 || now-last.at >= progressRefresh
	switch {
	case stalled:
		return refresh
	case last.stalled:
		// The run moves again, or its progress is not known any more.
		return true
	case e.State != progress.Moving || !e.LeftKnown:
		return false
	}
	runTime := r.age(now) + e.Left
	if last.runTime > 0 && float64((runTime-last.runTime).Abs()) > progressChange*float64(last.runTime) {
		return true
	}
	expected := t.expectedHere(r)
	return refresh && expected > 0 && float64(runTime) > longFactor*float64(expected)
}

// age returns how long the run has lasted, from its order if its start is not confirmed.
func (r *run) age(now time.Duration) time.Duration {
	if r.started {
		return now - r.startedAt
	}
	return now - r.orderedAt
}

// resetReported makes the runs of an owner be reported on again, because the messages of its last
// session may be lost.
func (t *Table) resetReported(owner Owner) {
	for _, r := range t.runs {
		if r.owner == owner {
			r.reported = reportedProgress{}
		}
	}
}

// CapacityAt returns Capacity with what depends on the runs and on the time.
func (t *Table) CapacityAt(now time.Duration) Capacity {
	c := t.Capacity()
	if t.opt.DisableSharedDemand || t.runner == nil || !t.runner.listingRead {
		return c
	}
	c.AllocatedByPriorityMilli = t.allocatedByPriority()
	if t.opt.DisableRunProgress {
		return c
	}
	if releases := make([]int64, len(work.ReleaseHorizons)); t.addReleases(now, releases) {
		c.ReleasesMilli = releases
	}
	return c
}

// addReleases adds the CPU that the runs are expected to release within each of
// work.ReleaseHorizons. It returns false if there is no estimate for some run.
func (t *Table) addReleases(now time.Duration, releases []int64) (known bool) {
	for _, r := range t.runs {
		left, releasing, known := t.timeLeft(now, r)
		if !known {
			return false
		}
		if !releasing {
			continue
		}
		i := slices.IndexFunc(work.ReleaseHorizons[:], func(horizon time.Duration) bool { return left <= horizon })
		if i >= 0 {
			releases[i] += r.need.CPUMilli
		}
	}
	for i := 1; i < len(releases); i++ {
		releases[i] += releases[i-1]
	}
	return true
}

// timeLeft returns the estimated time left until a run releases its resources. releasing is false if
// it is not expected to, and known is false if there is no estimate.
func (t *Table) timeLeft(now time.Duration, r *run) (left time.Duration, releasing, known bool) {
	if r.stopAcked {
		return r.answeredAt + stopDuration - now, true, true
	}
	switch e := t.estimate(now, r); {
	case e.State == progress.Stalled, r.unresolved, r.endReported:
		return 0, false, true
	case e.LeftKnown:
		return e.Left, true, true
	}
	expected := t.expectedHere(r)
	if expected == 0 {
		return 0, false, false
	}
	age := r.age(now)
	if left = expected - age; left > 0 {
		return left, true, true
	}
	// A run that lasts longer than expected is in the tail of the distribution: the longer it has
	// lasted, the longer it is expected to go on.
	return age, true, true
}
