package jobs

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/telemetry/uptime"
)

// fakePeers answer with late starts once answer is closed.
type fakePeers struct {
	late   []planner.EndpointLateStart
	answer chan struct{}
}

func (p *fakePeers) LateStarts(context.Context) ([]planner.EndpointLateStart, int, int) {
	<-p.answer
	return p.late, 1, 0
}

// newEngineWithPeers returns an engine that was started at the given uptime, with two guards whose runners
// may execute late starts and which sent their last message then.
func newEngineWithPeers(p Peers, started time.Duration) (e *Engine, g, other *fakeGuard) {
	e = New(Options{Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Scope: tally.NoopScope, Peers: p})
	e.plan.Act(started)
	attach := func(id string) *fakeGuard {
		g := &fakeGuard{starts: make(chan planner.Start, 16), stops: make(chan planner.Stop, 16)}
		e.Attach(id, "a", true, g)
		e.ApplyUpdate(id, g, GuardUpdate{SentAt: started, Status: &planner.EndpointStatus{
			Service: "s", Runner: work.Incarnation{ID: id, StartedMilli: 1}, AcceptsStarts: true, Total: work.Amounts{CPUMilli: 4000},
		}})
		return g
	}
	return e, attach("g"), attach("other")
}

// assertNotStarted checks that no task is started for a while.
func assertNotStarted(t *testing.T, g, other *fakeGuard) {
	t.Helper()
	select {
	case <-g.starts:
		t.Fatal("started")
	case <-other.starts:
		t.Fatal("started")
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against a task that runs twice: the entry has just started, and starts it before the other entries
// have answered which of its starts may still be executed.
func TestTasksStartOnceThePeersHaveAnswered(t *testing.T) {
	p := &fakePeers{late: []planner.EndpointLateStart{{Endpoint: "other", Task: work.TaskID{Job: "j"}, Left: time.Second}}, answer: make(chan struct{})}
	e, g, other := newEngineWithPeers(p, uptime.Now())
	go submit(t.Context(), e)
	assertNotStarted(t, g, other)
	close(p.answer)
	assert.Equal(t, (<-other.starts).Run.Task.Job, "j")
	assert.Equal(t, len(g.starts), 0)
}

// Guards against a task that waits although the guards that were out of contact have been heard again, in
// messages without content.
func TestHeartbeatsOfGuardsReleaseWaitingTasks(t *testing.T) {
	const silence = 10 * time.Second
	e, g, other := newEngineWithPeers(&fakePeers{answer: make(chan struct{})}, uptime.Now()-silence)
	go submit(t.Context(), e)
	assertNotStarted(t, g, other)
	e.Heard("g", g, uptime.Now())
	assertNotStarted(t, g, other)
	e.Heard("other", other, uptime.Now())
	select {
	case <-g.starts:
	case <-other.starts:
	case <-time.After(time.Second):
		t.Fatal("not started")
	}
}
