package uplink

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/guard/subset"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// recordingEntry records the messages of its guard.
type recordingEntry struct {
	wirev1connect.UnimplementedFleetServiceHandler
	id       string
	mu       sync.Mutex
	messages []*wirev1.AttachRequest
}

func (e *recordingEntry) Attach(_ context.Context, st *connect.BidiStream[wirev1.AttachRequest, wirev1.AttachResponse]) error {
	if err := st.Send(&wirev1.AttachResponse{Handshake: &wirev1.EntryHandshake{Entry: e.id, Incarnation: 1}}); err != nil {
		return err
	}
	for {
		m, err := st.Receive()
		if err != nil {
			return err
		}
		e.mu.Lock()
		e.messages = append(e.messages, m)
		e.mu.Unlock()
	}
}

// find returns the position of the first message that has what is asked for, -1 if there is none.
func (e *recordingEntry) find(has func(*wirev1.AttachRequest) bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, m := range e.messages {
		if has(m) {
			return i
		}
	}
	return -1
}

// lateHost has the late starts that were added.
type lateHost struct {
	noHost
	mu   sync.Mutex
	late []runs.LateStart
}

func (h *lateHost) LateStarts(after uint64) ([]runs.LateStart, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.late[after:], uint64(len(h.late))
}

func (h *lateHost) HasLateStarts() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.late) > 0
}

func (h *lateHost) add(job string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late = append(h.late, runs.LateStart{Seq: uint64(len(h.late) + 1), Task: work.TaskID{Job: job}, Until: uptime.Now() + time.Second})
}

// Guards against a task that is started elsewhere while a start of it may still be executed: an entry
// is sent the end of a run before the late start, or is not the one that ordered the run.
func TestLateStartsPrecedeReportsAndReachEveryEntry(t *testing.T) {
	owner, other := &recordingEntry{id: "owner"}, &recordingEntry{id: "other"}
	addresses := []string{serveEntry(t, owner), serveEntry(t, other)}
	h := &lateHost{}
	h.add("earlier")
	up := New(Options{Guard: "g", Seeds: func() []string { return addresses }, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))}, h)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = up.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	late := func(job string) func(*wirev1.AttachRequest) bool {
		return func(m *wirev1.AttachRequest) bool {
			for _, l := range m.GetLateStarts() {
				if l.GetTask().GetJob() == job && l.GetLeftMs() > 0 {
					return true
				}
			}
			return false
		}
	}
	ended := func(m *wirev1.AttachRequest) bool { return len(m.GetReports()) > 0 }
	wait := func(e *recordingEntry, what string, has func(*wirev1.AttachRequest) bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if e.find(has) >= 0 {
				return poll.Success()
			}
			return poll.Continue("%s: no %s", e.id, what)
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	wait(owner, "earlier late start", late("earlier"))
	wait(other, "earlier late start", late("earlier"))
	h.add("j")
	up.Deliver([]runs.Report{{Owner: runs.Owner{Entry: "owner", Incarnation: 1}, Run: work.RunID{Task: work.TaskID{Job: "j"}, Attempt: 1}, State: runs.Stopped}})
	up.LateStartsChanged()
	wait(owner, "report", ended)
	assert.Assert(t, owner.find(late("j")) >= 0 && owner.find(late("j")) <= owner.find(ended))
	wait(other, "late start", late("j"))
}

// endingHost ends a run, once, while its late starts are being read.
type endingHost struct {
	lateHost
	end func()
}

func (h *endingHost) LateStarts(after uint64) ([]runs.LateStart, uint64) {
	late, last := h.lateHost.LateStarts(after)
	h.mu.Lock()
	end := h.end
	h.end = nil
	h.mu.Unlock()
	if end != nil {
		end()
	}
	return late, last
}

// Guards against a report on the end of a run that is sent without the run's late start, because
// both became known while a message was being put together.
func TestReportDuringAMessageFollowsItsLateStart(t *testing.T) {
	owner := &recordingEntry{id: "owner"}
	addresses := []string{serveEntry(t, owner)}
	h := &endingHost{}
	up := New(Options{Guard: "g", Seeds: func() []string { return addresses }, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))}, h)
	h.end = func() {
		h.add("j")
		up.Deliver([]runs.Report{{Owner: runs.Owner{Entry: "owner", Incarnation: 1}, Run: work.RunID{Task: work.TaskID{Job: "j"}, Attempt: 1}, State: runs.Stopped}})
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = up.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	ended := func(m *wirev1.AttachRequest) bool { return len(m.GetReports()) > 0 }
	late := func(m *wirev1.AttachRequest) bool { return len(m.GetLateStarts()) > 0 }
	for end := time.Now().Add(5 * time.Second); owner.find(ended) < 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	assert.Assert(t, owner.find(ended) >= 0)
	assert.Assert(t, owner.find(late) >= 0 && owner.find(late) <= owner.find(ended))
}

// Guards against a task that runs twice: its caller left and submitted the job to an entry outside
// the subset of the guard whose runner may still execute a start of it.
func TestLateStartsReachEntriesOutsideTheSubset(t *testing.T) {
	const entries = subset.DefaultSize + 1
	var all []*recordingEntry
	var addresses []string
	for i := range entries {
		e := &recordingEntry{id: fmt.Sprint("e", i)}
		all = append(all, e)
		addresses = append(addresses, serveEntry(t, e))
	}
	h := &lateHost{}
	h.add("j")
	up := New(Options{Guard: "g", Seeds: func() []string { return addresses }, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))}, h)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = up.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	late := func(m *wirev1.AttachRequest) bool { return len(m.GetLateStarts()) > 0 }
	reached := 0
	for end := time.Now().Add(2 * time.Second); reached < entries && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		reached = 0
		for _, e := range all {
			if e.find(late) >= 0 {
				reached++
			}
		}
	}
	assert.Equal(t, reached, entries)
}
