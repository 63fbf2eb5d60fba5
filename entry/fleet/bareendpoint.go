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

// bareEndpoint is a runner without a guard. Its id names no incarnation: nothing
// can be resolved, so no outcome depends on which process answers.
type bareEndpoint struct {
	f       *Fleet
	id      scheduler.EndpointID
	service string
	zone    string
	address string

	client atomic.Pointer[bare.Client]
	limit  atomic.Int64
	open   atomic.Int64
	// unreached counts connections that failed in a row.
	unreached atomic.Int64

	mu          sync.Mutex
	published   bool
	shown       scheduler.Endpoint
	connections int
	// allowed is the most own starts that may be open, by the division.
	allowed int
}

func newBareEndpoint(f *Fleet, b Bare) *bareEndpoint {
	return &bareEndpoint{
		f:       f,
		id:      scheduler.EndpointID("bare@" + b.Address),
		service: b.Service,
		zone:    b.Zone,
		address: b.Address,
	}
}

func (e *bareEndpoint) attrs() []slog.Attr {
	return []slog.Attr{
		slog.String("endpoint", string(e.id)),
		slog.String("service", e.service),
		slog.String("zone", e.zone),
	}
}

// differs reports whether another kind of runner has taken the address.
func (e *bareEndpoint) differs(b Bare) bool { return e.service != b.Service || e.zone != b.Zone }

// equalPart is this entry's part of n connections, one at least.
func equalPart(n, entries int) int { return max(1, n/max(entries, 1)) }

// refresh takes an announcement or a new number of entries. Connections are
// divided equally, as there are many more of them than slots; how many of the
// slots this entry may use is told by show.
func (e *bareEndpoint) refresh(b Bare, entries int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	connections := equalPart(b.Connections, entries)
	limit := min(b.Slots, connections)
	e.limit.Store(int64(limit))
	e.connect(connections)
	if b.Leaving && !e.shown.Leaving {
		eventBareLeaving.Log(e.f.ctx, e.f.logger, e.attrs()...)
	}
	next := scheduler.Endpoint{ID: e.id, Zone: e.zone, Slots: b.Slots, OwnLimit: limit, NoQueue: true, Leaving: b.Leaving}
	if e.published && next == e.shown {
		return
	}
	e.unreached.Store(0)
	e.published = true
	e.shown = next
	e.f.o.Sink.SetEndpoint(e.service, next)
	e.report()
}

// show tells the scheduler how many own starts the endpoint may have open. A
// scheduler takes a guard's word for what it holds for others; here the rest of
// the slots stands for that.
func (e *bareEndpoint) show(limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if limit == e.allowed {
		return
	}
	e.allowed = limit
	e.report()
}

// report sends the present limit; e.mu is held, so that a report never follows
// the notice that the endpoint leaves, which it would undo.
func (e *bareEndpoint) report() {
	if !e.published || e.shown.Leaving {
		return
	}
	e.f.o.Sink.ApplyReport(e.service, e.id, scheduler.Report{
		Version:    e.f.bare.reports.Add(1),
		OthersOpen: max(0, e.shown.Slots-e.allowed),
		Slots:      e.shown.Slots,
	})
}

// connect gives the endpoint a client with this many connections; e.mu is held.
func (e *bareEndpoint) connect(connections int) {
	if connections == e.connections {
		return
	}
	e.connections = connections
	old := e.client.Swap(bare.New(bare.Options{
		Address:     e.address,
		Connections: connections,
		MaxAnswer:   int64(e.f.o.MaxMessage),
		Stalled:     e.f.o.Stalled,
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
		e.f.o.Sink.RemoveEndpoint(e.service, e.id)
	}
}

func (e *bareEndpoint) usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.published && !e.shown.Leaving
}

func (e *bareEndpoint) close() { e.client.Load().Close() }

func (e *bareEndpoint) status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{
		ID:      e.id,
		Service: e.service,
		Zone:    e.zone,
		Address: e.address,
		Bare:    true,
		Slots:   e.shown.Slots,
		Leaving: e.shown.Leaving,
		Usable:  e.published && !e.shown.Leaving,
		Open:    int(e.open.Load()),
	}
}

// start calls the runner once. Whatever breaks after the request was written
// ends as unknown at once: nobody can tell whether the task ran.
func (e *bareEndpoint) start(ctx context.Context, c task.Call) task.Outcome {
	defer e.open.Add(-1)
	if e.open.Add(1) > e.limit.Load() {
		return failure(task.CodeRefused, task.RanNo, "this entry's part of the connections is in use")
	}
	d := e.f.bare.division(e.service)
	d.started(e.address)
	o, end := e.call(ctx, c)
	d.ended(e.address, end, o.RunTime)
	return o
}

// call makes the call and says what its end tells of the endpoint's slots.
func (e *bareEndpoint) call(ctx context.Context, c task.Call) (task.Outcome, share.End) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	e.f.meter.count(kindStart)
	answer, err := e.client.Load().Call(ctx, bare.Request{
		Task:     fmt.Sprintf("%s/%d", c.Submission, c.Assignment.Task.Index),
		Kind:     c.Kind,
		Customer: c.Customer,
		RunLimit: c.RunLimit,
		Payload:  c.Payload,
	})
	e.noteReach(ctx, err)
	e.noteSilence(ctx, err)
	if err == nil || answered(err) {
		e.f.meter.count(kindReply)
	}
	if err != nil {
		return bareFailure(ctx, err), slotAfter(err)
	}
	o := task.Outcome{Ran: task.RanYes, Payload: answer.Payload, Digest: answer.Digest[:], RunTime: answer.RunTime}
	return o, share.Ran
}

// answered reports whether the runner's whole answer was that failure.
func answered(err error) bool {
	return errors.Is(err, bare.ErrRefused) || errors.Is(err, bare.ErrFailed)
}

// slotAfter is what a failed call tells of the slots: a runner that refuses has
// none, one that answers with an error has one free.
func slotAfter(err error) share.End {
	switch {
	case errors.Is(err, bare.ErrRefused):
		return share.Refused
	case errors.Is(err, bare.ErrFailed):
		return share.Ran
	}
	return share.Other
}

// noteReach takes an endpoint that refuses connections out until it announces
// itself again: its refusals are true and fast, and would burn the retry budget.
func (e *bareEndpoint) noteReach(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !errors.Is(err, bare.ErrNotSent) {
		e.unreached.Store(0)
		return
	}
	if e.unreached.Add(1) == dialFailuresBound {
		e.withdraw()
		e.f.bare.lostReach(e.service)
	}
}

// noteSilence closes the idle connections after a call that got no answer. Something
// between may have lost track of every open connection while new ones work, and
// each idle one would cost a task its outcome. A caller's cancel is no such sign.
func (e *bareEndpoint) noteSilence(ctx context.Context, err error) {
	unanswered := errors.Is(err, bare.ErrLost) || errors.Is(err, bare.ErrRunLimit)
	if unanswered && !errors.Is(ctx.Err(), context.Canceled) {
		e.client.Load().Close()
	}
}

func bareFailure(ctx context.Context, err error) task.Outcome {
	switch {
	case errors.Is(err, bare.ErrNotSent):
		return bareEnded(ctx, task.CodeRefused, task.RanNo, err)
	case errors.Is(err, bare.ErrRefused):
		return failure(task.CodeRefused, task.RanNo, err.Error())
	case errors.Is(err, bare.ErrFailed):
		return failure(task.CodeFailed, task.RanYes, err.Error())
	case errors.Is(err, bare.ErrTruncated):
		return failure(task.CodeTruncated, task.RanYes, err.Error())
	case errors.Is(err, bare.ErrRunLimit):
		return failure(task.CodeRunLimit, task.RanUnknown, err.Error())
	default:
		return bareEnded(ctx, task.CodeLost, task.RanUnknown, err)
	}
}

// bareEnded names the cause when the caller or the deadline ended the call.
func bareEnded(ctx context.Context, code task.Code, ran task.Ran, err error) task.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = task.CodeDeadline
	case ctx.Err() != nil:
		code = task.CodeCancelled
	}
	return failure(code, ran, err.Error())
}
