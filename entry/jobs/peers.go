package jobs

import (
	"context"
	"log/slog"
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/telemetry/uptime"
)

// Peers asks other entries for the late starts that guards have sent them.
type Peers interface {
	// LateStarts returns the late starts of the entries that answered in time. unanswered is the number
	// of entries that did not, of those asked; entries that have ended are not counted.
	LateStarts(ctx context.Context) (late []planner.EndpointLateStart, asked, unanswered int)
}

// LateStarts returns the late starts that guards have sent this entry.
func (e *Engine) LateStarts() []planner.EndpointLateStart {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.LateStarts(uptime.Now())
}

// askPeersIfDue asks the other entries for their late starts if the planner needs them and no question is
// under way. The caller holds the lock.
func (e *Engine) askPeersIfDue(now time.Duration) {
	if e.askingPeers || !e.plan.MustAskPeers(now) {
		return
	}
	e.askingPeers = true
	go e.askPeers(now)
}

// askPeers asks the other entries. Tasks wait for the answers, but not for those of an entry that does not
// answer in time: it may be gone.
func (e *Engine) askPeers(at time.Duration) {
	late, asked, unanswered := e.peers.LateStarts(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	now := uptime.Now()
	e.askingPeers = false
	for _, l := range late {
		e.plan.RecordPeerLateStart(now, l)
	}
	if asked > 0 && unanswered == asked {
		e.plan.RecordPeersUnanswered(at)
	} else {
		e.plan.RecordPeersAsked(at)
	}
	logPeersAsked(e.logger, now-at, late, asked, unanswered)
	e.applyActions(now)
}

func logPeersAsked(l *slog.Logger, took time.Duration, late []planner.EndpointLateStart, asked, unanswered int) {
	if len(late) == 0 && unanswered == 0 {
		return
	}
	var jobs []string
	for _, x := range late {
		jobs = appendJob(jobs, x.Task.Job)
	}
	peersAsked.Log(context.Background(), l, slog.Int("entries", asked), slog.Int("unanswered", unanswered),
		millis("took_ms", took), slog.Int("tasks", len(late)), slog.Any("jobs", jobs))
}
