// Package estimate predicts run times from measured runs, for each client and kind of
// task. Declared run times serve only as an initial estimate, because they are often
// far off.
package estimate

import (
	"container/list"
	"time"
)

// Defaults of Options.
const (
	DefaultFallbackRunTime = 200 * time.Millisecond
	DefaultMaxKinds        = 4096
	DefaultWindow          = 32
)

// minSamples is the number of samples from which a mean counts as learnt.
const minSamples = 4

// Options configures a Table; zero values select the defaults.
type Options struct {
	// FallbackRunTime is the estimate used while nothing is declared or learnt.
	FallbackRunTime time.Duration
	// MaxKinds limits the number of kinds in the table; the least recently used one is
	// evicted first.
	MaxKinds int
	// Window is the number of samples that the running mean weighs; it determines how
	// fast the mean follows a change.
	Window int
	// DeclaredOnly disables learning, for comparison.
	DeclaredOnly bool
}

// Estimate is the expected run time of a task.
type Estimate struct {
	// Mean is the expected run time, Deviation the mean absolute deviation from it
	// (zero while unknown).
	Mean      time.Duration
	Deviation time.Duration
	// Observed is the observed run time: Mean when learnt, otherwise the observed mean of
	// the closest of kind, client and service that has any samples. Decisions against a
	// job or an endpoint use it, because a declared time may be far off.
	Observed time.Duration
	// FromSamples is false when Mean doesn't come from enough samples.
	FromSamples bool
}

// Table holds the learnt run times. It is not safe for concurrent use.
type Table struct {
	opts Options
	// kinds indexes the elements of recent, whose values are *kind; the front of recent
	// is the most recently used.
	kinds   map[key]*list.Element
	recent  *list.List
	service stat
}

type key struct{ client, kind string }

type kind struct {
	key
	stat
}

// New returns an empty table.
func New(o Options) *Table {
	if o.FallbackRunTime == 0 {
		o.FallbackRunTime = DefaultFallbackRunTime
	}
	if o.MaxKinds == 0 {
		o.MaxKinds = DefaultMaxKinds
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	return &Table{opts: o, kinds: map[key]*list.Element{}, recent: list.New()}
}

// Estimate returns the expected run time of a task. declared is the run time declared
// by the caller, zero when none; limit caps the result, zero for no limit. The first
// available one of these is used: the samples of the kind, the declared time, the
// samples of the client over all kinds, those of the service, Options.FallbackRunTime.
func (t *Table) Estimate(client, name string, declared, limit time.Duration) Estimate {
	e := t.uncapped(client, name, declared)
	e.Observed = e.Mean
	if !e.FromSamples && !t.opts.DeclaredOnly {
		e.Observed = t.observed(client, name, e.Mean)
	}
	if limit > 0 {
		e.Mean = min(e.Mean, limit)
		e.Observed = min(e.Observed, limit)
	}
	return e
}

// observed returns the mean of the closest of kind, client and service that has
// samples. Without any samples it returns guess, but at most Options.FallbackRunTime.
func (t *Table) observed(client, name string, guess time.Duration) time.Duration {
	for _, k := range []key{{client, name}, {client: client}} {
		if s := t.lookUp(k); s != nil {
			return seconds(s.mean)
		}
	}
	if t.service.samples > 0 {
		return t.Mean()
	}
	return min(guess, t.opts.FallbackRunTime)
}

func (t *Table) uncapped(client, name string, declared time.Duration) Estimate {
	if t.opts.DeclaredOnly {
		return Estimate{Mean: t.declaredOrFirstGuess(declared)}
	}
	if s := t.lookUp(key{client, name}); s != nil {
		return s.estimate(t.declaredOrFirstGuess(declared))
	}
	if declared > 0 {
		return Estimate{Mean: declared}
	}
	if s := t.lookUp(key{client: client}); s != nil {
		return Estimate{Mean: seconds(s.mean)}
	}
	if t.service.samples > 0 {
		return Estimate{Mean: seconds(t.service.mean)}
	}
	return Estimate{Mean: t.opts.FallbackRunTime}
}

func (t *Table) declaredOrFirstGuess(declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	return t.opts.FallbackRunTime
}

// Mean returns the expected run time of an arbitrary task of the service.
func (t *Table) Mean() time.Duration {
	if t.service.samples == 0 {
		return t.opts.FallbackRunTime
	}
	return seconds(t.service.mean)
}

// Kinds returns the number of kinds in the table, including one per client for all its
// kinds together.
func (t *Table) Kinds() int { return t.recent.Len() }

// Add records the run time of a completed task. It returns true when that was the
// first sample of the kind, or the one from which its mean counts as learnt.
func (t *Table) Add(client, name string, run time.Duration) (changed bool) {
	if run <= 0 {
		return false
	}
	x := run.Seconds()
	t.service.add(x, t.opts.Window)
	s := t.entry(key{client: client})
	s.add(x, t.opts.Window)
	if name != "" {
		s = t.entry(key{client, name})
		s.add(x, t.opts.Window)
	}
	return s.samples == 1 || s.samples == minSamples
}

// Forget removes the samples of a kind.
func (t *Table) Forget(client, name string) {
	k := key{client, name}
	if element := t.kinds[k]; element != nil {
		delete(t.kinds, k)
		t.recent.Remove(element)
	}
}

func (t *Table) lookUp(k key) *stat {
	element := t.kinds[k]
	if element == nil {
		return nil
	}
	return &element.Value.(*kind).stat
}

// entry returns the statistics of k, added if necessary, and marks them as the most
// recently used. Callers choose the names of kinds, so the table must stay bounded when
// they send ever new names.
func (t *Table) entry(k key) *stat {
	if element := t.kinds[k]; element != nil {
		t.recent.MoveToFront(element)
		return &element.Value.(*kind).stat
	}
	if t.recent.Len() >= t.opts.MaxKinds {
		oldest := t.recent.Back()
		delete(t.kinds, oldest.Value.(*kind).key)
		t.recent.Remove(oldest)
	}
	added := &kind{key: k}
	t.kinds[k] = t.recent.PushFront(added)
	return &added.stat
}

// stat holds a running mean and mean absolute deviation, in seconds.
type stat struct {
	samples   int
	mean      float64
	deviation float64
}

// add records one sample. The mean is the arithmetic mean up to window samples, and an
// exponentially weighted one from then on.
func (s *stat) add(x float64, window int) {
	s.samples = min(s.samples+1, window)
	n := float64(s.samples)
	difference := x - s.mean
	s.mean += difference / n
	if s.samples == 1 {
		return
	}
	if difference < 0 {
		difference = -difference
	}
	s.deviation += (difference - s.deviation) / n
}

// estimate includes the guess as one more sample while there are few samples.
func (s *stat) estimate(guess time.Duration) Estimate {
	learnt := s.samples >= minSamples
	mean := s.mean
	if !learnt {
		n := float64(s.samples)
		mean = (mean*n + guess.Seconds()) / (n + 1)
	}
	return Estimate{Mean: seconds(mean), Deviation: seconds(s.deviation), FromSamples: learnt}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
