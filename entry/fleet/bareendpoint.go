package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/fleet/bare"
	"almondstand.dev/entry/fleet/share"
	"almondstand.dev/entry/task"
)

// bareEndpoint is a runner without a guard. Its ID contains no incarnation: starts
// can't be resolved, so no outcome depends on which process answers.
type bareEndpoint struct {
	f          *Fleet
	id         scheduler.EndpointID
	service    string
	dataCentre string
	address    string

	client  atomic.Pointer[bare.Client]
	maxOpen atomic.Int64
	open    atomic.Int64
	// dialFailures counts consecutive failed connection attempts.
	dialFailures atomic.Int64

	mu           sync.Mutex
	published    bool
	lastEndpoint scheduler.Endpoint
	connections  int
	// slotLimit is the maximum number of this entry's open starts according to the slot
	// allocation.
	slotLimit int
}

func newBareEndpoint(f *Fleet, b BareAnnouncement) *bareEndpoint {
	return &bareEndpoint{
		f:          f,
		id:         scheduler.EndpointID("bare@" + b.Address),
		service:    b.Service,
		dataCentre: b.DataCentre,
		address:    b.Address,
	}
}

func (e *bareEndpoint) attrs() []slog.Attr {
	return []slog.Attr{
		slog.String("endpoint", string(e.id)),
		slog.String("service", e.service),
		slog.String("zone", e.dataCentre),
	}
}

// identityChanged reports whether a different runner (another service or data centre)
// has taken the address.
func (e *bareEndpoint) identityChanged(b BareAnnouncement) bool {
	return e.service != b.Service || e.dataCentre != b.DataCentre
}

// equalShare is this entry's share of n connections, at least one.
func equalShare(n, entries int) int { return max(1, n/max(entries, 1)) }

// update applies an announcement or a changed number of entries. Connections are
// divided equally, because there are many more of them than slots; setSlotLimit sets
// how many slots this entry may use.
func (e *bareEndpoint) update(b BareAnnouncement, entries int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	connections := equalShare(b.Connections, entries)
	limit := min(b.Slots, connections)
	e.maxOpen.Store(int64(limit))
	e.setConnections(connections)
	if b.Leaving && !e.lastEndpoint.Draining {
		eventBareLeaving.Log(e.f.ctx, e.f.logger, e.attrs()...)
	}
	next := scheduler.Endpoint{ID: e.id, DataCentre: e.dataCentre, Slots: b.Slots, EntryLimit: limit, NoQueue: true, Draining: b.Leaving}
	if e.published && next == e.lastEndpoint {
		return
	}
	e.dialFailures.Store(0)
	e.published = true
	e.lastEndpoint = next
	e.f.opts.Sink.SetEndpoint(e.service, next)
	e.sendReport()
}

// setSlotLimit reports to the scheduler how many of this entry's starts the endpoint
// may have open. A guard reports the starts that it holds for other entries; for a bare
// endpoint the slots beyond the limit are reported in their place.
func (e *bareEndpoint) setSlotLimit(limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if limit == e.slotLimit {
		return
	}
	e.slotLimit = limit
	e.sendReport()
}

// sendReport reports the current limit. The caller holds e.mu, so that a report never
// follows the notification that the endpoint is leaving, which it would undo.
func (e *bareEndpoint) sendReport() {
	if !e.published || e.lastEndpoint.Draining {
		return
	}
	e.f.opts.Sink.ApplyReport(e.service, e.id, scheduler.Report{
		Version:        e.f.bare.reportVersion.Add(1),
		OthersInFlight: max(0, e.lastEndpoint.Slots-e.slotLimit),
		Slots:          e.lastEndpoint.Slots,
	})
}

// setConnections replaces the client by one with this many connections. The caller
// holds e.mu.
func (e *bareEndpoint) setConnections(connections int) {
	if connections == e.connections {
		return
	}
	e.connections = connections
	old := e.client.Swap(bare.New(bare.Options{
		Address:          e.address,
		Connections:      connections,
		MaxResponseBytes: int64(e.f.opts.MaxMessage),
		StalledTime:      e.f.opts.StalledTime,
	}))
	if old != nil {
		old.Close()
	}
}

func (e *bareEndpoint) withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.published {
		e.published = false
		e.f.opts.Sink.RemoveEndpoint(e.service, e.id)
	}
}

func (e *bareEndpoint) usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.published && !e.lastEndpoint.Draining
}

func (e *bareEndpoint) close() { e.client.Load().Close() }

func (e *bareEndpoint) status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{
		ID:         e.id,
		Service:    e.service,
		DataCentre: e.dataCentre,
		Address:    e.address,
		Bare:       true,
		Slots:      e.lastEndpoint.Slots,
		Draining:   e.lastEndpoint.Draining,
		Usable:     e.published && !e.lastEndpoint.Draining,
		InFlight:   int(e.open.Load()),
	}
}

// start calls the runner once. Any failure after the request was written ends as
// unknown immediately: it can't be determined whether the task ran.
func (e *bareEndpoint) start(ctx context.Context, c task.Call) task.Outcome {
	defer e.open.Add(-1)
	if e.open.Add(1) > e.maxOpen.Load() {
		return failure(task.CodeRefused, task.RanNo, "this entry's part of the connections is in use")
	}
	a := e.f.bare.allocation(e.service)
	a.started(e.address)
	o, end := e.call(ctx, c)
	a.ended(e.address, end, o.RunTime)
	return o
}

// call makes the call and also returns what its end reveals about the endpoint's slots.
func (e *bareEndpoint) call(ctx context.Context, c task.Call) (task.Outcome, share.StartResult) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	e.f.meter.count(kindStart)
	answer, err := e.client.Load().Call(ctx, bare.Request{
		Task:          fmt.Sprintf("%s/%d", c.Submission, c.Assignment.Task.Index),
		Kind:          c.Kind,
		ClientAccount: c.Client,
		RunLimit:      c.RunLimit,
		Payload:       c.Payload,
	})
	e.recordReachability(ctx, err)
	e.closeIdleIfUnanswered(ctx, err)
	if err == nil || runnerAnswered(err) {
		e.f.meter.count(kindReply)
	}
	if err != nil {
		return bareFailure(ctx, err), slotsAfterFailure(err)
	}
	o := task.Outcome{Ran: task.RanYes, Payload: answer.Payload, Digest: answer.Digest[:], RunTime: answer.RunTime}
	return o, share.ResultRan
}

// runnerAnswered reports whether the failure was a complete response of the runner.
func runnerAnswered(err error) bool {
	return errors.Is(err, bare.ErrRejected) || errors.Is(err, bare.ErrFailed)
}

// slotsAfterFailure returns what a failed call reveals about the slots: a runner that
// refuses has no free slot, one that answers with an error has one.
func slotsAfterFailure(err error) share.StartResult {
	switch {
	case errors.Is(err, bare.ErrRejected):
		return share.ResultRejected
	case errors.Is(err, bare.ErrFailed):
		return share.ResultRan
	}
	return share.ResultOther
}

// recordReachability withdraws an endpoint that refuses connections until it announces
// itself again: its tasks surely did not run, but such fast refusals would use up the
// retry budget.
func (e *bareEndpoint) recordReachability(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !errors.Is(err, bare.ErrNotSent) {
		e.dialFailures.Store(0)
		return
	}
	if e.dialFailures.Add(1) == maxDialFailures {
		e.withdraw()
		e.f.bare.onUnreachable(e.service)
	}
}

// closeIdleIfUnanswered closes the idle connections after a call that got no response.
// A device on the network path may have dropped the state of every open connection
// while new ones work, and each idle one would cost a task its outcome. A cancellation
// by the caller is no such sign.
func (e *bareEndpoint) closeIdleIfUnanswered(ctx context.Context, err error) {
	unanswered := errors.Is(err, bare.ErrLost) || errors.Is(err, bare.ErrRunLimit)
	if unanswered && !errors.Is(ctx.Err(), context.Canceled) {
		e.client.Load().Close()
	}
}

func bareFailure(ctx context.Context, err error) task.Outcome {
	switch {
	case errors.Is(err, bare.ErrNotSent):
		return bareInterrupted(ctx, task.CodeRefused, task.RanNo, err)
	case errors.Is(err, bare.ErrRejected):
		return failure(task.CodeRefused, task.RanNo, err.Error())
	case errors.Is(err, bare.ErrFailed):
		return failure(task.CodeFailed, task.RanYes, err.Error())
	case errors.Is(err, bare.ErrTruncated):
		return failure(task.CodeTruncated, task.RanYes, err.Error())
	case errors.Is(err, bare.ErrRunLimit):
		return failure(task.CodeRunLimit, task.RanUnknown, err.Error())
	default:
		return bareInterrupted(ctx, task.CodeLost, task.RanUnknown, err)
	}
}

// bareInterrupted uses the code for the deadline or cancellation if that ended the
// call.
func bareInterrupted(ctx context.Context, code task.Code, ran task.Ran, err error) task.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = task.CodeDeadline
	case ctx.Err() != nil:
		code = task.CodeCancelled
	}
	return failure(code, ran, err.Error())
}
