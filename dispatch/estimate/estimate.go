// Package estimate learns how long tasks run, for each customer and kind of
// task. What callers declare is only a first guess, because it is often far off.
package estimate

import (
	"container/list"
	"time"
)

// Defaults of Options.
const (
	DefaultFirstGuess = 200 * time.Millisecond
	DefaultMaxKinds   = 4096
	DefaultWindow     = 32
)

// learntFrom is the number of samples from which a mean is taken for learnt.
const learntFrom = 4

// Options of a Table; zero values take the defaults.
type Options struct {
	// FirstGuess is used while nothing is declared or learnt.
	FirstGuess time.Duration
	// MaxKinds bounds the kinds remembered; the longest unused goes first.
	MaxKinds int
	// Window is the number of samples over which a mean follows a change.
	Window int
	// DeclaredOnly leaves learning out, for comparison.
	DeclaredOnly bool
}

// Estimate is an expected run time.
type Estimate struct {
	// Mean is the expected run time, Deviation the mean absolute difference
	// from it (zero while unknown).
	Mean      time.Duration
	Deviation time.Duration
	// Shown is what was seen: Mean when learnt, else the mean of the nearest that
	// was seen at all, the kind, the customer or the service. What is held against
	// a job or an endpoint goes by it, as a declared time may be far off.
	Shown time.Duration
	// Learnt is false for a guess.
	Learnt bool
}

// Table holds what was learnt. It is not safe for concurrent use.
type Table struct {
	opts Options
	// kinds holds the list elements of recent, whose values are *kind.
	kinds  map[key]*list.Element
	recent *list.List
	all    stat
}

type key struct{ customer, kind string }

type kind struct {
	key
	stat
}

// New returns an empty table.
func New(o Options) *Table {
	if o.FirstGuess == 0 {
		o.FirstGuess = DefaultFirstGuess
	}
	if o.MaxKinds == 0 {
		o.MaxKinds = DefaultMaxKinds
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	return &Table{opts: o, kinds: map[key]*list.Element{}, recent: list.New()}
}

// Estimate returns the expected run time of a task. declared is the caller's
// guess, zero when none; limit caps the answer, zero for no cap. The first of
// these that is known counts: the kind's own samples, the declared time, the
// customer's samples over all kinds, the service's, the first guess.
func (t *Table) Estimate(customer, name string, declared, limit time.Duration) Estimate {
	e := t.uncapped(customer, name, declared)
	e.Shown = e.Mean
	if !e.Learnt && !t.opts.DeclaredOnly {
		e.Shown = t.shown(customer, name, e.Mean)
	}
	if limit > 0 {
		e.Mean = min(e.Mean, limit)
		e.Shown = min(e.Shown, limit)
	}
	return e
}

// shown is the mean of the nearest that was seen. Before anything was, a guess
// counts as far as it isn't above the first one of all.
func (t *Table) shown(customer, name string, guess time.Duration) time.Duration {
	for _, k := range []key{{customer, name}, {customer: customer}} {
		if s := t.find(k); s != nil {
			return seconds(s.mean)
		}
	}
	if t.all.samples > 0 {
		return t.Mean()
	}
	return min(guess, t.opts.FirstGuess)
}

func (t *Table) uncapped(customer, name string, declared time.Duration) Estimate {
	if t.opts.DeclaredOnly {
		return Estimate{Mean: t.orGuess(declared)}
	}
	if s := t.find(key{customer, name}); s != nil {
		return s.estimate(t.orGuess(declared))
	}
	if declared > 0 {
		return Estimate{Mean: declared}
	}
	if s := t.find(key{customer: customer}); s != nil {
		return Estimate{Mean: seconds(s.mean)}
	}
	if t.all.samples > 0 {
		return Estimate{Mean: seconds(t.all.mean)}
	}
	return Estimate{Mean: t.opts.FirstGuess}
}

func (t *Table) orGuess(declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	return t.opts.FirstGuess
}

// Mean returns the expected run time of any task of the service.
func (t *Table) Mean() time.Duration {
	if t.all.samples == 0 {
		return t.opts.FirstGuess
	}
	return seconds(t.all.mean)
}

// Kinds returns the number of kinds remembered, one for each customer included.
func (t *Table) Kinds() int { return t.recent.Len() }

// Learn takes the run time of a completed task. It returns true when that was
// the kind's first, or the one from which its mean is taken for learnt.
func (t *Table) Learn(customer, name string, run time.Duration) (more bool) {
	if run <= 0 {
		return false
	}
	x := run.Seconds()
	t.all.add(x, t.opts.Window)
	s := t.entry(key{customer: customer})
	s.add(x, t.opts.Window)
	if name != "" {
		s = t.entry(key{customer, name})
		s.add(x, t.opts.Window)
	}
	return s.samples == 1 || s.samples == learntFrom
}

// Forget drops what was learnt of a kind.
func (t *Table) Forget(customer, name string) {
	k := key{customer, name}
	if element := t.kinds[k]; element != nil {
		delete(t.kinds, k)
		t.recent.Remove(element)
	}
}

func (t *Table) find(k key) *stat {
	element := t.kinds[k]
	if element == nil {
		return nil
	}
	return &element.Value.(*kind).stat
}

// entry returns the statistics of k as the most recently used. Callers choose
// the names of kinds, so the table has to be bounded against a stream of new
// ones.
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

// stat is a running mean and mean absolute deviation, in seconds.
type stat struct {
	samples   int
	mean      float64
	deviation float64
}

// add counts one sample: a plain mean at first, from window samples on one that
// forgets.
func (s *stat) add(x float64, window int) {
	s.samples = min(s.samples+1, window)
	n := float64(s.samples)
	off := x - s.mean
	s.mean += off / n
	if s.samples == 1 {
		return
	}
	if off < 0 {
		off = -off
	}
	s.deviation += (off - s.deviation) / n
}

// estimate mixes the guess in as one more sample while there are few.
func (s *stat) estimate(guess time.Duration) Estimate {
	learnt := s.samples >= learntFrom
	mean := s.mean
	if !learnt {
		n := float64(s.samples)
		mean = (mean*n + guess.Seconds()) / (n + 1)
	}
	return Estimate{Mean: seconds(mean), Deviation: seconds(s.deviation), Learnt: learnt}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
