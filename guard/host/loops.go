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
		if now-forgot > forgetEvery {
			h.table.Forget(now)
			forgot = now
		}
		wait := min(h.table.Next()-now, forgetEvery)
		h.mu.Unlock()
		timer.Reset(max(wait, time.Millisecond))
	}
}

// sendStops sends the stops that are due. The lock is held.
func (h *Host) sendStops(now time.Duration) {
	stops := h.table.Stops(now)
	life := h.table.Life()
	if life == nil {
		return
	}
	api := h.api
	for _, s := range stops {
		h.calls.Go(func() {
			answer := h.send(stopTimeout, func(ctx context.Context) (time.Duration, error) {
				return api.Stop(ctx, life.Instance, life.Token, s.Name)
			})
			if answer.err != nil {
				uptime.Sleep(h.ctx, stopPause)
			}
			h.stopped(s, answer.clock, answer.err)
		})
	}
}

// stopped takes the answer of a stop.
func (h *Host) stopped(s runs.Stop, clock time.Duration, err error) {
	h.mu.Lock()
	h.read(clock)
	if err == nil {
		h.table.Barred(uptime.Now(), s.Name)
	} else {
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
	return h.table.Life() != nil && (!h.table.Idle() || !h.table.Checked() || h.table.Seen() > h.acked)
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
	slow := time.NewTimer(h.hedgeDelay())
	defer slow.Stop()
	select {
	case again := <-done:
		uptime.Sleep(ctx, again)
	case <-slow.C:
	}
}

// older reports whether an account that was under way beside the last one read is of an
// earlier moment, by the runner's clock: it may list a run whose end has been read, and
// that would count as one that nobody here has started. The lock is held.
func (h *Host) older(asked time.Duration, v work.Account, err error) bool {
	return err == nil && asked < h.readAt && v.Clock < h.accountAt
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
	known := h.table.Life()
	if known == nil {
		// The runner has left since the poll was found to be wanted.
		h.mu.Unlock()
		return 0
	}
	life, api := *known, h.api
	left, leases := h.leased-h.steady(), h.table.Holds()
	until := h.lease(asked)
	seen := h.table.Seen()
	wait := pollWait
	if h.silent || h.table.Idle() || seen > h.acked && !h.table.Open() {
		wait = 0
	}
	if h.table.Idle() {
		until = 0
	}
	h.mu.Unlock()
	called, cancel := context.WithTimeout(ctx, wait+pollMargin)
	account, err := api.Poll(called, life.Instance, life.Token, until, seen, wait)
	cancel()
	h.opt.Metrics.poll(err)
	if err != nil {
		pollFailed.Log(ctx, h.logger, slog.String("runner", life.Instance), slog.String("error", err.Error()))
	}
	now := uptime.Now()
	h.mu.Lock()
	h.read(account.Clock)
	if current := h.table.Life(); current == nil || current.Instance != life.Instance || asked <= h.polledAt || h.older(asked, account, err) {
		// Of another life, or overtaken by a poll that was asked for later: accounts
		// are read in the order in which they were asked for.
		h.mu.Unlock()
		return 0
	}
	var reports []runs.Report
	again = stopPause
	h.silent = err != nil
	if errors.Is(err, runner.ErrUnanswered) {
		h.lostAt = now
	}
	switch {
	case err == nil:
		again = 0
		h.polledAt = asked
		h.readAt, h.accountAt = now, account.Clock
		h.acked = max(h.acked, seen)
		h.answered(now - asked)
		reports = h.table.Read(now, asked, account)
	case errors.Is(err, runner.ErrReplaced):
		reports = h.table.Replace(now)
	case h.steady() > h.leased+lapseMargin:
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

// Heard takes a runner's report about itself.
func (h *Host) Heard(r runner.Report) bool {
	h.mu.Lock()
	if life := h.table.Life(); life != nil && life.Instance == r.Instance {
		if r.Seq > h.heard {
			h.heard = r.Seq
			h.table.Describe(r.Capacity, r.Labels, r.Draining)
			h.read(r.Clock)
		}
		h.mu.Unlock()
		h.sink.CapacityChanged()
		return true
	}
	if h.candidate == nil || h.candidate.Instance != r.Instance || r.Seq > h.candidate.Seq {
		h.candidate = &r
	}
	if !h.adopting {
		h.adopting = true
		h.calls.Go(h.adopt)
	}
	h.mu.Unlock()
	return true
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

// Left takes note that a runner has ended as planned.
func (h *Host) Left(instance string) bool {
	h.mu.Lock()
	var reports []runs.Report
	life := h.table.Life()
	left := life != nil && life.Instance == instance
	if left {
		reports = h.table.Lose(uptime.Now())
	}
	if h.candidate != nil && h.candidate.Instance == instance {
		h.candidate = nil
	}
	h.mu.Unlock()
	if left {
		runnerLeft.Log(h.ctx, h.logger, slog.String("runner", instance))
		h.deliver(reports)
	}
	return true
}

// adopt asks a runner that has announced itself whether it is there. A report
// that was held up may come from a life that is over, after its successor's:
// only an answer to an order meant for that life shows which one lives.
func (h *Host) adopt() {
	defer func() {
		h.mu.Lock()
		h.adopting = false
		h.mu.Unlock()
	}()
	for range adoptTries {
		h.mu.Lock()
		c := h.candidate
		h.mu.Unlock()
		if c == nil || h.ctx.Err() != nil {
			return
		}
		if h.confirm(*c) {
			return
		}
		uptime.Sleep(h.ctx, adoptPause)
	}
}

// confirm returns true when the candidate is adopted or known to be over.
func (h *Host) confirm(c runner.Report) bool {
	api := h.opt.Dial(c.Address)
	token := c.Clock.Milliseconds()
	asked := uptime.Now()
	account, err := h.firstPoll(api, c.Instance, token)
	if errors.Is(err, runner.ErrFenced) && account.Clock > 0 {
		// The report is older than an order of an earlier guard.
		token = account.Clock.Milliseconds() + 1
		asked = uptime.Now()
		account, err = h.firstPoll(api, c.Instance, token)
	}
	if err != nil {
		confirmFailed.Log(h.ctx, h.logger, slog.String("runner", c.Instance), slog.String("error", err.Error()))
	}
	h.mu.Lock()
	if errors.Is(err, runner.ErrReplaced) && h.candidate != nil && h.candidate.Instance == c.Instance {
		h.candidate = nil
	}
	if err != nil {
		h.mu.Unlock()
		return errors.Is(err, runner.ErrReplaced)
	}
	if h.candidate != nil && h.candidate.Instance == c.Instance {
		// A newer report may have come meanwhile.
		c = *h.candidate
		h.candidate = nil
	}
	now := uptime.Now()
	reports := h.table.Adopt(now, runs.Life{Instance: c.Instance, Service: c.Service, Address: c.Address, Token: token})
	h.table.Describe(c.Capacity, c.Labels, c.Draining)
	h.api = api
	h.heard = c.Seq
	h.acked = 0
	h.leased = 0
	h.polledAt = asked
	h.readAt, h.accountAt = now, account.Clock
	h.silent = false
	h.clock = sample{account.Clock, h.steady()}
	reports = append(reports, h.table.Read(now, asked, account)...)
	left := len(account.Running)
	h.mu.Unlock()
	runnerAdopted.Log(h.ctx, h.logger, slog.String("runner", c.Instance), slog.String("service", c.Service),
		slog.Int64("token", token), slog.Int64("cpu_milli", c.Capacity.CPUMilli), slog.Int("left_running", left))
	signal(h.poll)
	signal(h.sweep)
	h.deliver(reports)
	return true
}

func (h *Host) firstPoll(api Runner, instance string, token int64) (account work.Account, err error) {
	ctx, cancel := context.WithTimeout(h.ctx, startTimeout)
	defer cancel()
	return api.Poll(ctx, instance, token, 0, 0, 0)
}
