// Package durations learns the distribution of one contract's run times by declared run time. It
// addresses contracts with a heavy tail: a few of the jobs run several times as long as the others,
// and their declarations say so, approximately. A mean over all runs then tells too little: it
// expects such a job to take about half as long as it does, and the others too long for a while
// after it.
//
// While no heavy tail has been learnt, nothing is known and callers use their own estimates.
package durations

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// lowestClass and highestClass are the classes of declared run times below and above the
	// reference, in octaves. They are open outwards.
	lowestClass, highestClass = -3, 4
	classes                   = highestClass - lowestClass + 1
	// classMiddle is the middle of a class, in octaves above its lower bound.
	classMiddle = 0.5
	// quantileError is the relative error of the sketches.
	quantileError = 0.02
	// maxBins bounds the memory of one sketch; at the error above it covers 17 octaves.
	maxBins = 300

	// longRun times the median is the run time from which a run is long. With a spread of 0.4, as
	// contracts have without a tail, 0.03 % of the runs are longer than that.
	longRun = 4
	// minLongShare and maxLongShare are the bounds of the share of long runs for a tail. Below, the
	// quantiles are those of single runs; above, run times have changed as a whole, which the
	// callers' own estimates follow faster. Run times that change show also in maxLongShare of the
	// shortest runs, from which those of the longest differ by less than longRun otherwise.
	minLongShare, maxLongShare = 0.007, 0.2
	// minLongRuns is the least number of long runs for a tail: one job of eight tasks is not one.
	minLongRuns = 10
	// minRuns is the number of runs from which the shares above are judged.
	minRuns = 128
	// judgeInterval is the least number of runs between two judgements, and judgeIntervalDivisor the
	// number of endpoints for each run of it: a judgement of the runs at 990 endpoints takes 0.2 ms
	// of processor time.
	judgeInterval        = 16
	judgeIntervalDivisor = 8
	// maxFaultyDivisor: up to one in three endpoints may be slow because of a fault, as in the
	// planner. A tail must show without the long runs there. As an entry prefers the endpoints of its
	// own data centre, a third of them may hold nearly all of its runs.
	maxFaultyDivisor = 3

	// generationTime and generationRuns are the least age and number of runs of the younger
	// generation when it replaces the older one. Of three jobs in a hundred with eight tasks each,
	// 4,096 runs have some fifteen: with 1,024 runs the mean of a tail class is off by up to a half.
	generationTime = 30 * time.Second
	generationRuns = 4096
	// firstRuns is the number of runs whose mean declaration is the first reference. It is
	// inaccurate, as a single job of the tail may double it: after referenceRuns the younger
	// generation starts anew with a better one, and replaces the older one without the time above.
	firstRuns     = 32
	referenceRuns = 1024

	// halfWeightRuns is the number of runs of a class at which its mean has half the weight
	// against the formula for all classes.
	halfWeightRuns = 4
	// declaredWeight is the weight of the declaration within a class; the planner uses the same
	// between all runs.
	declaredWeight = 0.5
	// minClassRuns is the number of runs from which the quantiles of a class are used.
	minClassRuns = 24
	// limitQuantile with limitMargin is the run time limit. One run in a hundred of a class is
	// longer than the quantile, hardly any than 1.5 times the quantile (spread 0.4).
	limitQuantile, limitMargin = 0.99, 1.5
	// minQuantile with minFactor is the minimum run time of a class.
	minQuantile, minFactor = 0.05, 0.5
)

// Distribution is the distribution of the run times of one contract. A nil Distribution knows
// nothing and learns nothing. It is not safe for concurrent use.
type Distribution struct {
	// older answers all questions; younger holds the runs since it replaced an earlier one. Each
	// run is added to both, so that old runs lose their effect when younger replaces older.
	older, younger *generation
	// first holds the first runs, until there are enough for a reference.
	first []run
	// stage tells how accurate the reference of the older generation is.
	stage stage
	// tail is true while a heavy tail is known.
	tail bool
}

type run struct {
	endpoint      string
	ran, declared time.Duration
}

// stage is the stage of learning.
type stage int

const (
	// inaccurate: both generations have a reference from the first runs.
	inaccurate stage = iota
	// improving: only the younger generation has an accurate reference.
	improving
	accurate
)

// New returns a Distribution without runs.
func New() *Distribution { return &Distribution{} }

// generation holds the runs since its start.
type generation struct {
	since time.Duration
	// reference is the declared run time, in seconds, relative to which the classes are formed:
	// the mean declaration of the generation before.
	reference float64
	all       class
	byClass   [classes]class
	// median is the median run time at the last judgement, in seconds.
	median float64
	// at counts the runs by endpoint, sorted by endpointID: as maps of strings, both generations of a
	// contract with 990 endpoints would take more than 0.1 MB.
	at []endpointRuns
}

// endpointRuns counts the runs of an endpoint, and the long ones of them.
type endpointRuns struct{ id, runs, long uint32 }

// endpointID identifies an endpoint within a generation, by FNV-1a. Two of 990 endpoints have the same one
// with a probability of 0.0001; their runs then count as those of one.
func endpointID(name string) uint32 {
	id := uint32(2166136261)
	for i := range len(name) {
		id = (id ^ uint32(name[i])) * 16777619
	}
	return id
}

// atEndpoint returns the counts of an endpoint.
func (g *generation) atEndpoint(id uint32) *endpointRuns {
	i, found := slices.BinarySearchFunc(g.at, id, func(e endpointRuns, id uint32) int { return cmp.Compare(e.id, id) })
	if !found {
		g.at = slices.Insert(g.at, i, endpointRuns{id: id})
	}
	return &g.at[i]
}

// class holds the runs of one class of declared run times.
type class struct {
	runs          int
	ran, declared float64
	sketch        *ddsketch.DDSketch
}

// newGeneration returns a generation without runs that is to hold those of a number of endpoints.
func newGeneration(now time.Duration, reference float64, endpoints int) *generation {
	return &generation{since: now, reference: reference, at: make([]endpointRuns, 0, endpoints)}
}

// Add adds the run time of a run that ended now at an endpoint, in units of a normal endpoint. Runs
// without a declaration count with the reference.
func (d *Distribution) Add(now time.Duration, endpoint string, ran, declared time.Duration) {
	if d == nil || ran <= 0 {
		return
	}
	if d.older == nil {
		d.addFirst(now, run{endpoint, ran, declared})
		return
	}
	id := endpointID(endpoint)
	d.older.add(id, ran, declared)
	d.younger.add(id, ran, declared)
	if d.older.all.runs%d.older.judgeInterval() == 0 {
		// The younger generation counts its long runs as well, by this median.
		d.younger.median = d.younger.all.quantile(0.5)
		d.tail = d.older.judge(d.tail)
	}
	d.rotate(now)
}

// addFirst keeps one of the first runs, and starts the generations when there are enough.
func (d *Distribution) addFirst(now time.Duration, r run) {
	d.first = append(d.first, r)
	if len(d.first) < firstRuns {
		return
	}
	sum, n := 0.0, 0
	for _, r := range d.first {
		if r.declared > 0 {
			sum += r.declared.Seconds()
			n++
		}
	}
	reference := 1.0
	if n > 0 {
		reference = sum / float64(n)
	}
	d.older, d.younger = newGeneration(now, reference, 0), newGeneration(now, reference, 0)
	for _, r := range d.first {
		d.older.add(endpointID(r.endpoint), r.ran, r.declared)
	}
	d.first = nil
}

// rotate replaces the older generation by the younger one if that suffices.
func (d *Distribution) rotate(now time.Duration) {
	y := d.younger
	switch {
	case d.stage == inaccurate && d.older.all.runs >= referenceRuns:
		d.stage = improving
		d.younger = newGeneration(now, d.older.meanDeclared(), len(d.older.at))
		return
	case d.stage == inaccurate || y.all.runs < generationRuns || d.stage == accurate && now-y.since < generationTime:
		return
	}
	d.stage = accurate
	d.older, d.younger = y, newGeneration(now, y.meanDeclared(), len(y.at))
	d.tail = d.older.judge(d.tail)
}

func (g *generation) meanDeclared() float64 { return g.all.declared / float64(g.all.runs) }

func (g *generation) add(endpoint uint32, ran, declared time.Duration) {
	r, d := ran.Seconds(), declared.Seconds()
	if declared <= 0 {
		d = g.reference
	}
	g.all.add(r, d)
	g.class(d).add(r, d)
	e := g.atEndpoint(endpoint)
	e.runs++
	if g.median > 0 && r >= longRun*g.median {
		e.long++
	}
}

// class returns the class of a declared run time, in seconds.
func (g *generation) class(declared float64) *class {
	if declared <= 0 {
		declared = g.reference
	}
	return g.classOf(math.Floor(math.Log2(declared / g.reference)))
}

// classOf returns the class of an octave above the reference.
func (g *generation) classOf(octave float64) *class {
	return &g.byClass[int(min(max(octave, lowestClass), highestClass))-lowestClass]
}

// judgeInterval is the number of runs between two judgements.
func (g *generation) judgeInterval() int { return max(judgeInterval, len(g.at)/judgeIntervalDivisor) }

// judge returns whether the run times have a heavy tail, given whether they had before.
func (g *generation) judge(before bool) bool {
	g.median = g.all.quantile(0.5)
	if g.all.runs < minRuns {
		return before
	}
	needed := max(minLongRuns, minLongShare*float64(g.all.runs))
	// Runs are counted as long against the median of their time, which may have changed since.
	if g.all.quantile(1-needed/float64(g.all.runs)) < longRun*g.median {
		return false
	}
	bulkAgrees := g.all.quantile(1-maxLongShare) < longRun*g.all.quantile(maxLongShare)
	return bulkAgrees && float64(g.longElsewhere()) >= needed
}

// longElsewhere counts the long runs without those at the endpoints with the largest shares of them: up
// to a third of the endpoints and half of the runs, and at least one endpoint.
func (g *generation) longElsewhere() int {
	at := slices.Clone(g.at)
	slices.SortFunc(at, func(a, b endpointRuns) int {
		return cmp.Compare(uint64(b.long)*uint64(a.runs), uint64(a.long)*uint64(b.runs))
	})
	left, out := g.all.runs/2, 0
	for out < max(len(at)/maxFaultyDivisor, 1) && len(at) > 1 {
		left -= int(at[out].runs)
		if left < 0 && out > 0 {
			break
		}
		out++
	}
	sum := 0
	for _, e := range at[out:] {
		sum += int(e.long)
	}
	return sum
}

// HasTail reports whether a heavy tail has been learnt.
func (d *Distribution) HasTail() bool { return d != nil && d.tail }

// Expected returns the expected run time of a task; known is false while no heavy tail has been
// learnt. With few runs in the class of the declared run time it approaches the formula for all
// classes: half the declared time, scaled by what declarations were off, and half the mean.
func (d *Distribution) Expected(declared time.Duration) (run time.Duration, known bool) {
	if !d.HasTail() {
		return 0, false
	}
	g := d.older
	if declared <= 0 {
		return seconds(g.all.ran / float64(g.all.runs)), true
	}
	own := declared.Seconds()
	// Between the middles of two classes it is interpolated: in an octave the share of the tail may
	// rise from few to all.
	position := math.Log2(own/g.reference) - classMiddle
	lower := math.Floor(position)
	expected := g.expectedIn(lower, own)
	expected += (position - lower) * (g.expectedIn(lower+1, own) - expected)
	return seconds(expected), true
}

// expectedIn returns the expected run time of a task by the runs of the class of an octave, in seconds.
func (g *generation) expectedIn(octave, declared float64) float64 {
	expected, c := g.all.expected(declared), g.classOf(octave)
	if c.runs == 0 {
		return expected
	}
	weight := float64(c.runs) / float64(c.runs+halfWeightRuns)
	return expected + weight*(c.expected(declared)-expected)
}

// Min returns the minimum run time of a task; known is false while no heavy tail has been learnt or
// few runs with such a declaration have ended.
func (d *Distribution) Min(declared time.Duration) (run time.Duration, known bool) {
	c, expected := d.judged(declared)
	if c == nil {
		return 0, false
	}
	return min(seconds(c.quantile(minQuantile)), time.Duration(minFactor*float64(expected))), true
}

// Limit returns the run time that hardly any run exceeds; known is as for Min.
func (d *Distribution) Limit(declared time.Duration) (run time.Duration, known bool) {
	c, _ := d.judged(declared)
	if c == nil {
		return 0, false
	}
	return seconds(limitMargin * c.quantile(limitQuantile)), true
}

// judged returns the class of a declared run time with the expected run time, or nil if its
// quantiles are not to be used.
func (d *Distribution) judged(declared time.Duration) (c *class, expected time.Duration) {
	expected, known := d.Expected(declared)
	if !known {
		return nil, 0
	}
	c = d.older.class(declared.Seconds())
	if declared <= 0 {
		c = &d.older.all
	}
	if c.runs < minClassRuns {
		return nil, 0
	}
	return c, expected
}

func (c *class) add(ran, declared float64) {
	if c.sketch == nil {
		// It fails only for an error out of range.
		c.sketch, _ = ddsketch.LogCollapsingLowestDenseDDSketch(quantileError, maxBins)
	}
	c.runs++
	c.ran += ran
	c.declared += declared
	// It fails only for values outside of the range of the mapping, about 1e-308 to 1e308.
	_ = c.sketch.Add(ran)
}

// expected applies the formula to the runs of the class.
func (c *class) expected(declared float64) float64 {
	return declaredWeight*declared*c.ran/c.declared + (1-declaredWeight)*c.ran/float64(c.runs)
}

// quantile returns a quantile of the run times, in seconds; the class must have runs.
func (c *class) quantile(q float64) float64 {
	// It fails only for an empty sketch and for quantiles outside of 0 to 1.
	v, _ := c.sketch.GetValueAtQuantile(q)
	return v
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
