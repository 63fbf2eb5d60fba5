package uplink

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/wire/wirev1"
)

// progressHost has the progress reports that were added, each for one message.
type progressHost struct {
	noHost
	mu  sync.Mutex
	due []runs.Progress
}

func (h *progressHost) Progress(runs.Owner) []runs.Progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	due := h.due
	h.due = nil
	return due
}

func (h *progressHost) add(p runs.Progress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.due = append(h.due, p)
}

// Guards against a stalled run of which the entry is notified with the next heartbeat only, against
// reports that cause messages of their own, and against those taken by a session that was replaced.
func TestProgressGoesWithMessagesAndStalledRunsAtOnce(t *testing.T) {
	entry := &recordingEntry{id: "e"}
	address := serveEntry(t, entry)
	h := &progressHost{}
	up := New(Options{Guard: "g", Seeds: func() []string { return []string{address} }, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))}, h)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = up.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	owner := runs.Owner{Entry: "e", Incarnation: 1}
	sent := func(percent uint32) int {
		return entry.find(func(m *wirev1.AttachRequest) bool {
			return len(m.GetProgress()) > 0 && m.GetProgress()[0].GetPercent() == percent
		})
	}
	wait := func(what string, ok func() bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if ok() {
				return poll.Success()
			}
			return poll.Continue("%s", what)
		}, poll.WithTimeout(3*time.Second), poll.WithDelay(time.Millisecond))
	}
	wait("no capacity", func() bool {
		return entry.find(func(m *wirev1.AttachRequest) bool { return m.GetCapacity() != nil }) >= 0
	})
	run := work.RunID{Task: work.TaskID{Job: "j", Index: 3}, Attempt: 2}
	h.add(runs.Progress{Run: run, Percent: 7, Left: 80 * time.Millisecond})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, sent(7), -1, "a message for a report that can wait")
	up.Deliver([]runs.Report{{Owner: owner, Run: run, State: runs.Done}})
	wait("report not sent", func() bool { return sent(7) >= 0 })
	assert.Assert(t, entry.find(func(m *wirev1.AttachRequest) bool {
		if len(m.GetProgress()) == 0 {
			return false
		}
		p := m.GetProgress()[0]
		return p.GetTask().GetJob() == "j" && p.GetTask().GetIndex() == 3 && p.GetAttempt() == 2 && p.GetLeftUs() == 80000 && !p.GetStalled()
	}) >= 0)
	h.add(runs.Progress{Run: run, Percent: 9, Stalled: true})
	at := time.Now()
	up.ProgressDue(owner)
	wait("stalled run not sent", func() bool { return sent(9) >= 0 })
	assert.Assert(t, time.Since(at) < heartbeatInterval/2, "%v", time.Since(at))
	up.mu.Lock()
	replaced := up.current["e"]
	up.current["e"] = newSession(up, replaced.link, time.Second)
	up.mu.Unlock()
	h.add(runs.Progress{Run: run, Percent: 11})
	assert.Equal(t, len(replaced.takeProgress(true)), 0)
	assert.Equal(t, len(h.Progress(owner)), 1)
	up.mu.Lock()
	up.current["e"] = replaced
	up.mu.Unlock()
}
