package progress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// percents returns readings 20 ms apart with the given percentages.
func percents(all ...int) []Reading {
	var readings []Reading
	for i, p := range all {
		at := time.Duration(i+1) * 20 * ms
		readings = append(readings, Reading{ReadAt: time.Hour + at, Clock: at, Percent: p, Age: at})
	}
	return readings
}

// repeat returns n readings of one percentage after those given.
func repeat(before []int, percent, n int) []int {
	for range n {
		before = append(before, percent)
	}
	return before
}

// Guards against runs that are taken as stalled although they move or nothing is known of them, and
// against stalled runs that are not found.
func TestStates(t *testing.T) {
	for name, c := range map[string]struct {
		percents []int
		expected time.Duration
		silence  time.Duration
		want     State
	}{
		"one reading":                        {percents: []int{41}, want: Unknown},
		"moving":                             {percents: []int{0, 10, 20, 30}, want: Moving},
		"held for less than 200 ms":          {percents: repeat([]int{0, 10}, 20, 10), want: Moving},
		"held for 200 ms":                    {percents: repeat([]int{0, 10}, 20, 11), want: Stalled},
		"held within six times a percent":    {percents: repeat([]int{0, 0, 0, 1}, 1, 23), want: Moving},
		"held beyond six times a percent":    {percents: repeat([]int{0, 0, 0, 1}, 1, 25), want: Stalled},
		"at 0 for less than 250 ms":          {percents: repeat(nil, 0, 13), want: Unknown},
		"at 0 for 250 ms":                    {percents: repeat(nil, 0, 14), want: Stalled},
		"at 0 within a tenth of expectation": {percents: repeat(nil, 0, 14), expected: 5 * time.Second, want: Unknown},
		"at 0 beyond a tenth of expectation": {percents: repeat(nil, 0, 27), expected: 5 * time.Second, want: Stalled},
		"at 100 for the first time":          {percents: []int{60, 80, 100}, want: Moving},
		"stays at 100":                       {percents: repeat([]int{60, 80}, 100, 30), want: Unknown},
		"always at 100":                      {percents: repeat(nil, 100, 30), want: Unknown},
		"went back":                          {percents: []int{10, 20, 30, 29}, want: Unknown},
		"went back and stays":                {percents: repeat([]int{10, 20, 30}, 29, 40), want: Unknown},
		"went back, at its highest again":    {percents: repeat([]int{10, 20, 30, 20}, 30, 40), want: Unknown},
		"went back and beyond":               {percents: []int{10, 20, 30, 20, 25, 31}, want: Moving},
		"moving, then listings not read":     {percents: []int{0, 10, 20, 30}, silence: 301 * ms, want: Unknown},
		"stalled, then listings not read":    {percents: repeat([]int{0, 10}, 20, 11), silence: 301 * ms, want: Unknown},
		"over 100":                           {percents: []int{10, 20, 30, 101}, want: Unknown},
	} {
		p, r := Process{}, Run{}
		p.record(Kind{})
		var now time.Duration
		for _, n := range percents(c.percents...) {
			p.Record(&r, n)
			now = n.ReadAt + c.silence
		}
		assert.Equal(t, p.Estimate(&r, now, c.expected).State, c.want, name)
	}
}

// Guards against runs that are stopped at a runner which lists one percentage until they end.
func TestRunnerWithoutProgressStallsNoRun(t *testing.T) {
	var p Process
	var r, jump, moving Run
	for _, n := range percents(repeat(nil, 0, 40)...) {
		p.Record(&r, n)
		assert.Equal(t, p.Estimate(&r, n.ReadAt, 0).State, Unknown)
	}
	for _, n := range percents(0, 100) {
		p.Record(&jump, n)
	}
	assert.Assert(t, !p.Moves())
	for _, n := range percents(0, 1) {
		p.Record(&moving, n)
	}
	assert.Equal(t, p.Estimate(&r, time.Hour+800*ms, 0).State, Stalled)
}

// TestKindWithoutProgressStallsNoRun guards against runs that are stopped after 250 ms at a runner that
// lists progress for other kinds of work only: of another priority, or of another length.
func TestKindWithoutProgressStallsNoRun(t *testing.T) {
	silent := Kind{Priority: 1, Expected: 900 * ms}
	for _, moving := range []Kind{{0, 900 * ms}, {1, 400 * ms}, {1, 2 * time.Second}} {
		var p Process
		var r Run
		state := func(k Kind) State {
			var other Run
			for i, n := range percents(repeat(nil, 0, 40)...) {
				at := n
				at.Percent, at.Kind = i, k
				p.Record(&other, at)
				n.Kind = silent
				p.Record(&r, n)
			}
			return p.Estimate(&r, time.Hour+800*ms, 0).State
		}
		assert.Equal(t, state(moving), Unknown, "%v", moving)
		assert.Assert(t, p.Moves())
		assert.Equal(t, state(Kind{Priority: 1, Expected: 520 * ms}), Stalled, "a run of the kind has moved")
	}
}

// Guards against runs that are taken as stalled, and would be stopped, at a runner whose percentages
// rise in large steps; a run that hangs there is found within two steps and a margin.
func TestPercentagesInLargeSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Process
		step := rapid.SampledFrom([]int{5, 10, 20, 25, 50}).Draw(t, "step")
		var length time.Duration
		run := func(hangsAt, last time.Duration) State {
			var r Run
			var e Estimate
			for at := 20 * ms; at <= last; at += 20 * ms {
				percent := int(min(at, hangsAt)*100/length) / step * step
				p.Record(&r, Reading{ReadAt: time.Hour + at, Clock: at, Percent: percent, Age: at})
				e = p.Estimate(&r, time.Hour+at, length)
				assert.Assert(t, e.State != Stalled || at > hangsAt, "at %v of %v", at, length)
			}
			return e.State
		}
		for range 5 {
			length = time.Duration(rapid.IntRange(50, 6000).Draw(t, "length")) * ms
			run(length, length-ms)
		}
		length = time.Duration(rapid.IntRange(400, 6000).Draw(t, "length")) * ms
		hangsAt := length * 51 / 100
		assert.Equal(t, run(hangsAt, hangsAt+time.Duration(2*step+6)*length/100+300*ms), Stalled)
	})
}

// Guards against a run that is taken as stalled after a time in which no listing was read, and
// against readings that outlive a listing without progress.
func TestGapsBetweenReadings(t *testing.T) {
	p, r := Process{moves: true}, Run{}
	record := func(at time.Duration, percent int) {
		p.Record(&r, Reading{ReadAt: time.Hour + at, Clock: at, Percent: percent, Age: at})
	}
	record(20*ms, 10)
	record(40*ms, 20)
	record(900*ms, 20)
	assert.Equal(t, p.Estimate(&r, time.Hour+900*ms, 0).State, Moving)
	r.Forget(800 * ms)
	assert.Equal(t, p.Estimate(&r, time.Hour+900*ms, 0).State, Moving, "an older listing")
	r.Forget(901 * ms)
	assert.Equal(t, p.Estimate(&r, time.Hour+901*ms, 0), Estimate{})
}

// Guards against runs that are predicted to last for minutes, and would be stopped for that, or whose
// stall is not found, because the clock of their runner was set forward or the runner was suspended.
func TestClockThatJumps(t *testing.T) {
	for _, c := range []struct{ jump, suspended time.Duration }{
		{jump: 400 * ms}, {jump: time.Hour}, {suspended: 400 * ms}, {suspended: 3 * time.Second}, {3 * time.Second, 3 * time.Second},
	} {
		p, r := Process{moves: true}, Run{}
		known := false
		var now time.Duration
		record := func(at time.Duration, percent int) Estimate {
			n := Reading{ReadAt: time.Hour + at, Clock: at, Percent: percent, Age: at}
			if at >= 500*ms {
				n.ReadAt += c.suspended
				n.Clock += c.suspended + c.jump
			}
			now = n.ReadAt
			p.Record(&r, n)
			return p.Estimate(&r, now, time.Second)
		}
		for at := 20 * ms; at <= 800*ms; at += 20 * ms {
			e := record(at, int(at/(10*ms)))
			assert.Assert(t, e.State != Stalled)
			if want := time.Second - at; e.LeftKnown {
				assert.Assert(t, e.Left > want-50*ms && e.Left < want+50*ms, "%+v: %v left, want %v", c, e.Left, want)
			}
			known = e.LeftKnown
		}
		assert.Assert(t, known, "%+v: the pace afterwards", c)
		if c.suspended > 0 {
			continue
		}
		for at := 820 * ms; at <= 1020*ms; at += 20 * ms {
			record(at, 80)
		}
		assert.Equal(t, p.Estimate(&r, now, time.Second).State, Stalled, "%+v", c)
	}
}

// Guards against remaining times that follow one or two percent, read up to 60 ms after they changed.
func TestSmallRiseGivesNoPace(t *testing.T) {
	var p Process
	var r Run
	for i, percent := range []int{0, 1, 2, 3} {
		at := time.Duration(i+1) * 20 * ms
		p.Record(&r, Reading{ReadAt: time.Hour + at, Clock: at, Percent: percent, Age: at})
		e := p.Estimate(&r, time.Hour+at, 0)
		assert.Equal(t, e.LeftKnown, percent >= 3, "at %d percent", percent)
	}
}

// Guards against remaining times that follow the whole run instead of its recent pace.
func TestRemainingTimeFollowsRecentPace(t *testing.T) {
	var p Process
	var r Run
	var last Reading
	for at := 20 * ms; at <= 2*time.Second; at += 20 * ms {
		// 10 ms a percent for 200 ms, and 50 ms a percent from then on.
		percent := int(at / (10 * ms))
		if at > 200*ms {
			percent = 20 + int((at-200*ms)/(50*ms))
		}
		last = Reading{ReadAt: time.Hour + at, Clock: at, Percent: percent, Age: at}
		p.Record(&r, last)
	}
	e := p.Estimate(&r, last.ReadAt+100*ms, 0)
	assert.Assert(t, e.State == Moving && e.LeftKnown)
	want := 44*50*ms - 100*ms
	assert.Assert(t, e.Left > want-100*ms && e.Left < want+100*ms, "%v left, want %v", e.Left, want)
}

// Runs that move evenly are never stalled, whatever the order in which their listings are read, and
// their ends are predicted; a run that hangs is found within its bound and the polls it takes.
func TestRunsAgainstTheirTrueCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Process{moves: true}
		var r Run
		length := time.Duration(rapid.IntRange(50, 6000).Draw(t, "length")) * ms
		hangsAt := time.Duration(rapid.IntRange(5, 100).Draw(t, "hangs at")) * length / 100
		confirmed := time.Duration(rapid.IntRange(0, 60).Draw(t, "confirmed")) * ms
		onePercent := length / 100
		last := length
		if hangsAt < length {
			last = hangsAt + 7*onePercent + 500*ms
		}
		var now time.Duration
		for at := confirmed; at < last; {
			at += time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * ms
			worked := min(at, hangsAt, length)
			now = time.Hour + at
			p.Record(&r, Reading{ReadAt: now, Clock: at, Percent: int(worked * 100 / length), Age: at - confirmed/2})
			if rapid.Bool().Draw(t, "older answer") {
				before := r
				p.Record(&r, Reading{ReadAt: now, Clock: at - time.Duration(rapid.IntRange(0, 80).Draw(t, "older by"))*ms, Percent: rapid.IntRange(0, 100).Draw(t, "percent")})
				assert.Equal(t, r, before)
			}
			e := p.Estimate(&r, now, length)
			if at <= hangsAt {
				assert.Assert(t, e.State != Stalled, "at %v of %v", at, length)
			}
			if e.LeftKnown && at <= hangsAt && e.Percent >= 20 && onePercent >= 10*ms {
				left := length - at
				assert.Assert(t, e.Left < left*3/2+100*ms && e.Left > left/2-100*ms, "%v left, predicted %v", left, e.Left)
			}
		}
		if hangsAt < length {
			assert.Equal(t, p.Estimate(&r, now, length).State, Stalled)
		}
	})
}
