package slots_test

import (
	"flag"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/guard/slots"
)

const (
	queueLen = 3
	// fixedSeed and fixedChecks make a run repeatable; -rapid.seed selects another seed.
	fixedSeed   = "4712"
	fixedChecks = "2000"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", fixedSeed)
		_ = flag.Set("rapid.checks", fixedChecks)
	}
	os.Exit(m.Run())
}

type ticket = slots.Ticket[int]

// oracle models the table with two plain lists.
type oracle struct {
	table     *slots.Table[int]
	runner    slots.Runner
	closed    bool
	lastValue int
	running   []*ticket
	queue     []*ticket
	version   uint64
	// bypassed counts, by Value, the younger tickets that were granted before a ticket.
	bypassed map[int]int
}

func (o *oracle) starving(k *ticket) bool { return o.bypassed[k.Value] >= slots.MaxBypassed }

// head returns the ticket that must be granted next.
func (o *oracle) head() *ticket {
	if len(o.queue) == 0 || len(o.running) >= o.runner.Slots || !o.runner.Present {
		return nil
	}
	return slices.MinFunc(o.queue, func(a, b *ticket) int {
		switch {
		case o.starving(a) && o.starving(b):
			return a.Value - b.Value
		case o.starving(a):
			return -1
		case o.starving(b):
			return 1
		}
		if a.Priority != b.Priority {
			return int(b.Priority) - int(a.Priority)
		}
		if a.TasksLeft != b.TasksLeft {
			return int(a.TasksLeft) - int(b.TasksLeft)
		}
		return a.Value - b.Value
	})
}

// granted moves the next ticket to the running ones and checks that the table chose the same
// one.
func (o *oracle) granted(t *rapid.T, got *ticket) {
	want := o.head()
	if want != got {
		t.Fatalf("granted %+v, want %+v", got, want)
	}
	if got == nil {
		return
	}
	o.queue = slices.DeleteFunc(o.queue, func(k *ticket) bool { return k == got })
	o.running = append(o.running, got)
	for _, k := range o.queue {
		if k.Value < got.Value {
			o.bypassed[k.Value]++
		}
	}
}

func (o *oracle) enqueue(t *rapid.T) {
	o.lastValue++
	k := &ticket{
		Value:     o.lastValue,
		Owner:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner"),
		Priority:  rapid.Uint32Range(1, 3).Draw(t, "urgency"),
		TasksLeft: rapid.Uint32Range(1, 3).Draw(t, "left"),
	}
	want := slots.Queued
	switch {
	case o.closed || o.runner.Draining:
		want = slots.Draining
	case !o.runner.Present:
		want = slots.NoRunner
	case len(o.running) < o.runner.Slots:
		want = slots.Granted
		o.running = append(o.running, k)
	case len(o.queue) == queueLen:
		want = slots.Full
	default:
		o.queue = append(o.queue, k)
	}
	assert.Equal(t, o.table.Enqueue(k), want)
}

func (o *oracle) release(t *rapid.T) {
	if len(o.running) == 0 {
		t.Skip("no ticket holds a slot")
	}
	k := rapid.SampledFrom(o.running).Draw(t, "ticket")
	o.running = slices.DeleteFunc(o.running, func(r *ticket) bool { return r == k })
	o.granted(t, o.table.Release(k))
	assert.Assert(t, o.table.Release(k) == nil, "a slot was freed twice")
}

// churn offers and releases tickets until some have been bypassed MaxBypassed times.
func (o *oracle) churn(t *rapid.T) {
	for range 2 * slots.MaxBypassed {
		o.enqueue(t)
		o.release(t)
	}
}

func (o *oracle) remove(t *rapid.T) {
	if len(o.queue) == 0 {
		t.Skip("no ticket is waiting")
	}
	k := rapid.SampledFrom(o.queue).Draw(t, "ticket")
	assert.Assert(t, o.table.Remove(k))
	assert.Assert(t, !o.table.Remove(k))
	o.queue = slices.DeleteFunc(o.queue, func(q *ticket) bool { return q == k })
}

func (o *oracle) setRunner(t *rapid.T) {
	o.runner = slots.Runner{
		Present:  rapid.IntRange(0, 4).Draw(t, "present") > 0,
		Draining: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		Slots:    rapid.IntRange(1, 4).Draw(t, "slots"),
	}
	granted, removed := o.table.SetRunner(o.runner)
	if !o.runner.Present || o.runner.Draining || o.closed {
		assert.Equal(t, len(removed), len(o.queue))
		assert.Equal(t, len(granted), 0)
		o.queue = nil
		return
	}
	assert.Equal(t, len(removed), 0)
	for _, k := range granted {
		o.granted(t, k)
	}
	assert.Assert(t, o.head() == nil, "a free slot and a waiting ticket")
}

func (o *oracle) close(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "close") > 0 {
		t.Skip("seldom")
	}
	o.closed = true
	assert.Equal(t, len(o.table.Close()), len(o.queue))
	o.queue = nil
}

func (o *oracle) check(t *rapid.T) {
	l := o.table.Load("a")
	own := 0
	for _, k := range slices.Concat(o.running, o.queue) {
		if k.Owner == "a" {
			own++
		}
	}
	assert.Equal(t, l.Running, len(o.running))
	assert.Equal(t, l.Waiting, len(o.queue))
	assert.Equal(t, l.Own, own)
	assert.Equal(t, l.Others, len(o.running)+len(o.queue)-own)
	assert.Assert(t, l.Version >= o.version)
	o.version = l.Version
}

// Offers, releases, removals and runners that appear, shrink and disappear, in any order: no
// slot is held twice, no ticket is lost, and the queue order is kept.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{table: slots.New[int](queueLen), bypassed: map[int]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  o.enqueue,
			"offer2": o.enqueue,
			"offer3": o.enqueue,
			"free":   o.release,
			"churn":  o.churn,
			"remove": o.remove,
			"runner": o.setRunner,
			"close":  o.close,
			"":       o.check,
		})
	})
}

// Guards against starvation: while more entries than there are slots each keep a job of one
// urgent task waiting, the queue order alone grants every free slot to one of their later
// tickets, and a job of two tasks gets no slot within its caller's response time.
func TestNoTicketStarves(t *testing.T) {
	table := slots.New[int](queueLen)
	table.SetRunner(slots.Runner{Present: true, Slots: 1})
	running := &ticket{}
	assert.Equal(t, table.Enqueue(running), slots.Granted)
	table.Enqueue(&ticket{Priority: 5, TasksLeft: 1})
	large := &ticket{Priority: 1, TasksLeft: 2}
	assert.Equal(t, table.Enqueue(large), slots.Queued)
	grants := 0
	for running != large {
		table.Enqueue(&ticket{Priority: 5, TasksLeft: 1})
		running = table.Release(running)
		grants++
		assert.Assert(t, grants <= queueLen+slots.MaxBypassed, "still waiting")
	}
}
