package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/platform/runner"
	"almondstand.dev/telemetry/uptime"
)

// sweepLoop stops runs that are to end and prunes old records.
func (h *Host) sweepLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var prunedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.sweep:
		case <-timer.C:
		}
		now := uptime.Now()
		h.mu.Lock()
		h.sendStops(now)
		expired := h.table.ExpireUnresolved(now)
		if now-prunedAt > pruneInterval {
			h.table.Prune(now)
			prunedAt = now
		}
		wait := min(h.table.NextStop()-now, pruneInterval)
		h.mu.Unlock()
		if len(expired) > 0 {
			h.deliver(expired)
		}
		timer.Reset(max(wait, time.Millisecond))
	}
}

// sendStops sends the stops that are due. h.mu is held.
func (h *Host) sendStops(now time.Duration) {
	p := h.process
	if p == nil {
		return
	}
	delay := p.hedge.delay()
	for _, s := range h.table.Stops(now) {
		h.calls.Go(func() {
			answer := h.send(stopTimeout, delay, func(ctx context.Context) (time.Duration, error) {
				return p.api.Stop(ctx, s.Name)
			})
			if answer.err != nil {
				uptime.Sleep(h.ctx, retryDelay)
			}
			h.handleStopReply(p, s, answer)
		})
	}
}

// handleStopReply handles the result of a stop.
func (h *Host) handleStopReply(p *process, s runs.Stop, answer reply) {
	err := answer.err
	h.mu.Lock()
	p.recordReply(answer, h.monotonic())
	switch {
	case h.process != p:
		// The run is over, or it is at the next process, which has received no stop.
	case err == nil:
		h.table.StopAcknowledged(uptime.Now(), s.Name)
	default:
		h.table.StopFailed(s.Name)
	}
	h.mu.Unlock()
	h.opt.Metrics.stop(err)
	if err != nil {
		stopFailed.Log(h.ctx, h.logger, slog.String("job", s.Name.Task.Job), slog.Int("index", s.Name.Task.Index),
			slog.Int("run", s.Name.Number), slog.String("error", err.Error()))
		notify(h.sweep)
	}
	notify(h.poll)
}

// pollLoop renews the lease and reads the runner's run listing while any runs are there, one
// poll at a time unless one goes unanswered.
func (h *Host) pollLoop(ctx context.Context) {
	var polls sync.WaitGroup
	defer polls.Wait()
	inFlight := make(chan struct{}, maxInFlightPolls)
	for ctx.Err() == nil {
		if h.needsPoll() {
			h.pollRound(ctx, &polls, inFlight)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-h.poll:
		}
	}
}

// needsPoll reports whether the runner's run listing is to be requested.
func (h *Host) needsPoll() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && (!h.table.Idle() || h.hasUnread() || h.table.RunnerIsDown() || h.fencesEarly())
}

// hasUnread reports whether the current process's run listing has not been read, or ended runs in
// it have not been acknowledged. h.mu is held.
func (h *Host) hasUnread() bool {
	return !h.table.ListingRead() || h.table.LastEndSeq() > h.process.ackedEnd
}

// fencesEarly reports whether a start went unanswered a short time ago. h.mu is held.
func (h *Host) fencesEarly() bool { return uptime.Now() < h.fenceEarlyUntil }

// pollRound sends a poll and waits for its answer until the hedge delay has passed; an
// unanswered poll then continues in the background.
func (h *Host) pollRound(ctx context.Context, polls *sync.WaitGroup, inFlight chan struct{}) {
	select {
	case <-ctx.Done():
		return
	case inFlight <- struct{}{}:
	}
	done := make(chan time.Duration, 1)
	polls.Go(func() {
		defer func() { <-inFlight }()
		done <- h.pollOnce(ctx)
	})
	if pause, answered := awaitFor(done, h.pollHedgeDelay()); answered {
		uptime.Sleep(ctx, pause)
	}
}

// pollHedgeDelay returns the time after which an unanswered poll is hedged by another. If
// polls have been lost recently it is short: at a busy runner a run would have ended by then,
// and the poll been answered, in four cases out of five.
func (h *Host) pollHedgeDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Idle() || h.lastPollLost == 0 || uptime.Now()-h.lastPollLost > pollHedgeWindow {
		return pollWait + pollHedgeMargin
	}
	return min(max(time.Duration(pollHedgeFactor*float64(h.meanPollTime)), minPollHedgeDelay), pollWait+pollHedgeMargin)
}

// recordPollTime updates the mean poll time. h.mu is held.
func (h *Host) recordPollTime(took time.Duration) {
	h.meanPollTime += (min(took, pollWait) - h.meanPollTime) / pollMeanWindow
}

// pollOnce sends a poll, handles its answer and returns the pause before the next poll.
func (h *Host) pollOnce(ctx context.Context) (pause time.Duration) {
	asked := uptime.Now()
	h.mu.Lock()
	p := h.process
	if p == nil {
		// The runner was removed after needsPoll returned true.
		h.mu.Unlock()
		return 0
	}
	before := p.leasedUntil
	remaining, hasRuns := before-h.monotonic(), h.table.HasRuns()
	until := h.lease(p)
	after := p.leasedUntil
	seen := h.table.LastEndSeq()
	wait := pollWait
	if p.unresponsive || h.table.Idle() && h.hasUnread() || seen > p.ackedEnd && !h.table.AcceptsStarts() {
		wait = 0
	}
	if h.table.Idle() {
		until = 0
	}
	h.mu.Unlock()
	called, cancel := withTimeout(ctx, wait+pollMargin)
	listing, err := p.api.Poll(called, until, seen, wait)
	cancel()
	h.opt.Metrics.poll(err)
	if err != nil {
		h.logPollFailure(ctx, p, err)
	}
	now := uptime.Now()
	h.mu.Lock()
	if errors.Is(err, runner.ErrConnectionRefused) {
		p.revokeLease(before, after)
	}
	if h.process != p || asked <= p.requestedAt || p.outdated(asked, listing, err) {
		// The answer is of another process, or a poll that was requested later has been read
		// already: run listings are read in the order of their requests.
		h.mu.Unlock()
		return 0
	}
	var reports []runs.Report
	var stalled []runs.StalledRun
	pause = retryDelay
	p.unresponsive = err != nil
	h.recordReachability(err)
	if errors.Is(err, runner.ErrOutcomeUnknown) {
		h.lastPollLost = now
	}
	switch {
	case err == nil:
		pause = 0
		h.table.SetExpiring(false)
		p.syncClock(listing.Clock, h.monotonic())
		p.requestedAt = asked
		p.readAt, p.listingClock = now, listing.Clock
		p.ackedEnd = max(p.ackedEnd, seen)
		h.recordPollTime(now - asked)
		reports = h.table.ApplyListing(now, asked, listing)
		stalled = h.table.TakeStalled()
		if listing.UnreadableEnds > 0 {
			// Ends that can't be acknowledged make the runner answer each poll at once.
			pause = retryDelay
		}
	case errors.Is(err, runner.ErrRestarted):
		h.handleRestart(listing)
	case errors.Is(err, runner.ErrReplaced):
		h.table.SetExpiring(false)
		reports = h.table.ReplaceProcess(now)
		h.process = nil
	case h.leaseExpired(p):
		reports = h.table.LeaseExpired(now, errors.Is(err, runner.ErrConnectionRefused))
		pause = expiredPollInterval
	}
	switch {
	case errors.Is(err, runner.ErrConnectionRefused) && h.fencesEarly():
		pause = endedPollInterval
	case h.table.RunnerIsDown():
		pause = max(pause, h.downPollPause())
	}
	h.sendStops(now)
	h.mu.Unlock()
	if err == nil && hasRuns {
		h.opt.Metrics.leaseExtended(remaining)
	}
	if err == nil && listing.UnreadableRuns+listing.UnreadableEnds > 0 {
		h.recordUnreadableRows(ctx, p, listing)
	}
	h.deliver(reports)
	h.signalStalled(stalled)
	return pause
}

// logPollFailure logs a failed poll. The frequent polls of an ended process are logged as seldom as
// those of a process whose leases have expired.
func (h *Host) logPollFailure(ctx context.Context, p *process, err error) {
	h.mu.Lock()
	now := uptime.Now()
	frequent := errors.Is(err, runner.ErrConnectionRefused) && h.fencesEarly()
	shouldLog := !frequent || now-h.pollLoggedAt >= expiredPollInterval
	if shouldLog {
		h.pollLoggedAt = now
	}
	h.mu.Unlock()
	if shouldLog {
		pollFailed.Log(ctx, h.logger, slog.String("runner", p.String()), slog.String("error", err.Error()))
	}
}

// recordUnreadableRows counts rows of a run listing that could not be read. Log lines are rate-limited.
func (h *Host) recordUnreadableRows(ctx context.Context, p *process, listing work.Listing) {
	h.opt.Metrics.countUnreadableRows(listing.UnreadableRuns + listing.UnreadableEnds)
	h.mu.Lock()
	now := uptime.Now()
	shouldLog := h.rowsLoggedAt == 0 || now-h.rowsLoggedAt >= malformedLogInterval
	if shouldLog {
		h.rowsLoggedAt = now
	}
	h.mu.Unlock()
	if shouldLog {
		rowsUnreadable.Log(ctx, h.logger, slog.String("runner", p.String()),
			slog.Int("running", listing.UnreadableRuns), slog.Int("ended", listing.UnreadableEnds))
	}
}

// HandleMalformedReport counts a malformed report. Log lines are rate-limited, because a faulty
// program may send many.
func (h *Host) HandleMalformedReport(instance string, err error) {
	h.mu.Lock()
	now := uptime.Now()
	shouldLog := h.malformedLoggedAt == 0 || now-h.malformedLoggedAt >= malformedLogInterval
	if shouldLog {
		h.malformedLoggedAt = now
	}
	h.mu.Unlock()
	h.opt.Metrics.countMalformed()
	if shouldLog {
		reportMalformed.Log(context.Background(), h.logger, slog.String("runner", truncate(instance)), slog.String("error", truncate(err.Error())))
	}
}

// truncate bounds untrusted text in log lines.
func truncate(s string) string { return s[:min(len(s), malformedLogBytes)] }
