// Package health finds the endpoints of one service that fail, or are slow, far
// more than their peers. A slow one is used last and by its pace; one that failed
// and has completed nothing since is suspect, and used last with one task at a
// time; one that fails or crawls is set aside: it gets single probes with growing
// pauses in place of work.
//
// An endpoint that fails at once looks free all the time, so it would draw most
// of the service's tasks and fail them. One that crawls holds the last task of
// many jobs. Judging by the peers, and slighting a third of the endpoints at
// most, or one of two, keeps a fault of the tasks themselves, or of all endpoints, from taking
// the service down.
package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"almondstand.dev/dispatch/internal/decay"
)

// Defaults of Options.
const (
	DefaultHalfLife   = 10 * time.Second
	DefaultFirstPause = 2 * time.Second
	DefaultMaxPause   = time.Minute
)

const (
	// minBad failures are needed to set an endpoint aside.
	minBad = 3
	// badFactor is how many times the peers' share of failures, and badShare
	// the share at least, that sets an endpoint aside.
	badFactor = 3
	badShare  = 0.5
	// minBlame is the part of a failed probe that must be the endpoint's.
	minBlame = 0.5
	// priorGood stands for tasks not seen yet.
	priorGood = 1
	// priorRuns is the number of average runs at the peers' pace that an
	// endpoint is given before its own are seen.
	priorRuns = 8
	// Paces against the peers: below slowPace an endpoint is slow, until it is
	// above steadyPace again; below crawlPace it is set aside.
	crawlPace  = 0.25
	slowPace   = 0.5
	steadyPace = 0.7
	// goodProbes in a row bring an endpoint back: run times differ so much that
	// a single short one may be chance.
	goodProbes = 3
	// relapse multiplies the pause: an endpoint set aside again within that
	// time goes on with the next longer pause.
	relapse = 4
	// slightedPart of the endpoints may be slow or set aside: one third, and one
	// of two.
	slightedPart = 3
)

// Standing is how an endpoint is to be used.
type Standing int

// Standings, the graver the later.
const (
	// Steady: like its peers.
	Steady Standing = iota
	// Slow: last, and by its pace.
	Slow
	// Suspect: last, and with one task at a time.
	Suspect
	// Crawling and Failing: set aside, for probes only.
	Crawling
	Failing
)

// Aside reports whether the standing allows probes only.
func (s Standing) Aside() bool { return s == Failing || s == Crawling }

// Options of a Monitor; zero values take the defaults.
type Options struct {
	// HalfLife is how fast what was seen is forgotten.
	HalfLife time.Duration
	// FirstPause and MaxPause bound the pauses between probes.
	FirstPause time.Duration
	MaxPause   time.Duration
	// Rand spreads the probes of several entries; nil keeps to the pauses.
	Rand *rand.Rand
}

// Monitor compares the endpoints of one service. It is not safe for concurrent
// use.
type Monitor struct {
	opts    Options
	records []*Record
	// slighted counts those that aren't steady.
	slighted  int
	sum       evidence
	customers map[string]*outcomes
}

// Task is one task that ended at an endpoint.
type Task struct {
	Job, Customer string
	// Began is when it was started there.
	Began time.Time
	// Expected and Used are its run times; without meaning for one that failed.
	Expected, Used time.Duration
}

// decaying is short for the sums of this package.
type decaying = decay.Sum

// Record is what was seen of one endpoint.
type Record struct {
	seen     evidence
	streak   streak
	told     Past
	standing Standing
	pace     float64
	// probing is true while a probe is open; probeAt is when the next is due;
	// good counts the good ones in a row.
	probing    bool
	probeAt    time.Time
	good       int
	pause      time.Duration
	restoredAt time.Time
	// postponedAt is when the next probe was set last.
	postponedAt time.Time
}

// evidence is a set of decaying counts: outcomes, and for completed tasks the
// seconds expected and used.
type evidence struct {
	good, bad      decaying
	expected, used decaying
}

// New returns a Monitor of no endpoints.
func New(o Options) *Monitor {
	if o.HalfLife == 0 {
		o.HalfLife = DefaultHalfLife
	}
	if o.FirstPause == 0 {
		o.FirstPause = DefaultFirstPause
	}
	if o.MaxPause == 0 {
		o.MaxPause = DefaultMaxPause
	}
	return &Monitor{opts: o, customers: map[string]*outcomes{}}
}

// NewRecord returns a record that no Monitor counts.
func NewRecord() *Record { return &Record{pace: 1} }

// Add starts the record of a new endpoint.
func (m *Monitor) Add() *Record {
	r := NewRecord()
	m.records = append(m.records, r)
	return r
}

// Remove forgets an endpoint. As that makes the service smaller, others may
// become steady so that no more are slighted than may be; it returns true then.
func (m *Monitor) Remove(now time.Time, r *Record) (restored bool) {
	i := slices.Index(m.records, r)
	if i < 0 {
		return false
	}
	m.forget(now, r)
	m.records = slices.Delete(m.records, i, i+1)
	m.stand(r, Steady)
	for _, other := range m.records {
		if m.slighted <= m.limit() {
			return restored
		}
		if other.standing != Steady {
			m.restore(now, other)
			restored = true
		}
	}
	return restored
}

// stand changes the standing of an endpoint.
func (m *Monitor) stand(r *Record, standing Standing) {
	if r.standing != Steady {
		m.slighted--
	}
	if standing != Steady {
		m.slighted++
	}
	r.standing = standing
}

// Aside returns the number of endpoints set aside.
func (m *Monitor) Aside() int {
	n := 0
	for _, r := range m.records {
		if r.standing.Aside() {
			n++
		}
	}
	return n
}

// limit is how many endpoints may be slighted. Of two it is one: a third would be
// none, and the one that fails everything looks free all the time and fails nearly
// all jobs of the service.
func (m *Monitor) limit() int {
	if len(m.records) == 2 {
		return 1
	}
	return len(m.records) / slightedPart
}

// Good counts a completed task.
func (m *Monitor) Good(now time.Time, r *Record, t Task) {
	half := m.opts.HalfLife
	for _, e := range []*evidence{&r.seen, &m.sum} {
		e.good.Add(now, half, 1)
		e.expected.Add(now, half, t.Expected.Seconds())
		e.used.Add(now, half, t.Used.Seconds())
	}
	m.customer(t.Customer).add(now, half, 1, 0)
	r.streak.end(t)
}

// Bad counts a task that the endpoint failed or lost. A refusal isn't counted:
// it is true of a full endpoint too, and a pause answers it.
func (m *Monitor) Bad(now time.Time, r *Record, t Task) {
	half := m.opts.HalfLife
	blame := m.blame(now, r, t)
	r.seen.bad.Add(now, half, blame)
	m.sum.bad.Add(now, half, blame)
	m.customer(t.Customer).add(now, half, 0, 1)
	r.streak.add(t)
}

// Judge brings the endpoint's pace and standing up to date, as far as the
// service can spare it. overdue is the time that its open tasks have run beyond
// what was expected, so that one which answers nothing any more is seen before
// its first answer. typical is the service's mean run time. changed is true when
// the standing changed, relieved when another endpoint is steady again for it.
func (m *Monitor) Judge(now time.Time, r *Record, overdue, typical time.Duration) (changed, relieved bool) {
	if r.standing.Aside() {
		return false, false
	}
	r.pace = m.measure(now, r, overdue, typical)
	standing := m.deserved(now, r)
	if standing == r.standing {
		return false, false
	}
	if r.standing == Steady && m.slighted >= m.limit() {
		if relieved = m.relieve(now, standing); !relieved {
			return false, false
		}
	}
	m.stand(r, standing)
	if standing.Aside() {
		m.setAside(now, r)
	}
	return true, relieved
}

// relieve makes the endpoint steady that is slighted for the least, if that is
// less than standing. Of three endpoints one may be slighted: were it one that is
// a little slow, another that fails at once would keep its place, look free all
// the time, and fail nearly all jobs.
func (m *Monitor) relieve(now time.Time, standing Standing) bool {
	var mildest *Record
	for _, r := range m.records {
		if r.standing != Steady && (mildest == nil || r.standing < mildest.standing) {
			mildest = r
		}
	}
	if mildest == nil || mildest.standing >= standing {
		return false
	}
	m.restore(now, mildest)
	return true
}

// deserved is the standing that what was seen calls for.
func (m *Monitor) deserved(now time.Time, r *Record) Standing {
	verdict := m.verdict(now, r)
	switch {
	case verdict == Failing, m.fails(now, r):
		return Failing
	case r.pace < crawlPace:
		return Crawling
	case verdict == Suspect:
		return Suspect
	case r.pace < slowPace:
		return Slow
	case r.pace < steadyPace && r.standing == Slow:
		return Slow
	}
	return Steady
}

// measure is how fast the endpoint is against its peers, 1 when alike. While
// little was seen, some tasks at the peers' pace are taken for granted.
func (m *Monitor) measure(now time.Time, r *Record, overdue, typical time.Duration) float64 {
	half := m.opts.HalfLife
	prior := priorRuns * typical.Seconds()
	expected := r.seen.expected.Value(now, half)
	used := r.seen.used.Value(now, half)
	peersExpected := max(0, m.sum.expected.Value(now, half)-expected)
	peersUsed := max(0, m.sum.used.Value(now, half)-used)
	own := (prior + expected) / (prior + used + overdue.Seconds())
	peers := (prior + peersExpected) / (prior + peersUsed)
	return own / peers
}

func (m *Monitor) fails(now time.Time, r *Record) bool {
	half := m.opts.HalfLife
	bad := r.seen.bad.Value(now, half)
	if bad < minBad-0.5 {
		return false
	}
	good := r.seen.good.Value(now, half)
	peersBad := max(0, m.sum.bad.Value(now, half)-bad)
	peersGood := max(0, m.sum.good.Value(now, half)-good)
	share := bad / (bad + good + priorGood)
	peersShare := peersBad / (peersBad + peersGood + priorGood)
	return share >= badShare && share >= badFactor*peersShare
}
