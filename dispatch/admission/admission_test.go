package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/admission"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newController() *admission.Controller {
	return admission.New(admission.Options{MaxTasks: 1000, MaxBytes: 1000}, rand.New(rand.NewPCG(1, 2)))
}

func TestDecide(t *testing.T) {
	second := time.Second
	free := admission.Load{Slots: 10, FairShare: 1}
	job := admission.Demand{Tasks: 10, Work: 10 * second, Longest: second, AnswerTime: 10 * second, Learnt: true}
	for name, c := range map[string]struct {
		load   func(*admission.Load)
		demand func(*admission.Demand)
		want   admission.Verdict
	}{
		"idle":               {want: admission.Admitted},
		"backlog ahead":      {load: func(l *admission.Load) { l.Ahead = 60 * second }, want: admission.TooLate},
		"small share":        {load: func(l *admission.Load) { l.FairShare, l.OthersSlots = 0.1, 9.5 }, want: admission.TooLate},
		"others leave room":  {load: func(l *admission.Load) { l.FairShare, l.OthersSlots = 0.1, 5 }, want: admission.Admitted},
		"stream of smaller":  {load: func(l *admission.Load) { l.SmallerArrivalRate = 12 }, want: admission.TooLate},
		"guess, idle":        {demand: func(d *admission.Demand) { d.Work, d.Learnt = time.Hour, false }, load: func(l *admission.Load) { l.Idle = true }, want: admission.Admitted},
		"learnt, too large":  {demand: func(d *admission.Demand) { d.Work = time.Hour }, load: func(l *admission.Load) { l.Idle = true }, want: admission.TooLate},
		"bound of the tasks": {load: func(l *admission.Load) { l.Waiting = 995 }, want: admission.QueueFull},
		"bound of the bytes": {demand: func(d *admission.Demand) { d.Bytes = 1001 }, want: admission.QueueFull},
	} {
		load, demand := free, job
		if c.load != nil {
			c.load(&load)
		}
		if c.demand != nil {
			c.demand(&demand)
		}
		got, retryAfter := newController().Decide(origin, load, demand)
		assert.Equal(t, got, c.want, name)
		assert.Equal(t, retryAfter > 0, c.want != admission.Admitted, name)
	}
}

// TestRetryAfterSpreadsClients: a hundred jobs are refused at the same moment. If all were
// told to retry at the same time, most would be refused again; their retry times must spread
// over about the time that their work takes.
func TestRetryAfterSpreadsClients(t *testing.T) {
	g := newController()
	load := admission.Load{Slots: 10, FairShare: 1, Ahead: 100 * time.Second}
	demand := admission.Demand{Client: "c", Tasks: 1, Work: time.Second, AnswerTime: 5 * time.Second, Learnt: true}
	// The backlog of 101 s on 10 slots is 6.6 s too long for 70 % of 5 s.
	const soonest = 6600 * time.Millisecond
	var early, late int
	for range 100 {
		_, retryAfter := g.Decide(origin, load, demand)
		assert.Assert(t, retryAfter >= soonest)
		if retryAfter < soonest+3*time.Second {
			early++
		}
		if retryAfter > soonest+7*time.Second {
			late++
		}
	}
	assert.Assert(t, early > 15 && late > 15, "early %d, late %d", early, late)
}
