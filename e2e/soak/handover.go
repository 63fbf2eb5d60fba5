package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/relay"
	"almondstand.dev/telemetry/uptime"
)

// entryCores are the cores in the entries' settings. The first entry uses most of its share under load;
// the others have some to spare, and take jobs over.
var entryCores = []float64{0.2, 2, 1}

const (
	// balancerNotice is the default of the setting of the same name, after which a draining entry starts
	// no more jobs.
	balancerNotice = 2300 * time.Millisecond
	// handoverTime is the longest time for which an entry hands jobs over during a fault. With
	// balancerNotice it is far below the time within which a stopped entry must exit.
	handoverTime = 2 * time.Second
	// maxShortSuspend is the longest suspension of a throttled entry that hands jobs over. With longer
	// ones its reports are too old for others to be known.
	maxShortSuspend = 60 * time.Millisecond
)

// handOver has an entry hand jobs over, and has a second entry fail while it does. In every other case the
// first entry shuts down while callers use their connections to it, in the others it is throttled.
func (r *run) handOver(ctx context.Context, f Fault) {
	f.Duration = min(f.Duration, handoverTime)
	first := f.Index % entries
	second := (first + 1 + f.Index/entries%(entries-1)) % entries
	if f.Index%2 == 0 {
		r.injections.Go(func() { r.throttle(ctx, r.fleet.Entries[first], f, maxShortSuspend) })
	} else {
		r.drain(ctx, first, f)
	}
	r.injections.Go(func() {
		if uptime.Sleep(ctx, f.Duration/4+time.Duration(r.random(f).Int64N(int64(f.Duration/2)))) {
			r.failSecond(ctx, second, f)
		}
	})
	waits := r.waits(f)
	r.repeat(ctx, f, func(n int) {
		job := newJob(n)
		if n%4 != 0 {
			job = fleet.NewJob(1, longMs)
			job.Deadline = longDeadline
		}
		job.CPU = callerCPU
		if n%2 == 0 {
			r.count(r.fleet.Submit(context.Background(), first, job, 3))
			return
		}
		ctx, leave := context.WithTimeout(context.Background(), waits[n%len(waits)])
		defer leave()
		a := r.fleet.SubmitOnce(ctx, r.fleet.Entries[first], fleet.Prefix, job)
		r.count(r.fleet.Continue(context.Background(), a, first+1, job, 2))
	})
}

// drain stops an entry gracefully, and returns when it starts no more jobs. An open job keeps it from
// ending before the fault does.
func (r *run) drain(ctx context.Context, first int, f Fault) {
	open := fleet.NewJob(1, int((balancerNotice + f.Duration).Milliseconds()))
	open.CPU, open.Deadline = callerCPU, longDeadline
	r.callers.Go(func() { r.count(r.fleet.Submit(context.Background(), first, open, 2)) })
	uptime.Sleep(ctx, callerInterval)
	r.injections.Go(func() { r.restart(ctx, r.fleet.Entries[first], f, true) })
	uptime.Sleep(ctx, balancerNotice)
}

// failSecond kills, suspends or cuts off an entry for half of a fault's duration.
func (r *run) failSecond(ctx context.Context, second int, f Fault) {
	n, half := r.fleet.Entries[second], f.Duration/2
	switch f.Kind {
	case HandoverEntryKill:
		r.restart(ctx, n, f, false)
	case HandoverEntrySuspend:
		suspend(ctx, n, half)
	case HandoverEntryCut:
		// Its relay also carries the guards' connections: the entry is cut off from both.
		cuts := []relay.State{
			{ToTarget: relay.Drop, ToClient: relay.Drop, Refuse: true},
			{ToTarget: relay.Stall, ToClient: relay.Stall},
			{ToTarget: relay.Pass, ToClient: relay.Drop},
			{ToTarget: relay.Drop, ToClient: relay.Pass},
		}
		_ = r.fleet.EntryRelays[second].Set(cuts[f.Index/2%len(cuts)])
		uptime.Sleep(ctx, half)
		_ = r.fleet.EntryRelays[second].Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass})
	}
}

// Handovers counts jobs that entries handed over, by how that ended at the first entry, and those that
// the second entries have taken. A handover whose entry died has no end.
type Handovers struct {
	Answered, NotTaken, Cancelled, Lost int
	Taken                               int
}

// Add adds the counts of another run.
func (h *Handovers) Add(o Handovers) {
	h.Answered += o.Answered
	h.NotTaken += o.NotTaken
	h.Cancelled += o.Cancelled
	h.Lost += o.Lost
	h.Taken += o.Taken
}

// String describes the counts in a few words.
func (h Handovers) String() string {
	return fmt.Sprintf("%d answered, %d not taken, %d cancelled, %d lost; %d taken", h.Answered, h.NotTaken, h.Cancelled, h.Lost, h.Taken)
}

// countHandovers counts the handovers in an entry's log.
func countHandovers(log string) Handovers {
	var h Handovers
	ends := map[string]*int{"answered": &h.Answered, "not_taken": &h.NotTaken, "cancelled": &h.Cancelled, "lost": &h.Lost}
	for line := range strings.Lines(log) {
		var event struct{ Msg, End string }
		if !strings.Contains(line, "over") || json.Unmarshal([]byte(line), &event) != nil {
			continue
		}
		switch event.Msg {
		case "job.handover_ended":
			if n := ends[event.End]; n != nil {
				*n++
			}
		case "job.taken_over":
			h.Taken++
		}
	}
	return h
}
