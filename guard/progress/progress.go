// Package progress estimates from the percentages that a runner lists whether a run makes progress
// and how long it will take. It has no clock and does no I/O.
package progress

import (
	"math/bits"
	"time"

	"almondstand.dev/dispatch/work"
)

// State says whether a run makes progress.
type State int

// States.
const (
	// Unknown means that the listed percentages do not tell.
	Unknown State = iota
	Moving
	Stalled
)

const (
	// A run is stalled if it has been listed with the same percentage for stallFactor times what one
	// percent took so far, and for at least minStall.
	stallFactor = 6
	minStall    = 200 * time.Millisecond
	// A run at percentage 0 is stalled after minStallAtZero and 1/stallShareAtZero of its expected
	// run time, times the step of the percentages: what one percent takes is not known then.
	minStallAtZero   = 250 * time.Millisecond
	stallShareAtZero = 10
	// stepStallFactor is how many times as long as one step of the percentage a run must have been
	// listed with it, at a runner that lists only multiples of a larger step.
	stepStallFactor = 2
	// maxReadingGap bounds how much of the time between two readings counts as listed with the same
	// percentage. A poll waits 60 ms at the runner; longer gaps mean that the runner, the guard or
	// the connection was held up, and then nothing is known of the time in between.
	maxReadingGap = 100 * time.Millisecond
	// maxReadingAge is the age of the last reading above which the state is unknown: two polls in a
	// row that go unanswered take less.
	maxReadingAge = 300 * time.Millisecond
	// paceWindow is the time over which the recent pace is measured; it covers one to two windows.
	paceWindow = 300 * time.Millisecond
	// minRise is the rise of the percentage from which a pace is derived. Percentages are whole and
	// are read up to 60 ms after they changed, so that less than this says little.
	minRise = 3
	// maxLeft bounds the time left: a clock that jumps must not give a time that can't be added to
	// another.
	maxLeft = time.Hour
	done    = 100
)

// point is a percentage and the time of the runner's clock at which it was reached.
type point struct {
	clock   time.Duration
	percent int
}

// Process is what is known of all runs of one process of a runner. Its zero value knows nothing.
type Process struct {
	// moves is true once a percentage has risen to less than 100. A runner that lists the same
	// percentage until a run ends does not report progress, and its runs are not stalled.
	moves bool
	// kinds holds the kinds of which a percentage has risen to less than 100, by priority class, one bit
	// for each octave of the expected run time.
	kinds [work.PriorityClasses]uint64
	// step is the greatest common divisor of the percentages below 100 that were listed, 0 if there
	// was none above 0.
	step int
}

// Moves reports whether the process is known to report progress.
func (p *Process) Moves() bool { return p.moves }

// Kind is a kind of work. One runner may report progress for some kinds and not for others.
type Kind struct {
	Priority int
	// Expected is the expected run time; kinds differ by its octave.
	Expected time.Duration
}

// bit returns the position of the kind in Process.kinds.
func (k Kind) bit() (class int, mask uint64) {
	return work.PriorityClass(k.Priority), 1 << min(bits.Len64(uint64(max(k.Expected.Milliseconds(), 0))), 63)
}

// record records that a percentage of the kind has risen.
func (p *Process) record(k Kind) {
	class, mask := k.bit()
	p.moves = true
	p.kinds[class] |= mask
}

// knows reports whether a percentage of the kind has risen.
func (p *Process) knows(k Kind) bool {
	class, mask := k.bit()
	return p.kinds[class]&mask != 0
}

// Run tracks the progress of one run. Its zero value knows nothing.
type Run struct {
	// read is true once there was a reading. lastClock is the runner's clock at the last one, and
	// lastReadAt the uptime at which it was read.
	read                  bool
	lastClock, lastReadAt time.Duration
	// kind is that of the run.
	kind Kind
	// highest is the highest percentage listed.
	highest int
	// start is the point to which a percentage is compared to tell what one percent took so far,
	// reached the reading at which the current percentage was first listed, and held the time for
	// which it has been listed.
	start, reached point
	held           time.Duration
	// older and newer are the points from which the recent pace is measured.
	older, newer point
	// rose is true once the percentage has risen, and wentBack from the time at which it went back
	// until it exceeds highest again.
	rose, wentBack bool
	// repeated is true if the current percentage has been listed more than once.
	repeated bool
}

// Reading is the progress of a run in one listing.
type Reading struct {
	// ReadAt is the uptime at which the listing was read, or the latest one at which it was made if it
	// was read later, and Clock the runner's clock in it.
	ReadAt, Clock time.Duration
	Percent       int
	// Age is how long the run has lasted at ReadAt, zero if that is not known.
	Age time.Duration
	// Kind is the kind of the run's work.
	Kind Kind
}

// Forget discards the readings, because a listing of the given clock has no progress of the run.
func (r *Run) Forget(clock time.Duration) {
	if r.read && clock > r.lastClock {
		*r = Run{}
	}
}

// Record records a reading. Listings may be read in another order than the runner made them in, so
// a reading that is not newer by the runner's clock is dropped.
func (p *Process) Record(r *Run, n Reading) {
	if n.Percent < 0 || n.Percent > done {
		r.Forget(n.Clock)
		return
	}
	if n.Percent < done {
		p.step = gcd(p.step, n.Percent)
	}
	at := point{n.Clock, n.Percent}
	if !r.read {
		*r = Run{read: true, kind: n.Kind, lastClock: n.Clock, lastReadAt: n.ReadAt, highest: n.Percent, start: at, reached: at}
		if n.Age > 0 {
			r.start = point{clock: n.Clock - n.Age}
		}
		r.older, r.newer = r.start, r.start
		return
	}
	if n.Clock <= r.lastClock {
		return
	}
	gap := n.Clock - r.lastClock
	if jump := gap - (n.ReadAt - r.lastReadAt); jump > maxReadingAge {
		r.shift(jump)
		gap -= jump
	}
	r.lastClock, r.lastReadAt = n.Clock, n.ReadAt
	if gap > maxReadingAge {
		// The run may have been suspended in between, which would count as a slow pace.
		r.older, r.newer = at, at
	}
	switch {
	case n.Percent == r.reached.percent:
		r.held += min(gap, maxReadingGap)
		r.repeated = true
	case n.Percent < r.reached.percent:
		r.start, r.reached, r.older, r.newer = at, at, at, at
		r.held, r.wentBack, r.repeated = 0, true, false
	default:
		r.rise(at)
		if !r.wentBack && n.Percent < done {
			p.record(r.kind)
		}
	}
}

// gcd returns the greatest common divisor of two numbers that are not negative.
func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

// shift moves the points by the time by which the runner's clock was set forward.
func (r *Run) shift(jump time.Duration) {
	for _, p := range []*point{&r.start, &r.reached, &r.older, &r.newer} {
		p.clock += jump
	}
}

// rise records that the run has reached a higher percentage.
func (r *Run) rise(at point) {
	r.reached, r.held, r.repeated, r.rose = at, 0, false, true
	if at.percent > r.highest {
		r.highest, r.wentBack = at.percent, false
	}
	if at.clock-r.newer.clock >= paceWindow {
		r.older, r.newer = r.newer, at
	}
}

// Estimate is what is known of a run.
type Estimate struct {
	State State
	// Percent is the last percentage listed.
	Percent int
	// Left is the time left until the run ends at its recent pace; it is known only if LeftKnown is
	// true.
	Left      time.Duration
	LeftKnown bool
}

// Estimate returns what is known of a run at the uptime now. expected is its expected run time, zero
// if unknown.
func (p *Process) Estimate(r *Run, now, expected time.Duration) Estimate {
	e := Estimate{Percent: r.reached.percent}
	if !r.read || !p.moves || r.wentBack || now-r.lastReadAt > maxReadingAge {
		return e
	}
	switch {
	case r.reached.percent == done && r.repeated:
		return e
	case r.reached.percent == 0 && !p.knows(r.kind):
		// The runner may not report progress for this kind.
		return e
	case r.stalled(p.step, expected):
		e.State = Stalled
		return e
	case !r.rose:
		return e
	}
	e.State = Moving
	e.Left, e.LeftKnown = r.left(now)
	return e
}

// stalled reports whether the current percentage has been listed for too long at a runner that lists
// multiples of step.
func (r *Run) stalled(step int, expected time.Duration) bool {
	if r.reached.percent == 0 {
		return r.held >= max(minStallAtZero, time.Duration(max(step, 1))*expected/stallShareAtZero)
	}
	rise := r.reached.percent - r.start.percent
	if rise <= 0 || r.held < minStall {
		return false
	}
	factor := time.Duration(max(stallFactor, stepStallFactor*step))
	return r.held > factor*(r.reached.clock-r.start.clock)/time.Duration(rise)
}

// left returns the time left at the recent pace.
func (r *Run) left(now time.Duration) (left time.Duration, known bool) {
	rise := r.reached.percent - r.older.percent
	if rise < minRise {
		return 0, false
	}
	perPercent := min(float64(r.reached.clock-r.older.clock)/float64(rise), float64(maxLeft))
	since := (r.lastClock - r.reached.clock) + (now - r.lastReadAt)
	missing := done - r.reached.percent
	atPace := time.Duration(perPercent*float64(missing)) - since
	// While the percentage is listed, at most one percent less is missing.
	least := time.Duration(perPercent*float64(max(missing-1, 0))) - (now - r.lastReadAt)
	return min(max(atPace, least, 0), maxLeft), true
}
