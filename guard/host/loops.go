package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"almondstand.dev/guard/runs"
	"almondstand.dev/platform/runner"
	"almondstand.dev/telemetry/uptime"
)

// sweepLoop ends runs that are no longer wanted.
func (h *Host) sweepLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var forgot time.Duration
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
		expired := h.table.Expire(now)
		if now-forgot > forgetEvery {
			h.table.Forget(now)
			forgot = now
		}
		wait := min(h.table.Next()-now, forgetEvery)
		h.mu.Unlock()
		if len(expired) > 0 {
			h.deliver(expired)
		}
		timer.Reset(max(wait, time.Millisecond))
	}
}

// sendStops sends the stops that are due. The lock is held.
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
				uptime.Sleep(h.ctx, stopPause)
			}
			h.stopped(p, s, answer)
		})
	}
}

// stopped takes the answer of a stop.
func (h *Host) stopped(p *process, s runs.Stop, answer reply) {
	err := answer.err
	h.mu.Lock()
	p.answered(answer, h.steady())
	switch {
	case h.process != p:
		// The run is over, or at the next process, which has had no stop.
	case err == nil:
		h.table.Barred(uptime.Now(), s.Name)
	default:
		h.table.StopFailed(s.Name)
	}
	h.mu.Unlock()
	h.opt.Metrics.stop(err)
	if err != nil {
		stopFailed.Log(h.ctx, h.logger, slog.String("job", s.Name.Task.Job), slog.Int("index", s.Name.Task.Index),
			slog.Int("run", s.Name.Number), slog.String("error", err.Error()))
		signal(h.sweep)
	}
	signal(h.poll)
}

// pollLoop renews the lease and reads the runner's account while anything is
// there, one poll at a time unless one goes unanswered.
func (h *Host) pollLoop(ctx context.Context) {
	var under sync.WaitGroup
	defer under.Wait()
	free := make(chan struct{}, inFlightPolls)
	for ctx.Err() == nil {
		if h.wanted() {
			h.pollRound(ctx, &under, free)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-h.poll:
		}
	}
}

// wanted reports whether the runner's account is to be read.
func (h *Host) wanted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && (!h.table.Idle() || !h.table.Checked() || h.table.Seen() > h.process.acked)
}

// pollRound sends a poll and waits for it as long as one takes that is answered;
// a poll that isn't goes on by itself.
func (h *Host) pollRound(ctx context.Context, under *sync.WaitGroup, free chan struct{}) {
	select {
	case <-ctx.Done():
		return
	case free <- struct{}{}:
	}
	done := make(chan time.Duration, 1)
	under.Go(func() {
		defer func() { <-free }()
		done <- h.pollOnce(ctx)
	})
	if again, answered := awaitFor(done, h.hedgeDelay()); answered {
		uptime.Sleep(ctx, again)
	}
}

// hedgeDelay is the time after which a poll that isn't answered is overtaken. Where polls
// have been lost of late it is short: on a busy
// runner an end would have come by then in four cases of five.
func (h *Host) hedgeDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Idle() || h.lostAt == 0 || uptime.Now()-h.lostAt > lostMemory {
		return pollWait + pollSlow
	}
	return min(max(time.Duration(hedgeFactor*float64(h.pollTakes)), leastHedgeDelay), pollWait+pollSlow)
}

// answered takes note of the time that an answered poll took. The lock is held.
func (h *Host) answered(took time.Duration) {
	h.pollTakes += (min(took, pollWait) - h.pollTakes) / pollMemory
}

// pollOnce returns the pause before the next poll.
func (h *Host) pollOnce(ctx context.Context) (again time.Duration) {
	asked := uptime.Now()
	h.mu.Lock()
	p := h.process
	if p == nil {
		// The runner has left since the poll was found to be wanted.
		h.mu.Unlock()
		return 0
	}
	left, leases := p.leased-h.steady(), h.table.Holds()
	until := h.lease(p, asked)
	seen := h.table.Seen()
	wait := pollWait
	if p.silent || h.table.Idle() || seen > p.acked && !h.table.Open() {
		wait = 0
	}
	if h.table.Idle() {
		until = 0
	}
	h.mu.Unlock()
	called, cancel := context.WithTimeout(ctx, wait+pollMargin)
	account, err := p.api.Poll(called, until, seen, wait)
	cancel()
	h.opt.Metrics.poll(err)
	if err != nil {
		pollFailed.Log(ctx, h.logger, slog.String("runner", p.String()), slog.String("error", err.Error()))
	}
	now := uptime.Now()
	h.mu.Lock()
	if h.process != p || asked <= p.polledAt || p.older(asked, account, err) {
		// Of another process, or hedged by a poll that was asked for later: accounts
		// are read in the order in which they were asked for.
		h.mu.Unlock()
		return 0
	}
	var reports []runs.Report
	again = stopPause
	p.silent = err != nil
	if errors.Is(err, runner.ErrUnanswered) {
		h.lostAt = now
	}
	switch {
	case err == nil:
		again = 0
		p.read(account.Clock, h.steady())
		p.polledAt = asked
		p.readAt, p.accountAt = now, account.Clock
		p.acked = max(p.acked, seen)
		h.answered(now - asked)
		reports = h.table.Read(now, asked, account)
	case errors.Is(err, runner.ErrRestarted):
		h.restarted(account)
	case errors.Is(err, runner.ErrReplaced):
		reports = h.table.Replace(now)
		h.process = nil
	case h.steady() > p.leased+lapseMargin:
		reports = h.table.Lapse(now, errors.Is(err, runner.ErrNobody))
		again = silentPause
	}
	h.sendStops(now)
	h.mu.Unlock()
	if err == nil && leases {
		h.opt.Metrics.extended(left)
	}
	h.deliver(reports)
	return again
}

// Malformed takes note of a report that is no runner's. A program that sends many
// writes one line a while.
func (h *Host) Malformed(instance string, err error) {
	h.mu.Lock()
	now := uptime.Now()
	tell := h.foreignAt == 0 || now-h.foreignAt >= foreignInterval
	if tell {
		h.foreignAt = now
	}
	h.mu.Unlock()
	h.opt.Metrics.foreign()
	if tell {
		reportMalformed.Log(context.Background(), h.logger, slog.String("runner", clip(instance)), slog.String("error", clip(err.Error())))
	}
}

// clip bounds what a stranger wrote.
func clip(s string) string { return s[:min(len(s), foreignText)] }
