package scheduler_test

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/dispatch/admission"
	"almondstand.dev/dispatch/scheduler"
)

// TestMain fixes the random seed of rapid unless the command line sets one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "150")
	flag.Parse()
	os.Exit(m.Run())
}

// machine drives a Scheduler with random events and checks it against the state known
// from outside: which tasks are queued, which assignments are in flight, and what each
// endpoint announced.
type machine struct {
	s         *scheduler.Scheduler
	now       time.Time
	jobs      map[scheduler.JobID]*expectedJob
	open      []scheduler.Assignment
	ended     []scheduler.Assignment
	endpoints map[scheduler.EndpointID]*expectedEndpoint
	lastID    int
}

type expectedJob struct {
	scheduler.Job
	waiting map[int]bool
	left    int
}

type expectedEndpoint struct {
	scheduler.Endpoint
	others  int
	version uint64
}

const maxQueued = 60

func newMachine() *machine {
	o := scheduler.Options{Admission: admission.Options{MaxTasks: maxQueued, MaxBytes: 1000}}
	return &machine{
		s:         newScheduler(o),
		now:       start,
		jobs:      map[scheduler.JobID]*expectedJob{},
		endpoints: map[scheduler.EndpointID]*expectedEndpoint{},
	}
}

func (m *machine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "ns")))
}

func (m *machine) SetEndpoint(t *rapid.T) {
	id := scheduler.EndpointID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"))
	e := scheduler.Endpoint{
		ID:         id,
		DataCentre: rapid.SampledFrom([]string{"", "far"}).Draw(t, "zone"),
		Slots:      rapid.IntRange(0, 3).Draw(t, "slots"),
		EntryLimit: rapid.IntRange(0, 2).Draw(t, "own limit"),
		Draining:   rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
	}
	m.s.SetEndpoint(m.now, e)
	if m.endpoints[id] == nil {
		m.endpoints[id] = &expectedEndpoint{}
	}
	m.endpoints[id].Endpoint = e
}

func (m *machine) RemoveEndpoint(t *rapid.T) {
	if len(m.endpoints) == 0 {
		t.Skip("none")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.endpoints))).Draw(t, "id")
	if m.ownInFlight(id) > 0 {
		t.Skip("assignments in flight; see Flap")
	}
	m.s.RemoveEndpoint(id)
	delete(m.endpoints, id)
}

// Flap removes an endpoint with assignments in flight and adds it again.
func (m *machine) Flap(t *rapid.T) {
	if len(m.endpoints) == 0 {
		t.Skip("none")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.endpoints))).Draw(t, "id")
	if m.ownInFlight(id) == 0 {
		t.Skip("nothing in flight")
	}
	m.s.RemoveEndpoint(id)
	m.s.SetEndpoint(m.now, m.endpoints[id].Endpoint)
}

func (m *machine) Report(t *rapid.T) {
	if len(m.endpoints) == 0 {
		t.Skip("none")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.endpoints))).Draw(t, "id")
	e := m.endpoints[id]
	r := scheduler.Report{
		Version:        rapid.Uint64Range(1, 20).Draw(t, "version"),
		OthersInFlight: rapid.IntRange(0, 4).Draw(t, "others"),
		Slots:          rapid.IntRange(0, 3).Draw(t, "slots"),
		Draining:       rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
	}
	m.s.ApplyReport(m.now, id, r)
	if r.Version <= e.version {
		return
	}
	e.version, e.others, e.Draining = r.Version, r.OthersInFlight, r.Draining
	if r.Slots > 0 {
		e.Slots = r.Slots
	}
}

func (m *machine) Admit(t *rapid.T) {
	m.lastID++
	job := newJob(fmt.Sprint(m.lastID), rapid.IntRange(1, 8).Draw(t, "tasks"))
	job.Client = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "customer")
	job.Priority = rapid.IntRange(1, 3).Draw(t, "urgency")
	job.Idempotent = len(job.Tasks) == 1
	job.Accepted = m.now
	job.Deadline = m.now.Add(time.Duration(rapid.Int64Range(1e9, 20e9).Draw(t, "answer time")))
	job.Bytes = rapid.Int64Range(0, 200).Draw(t, "bytes")
	for i := range job.Tasks {
		job.Tasks[i].Declared = time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "declared"))
		job.Tasks[i].Kind = rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "kind")
	}
	err := m.s.Admit(m.now, job)
	var rejection *scheduler.AdmissionError
	if errors.As(err, &rejection) {
		assert.Assert(t, rejection.RetryAfter > 0)
		return
	}
	assert.NilError(t, err)
	assert.ErrorIs(t, m.s.Admit(m.now, job), scheduler.ErrDuplicateJob)
	expected := &expectedJob{Job: job, waiting: map[int]bool{}, left: len(job.Tasks)}
	for i := range job.Tasks {
		expected.waiting[i] = true
	}
	m.jobs[job.ID] = expected
	assert.Assert(t, m.waiting() <= maxQueued)
}

func (m *machine) Next(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "starts") {
		m.next(t)
	}
}

// next checks that the task was queued, and that the endpoint either had a free slot as
// far as the entry knows or was below the minimum number of tasks in flight.
func (m *machine) next(t *rapid.T) bool {
	a, ok := m.s.Next(m.now)
	if !ok {
		return false
	}
	job := m.jobs[a.Task.Job]
	assert.Assert(t, job != nil && job.waiting[a.Task.Index], "started a task that is not queued: %v", a)
	assert.Equal(t, a.TasksLeft, job.left)
	delete(job.waiting, a.Task.Index)
	e := m.endpoints[a.Endpoint]
	assert.Assert(t, e != nil && !e.Draining && e.Slots > 0, "endpoint accepts no tasks: %+v", e)
	ownInFlight := m.ownInFlight(a.Endpoint)
	assert.Assert(t, e.EntryLimit == 0 || ownInFlight < e.EntryLimit, "over the own limit of the entry")
	free := ownInFlight+e.others < e.Slots
	assert.Assert(t, free || ownInFlight < scheduler.DefaultMinInFlight || a.Probe && ownInFlight == 0, "no free slot: %+v", e)
	m.open = append(m.open, a)
	return true
}

func (m *machine) Done(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("nothing in flight")
	}
	for range rapid.IntRange(1, len(m.open)).Draw(t, "ends") {
		i := rapid.IntRange(0, len(m.open)-1).Draw(t, "which")
		outcome := scheduler.Outcome(rapid.IntRange(0, int(scheduler.Cancelled)).Draw(t, "verdict"))
		if m.open[i].Endpoint == "a" {
			// One endpoint fails everything, so that it is ejected and probed.
			outcome = scheduler.Failed
		}
		m.done(t, i, outcome)
	}
}

func (m *machine) done(t *rapid.T, i int, outcome scheduler.Outcome) {
	a := m.open[i]
	m.open = slices.Delete(m.open, i, i+1)
	m.ended = append(m.ended, a)
	requeued := m.s.Done(m.now, a, scheduler.Result{Outcome: outcome})
	job := m.jobs[a.Task.Job]
	if requeued {
		assert.Assert(t, job != nil, "requeued a task of a job that is gone")
		retryAllowed := outcome == scheduler.Rejected
		retryAllowed = retryAllowed || job.Idempotent && (outcome == scheduler.Failed || outcome == scheduler.Lost)
		assert.Assert(t, retryAllowed, "retried after verdict %d", outcome)
		job.waiting[a.Task.Index] = true
		return
	}
	if job == nil {
		return
	}
	job.left--
	if job.left == 0 {
		delete(m.jobs, job.ID)
	}
}

// DoneTwice ends an assignment a second time, which must change nothing.
func (m *machine) DoneTwice(t *rapid.T) {
	if len(m.ended) == 0 {
		t.Skip("nothing ended")
	}
	a := rapid.SampledFrom(m.ended).Draw(t, "which")
	for _, open := range m.open {
		if open.Task == a.Task && open.Endpoint == a.Endpoint && open.DecidedAt.Equal(a.DecidedAt) {
			t.Skip("the same assignment at the same time")
		}
	}
	assert.Assert(t, !m.s.Done(m.now, a, scheduler.Result{Outcome: scheduler.Rejected}))
}

func (m *machine) Drop(t *rapid.T) {
	if len(m.jobs) == 0 {
		t.Skip("none")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.jobs))).Draw(t, "job")
	var want []scheduler.TaskRef
	for _, index := range slices.Sorted(maps.Keys(m.jobs[id].waiting)) {
		want = append(want, scheduler.TaskRef{Job: id, Index: index})
	}
	got := m.s.Drop(id)
	assert.Assert(t, slices.Equal(got, want), "dropped %v, queued %v", got, want)
	delete(m.jobs, id)
}

func (m *machine) Expired(t *rapid.T) {
	got := m.s.Expired(m.now)
	slices.Sort(got)
	var want []scheduler.JobID
	for id, job := range m.jobs {
		if !job.Deadline.After(m.now) {
			want = append(want, id)
		}
	}
	slices.Sort(want)
	assert.Assert(t, slices.Equal(got, want), "expired %v, want %v", got, want)
	for _, id := range got {
		delete(m.jobs, id)
	}
}

// Check compares the counts after every step.
func (m *machine) Check(t *rapid.T) {
	b := m.s.Stats()
	var bytes int64
	for _, job := range m.jobs {
		bytes += job.Bytes
	}
	assert.Equal(t, b.Jobs, len(m.jobs))
	assert.Equal(t, b.Queued, m.waiting())
	assert.Equal(t, b.InFlight, len(m.open))
	assert.Equal(t, b.Bytes, bytes)
	assert.Equal(t, b.Endpoints, len(m.endpoints))
	maxEjected := m.usable() / 3
	if m.usable() == 2 {
		maxEjected = 1
	}
	assert.Assert(t, b.Ejected <= maxEjected, "%d of %d ejected", b.Ejected, m.usable())
}

func (m *machine) ownInFlight(id scheduler.EndpointID) int {
	n := 0
	for _, a := range m.open {
		if a.Endpoint == id {
			n++
		}
	}
	return n
}

// usable returns the number of endpoints that accept tasks.
func (m *machine) usable() int {
	n := 0
	for _, e := range m.endpoints {
		if !e.Draining && e.Slots > 0 {
			n++
		}
	}
	return n
}

func (m *machine) waiting() int {
	n := 0
	for _, job := range m.jobs {
		n += len(job.waiting)
	}
	return n
}

// maxRefusalBackoff is the longest backoff of an endpoint after refusals.
const maxRefusalBackoff = time.Second

// finishAll completes all tasks and follows the Scheduler's own wake-up times. While
// any endpoint accepts tasks, the queued ones have to start within the longest refusal
// backoff, whatever the last reports said, since no more reports arrive.
func (m *machine) finishAll(t *rapid.T) {
	usable := m.usable() > 0
	for m.waiting()+len(m.open) > 0 {
		m.Expired(t)
		for m.next(t) {
		}
		progress := len(m.open) > 0
		for len(m.open) > 0 {
			m.done(t, len(m.open)-1, scheduler.Completed)
		}
		if progress || m.waiting() == 0 {
			continue
		}
		wake := m.s.NextWakeup(m.now)
		assert.Assert(t, wake.After(m.now), "tasks are queued, none is in flight and no wake-up is due")
		assert.Assert(t, !usable || wake.Sub(m.now) <= maxRefusalBackoff, "starved for %v", wake.Sub(m.now))
		m.now = wake
	}
	m.Check(t)
}

// TestSchedulerAgainstOracle checks that the entry uses no slot twice, that no task is
// lost or started twice, that no task is starved by a stale report, and that each
// admitted task is started, dropped or expired exactly once for each time it is queued.
func TestSchedulerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(rapid.StateMachineActions(m))
		m.finishAll(t)
	})
}
