package host

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/platform/runner"
	"almondstand.dev/telemetry/uptime"
)

// HandleReport handles a runner's report about itself. It returns false if the report is malformed.
func (h *Host) HandleReport(r runner.Report) bool {
	h.mu.Lock()
	if p := h.process; p != nil && p.ID == r.Instance {
		if p.StartedMilli > 0 && r.StartedMilli == 0 {
			h.mu.Unlock()
			h.HandleMalformedReport(r.Instance, errNoStart)
			return false
		}
		if p.Incarnation == r.Incarnation() {
			if r.Seq > p.lastReport {
				p.lastReport = r.Seq
				h.table.SetService(r.Service)
				h.table.SetCapacity(r.Capacity, r.Labels, r.Draining)
				h.table.SetColdUntil(uptime.Now() + r.ColdLeft)
				p.syncClock(r.Clock, h.monotonic())
			}
			h.mu.Unlock()
			h.sink.CapacityChanged()
			return true
		}
	}
	h.addCandidate(r)
	h.mu.Unlock()
	return true
}

// errNoStart means that a report lacks the process's start time although earlier reports of
// the runner had one.
var errNoStart = errors.New("host: report names no start time")

// addCandidate records a process that is not the current one and starts its confirmation. h.mu
// is held.
func (h *Host) addCandidate(r runner.Report) {
	if c := h.candidate; c == nil || c.Instance != r.Instance || r.StartedMilli > c.StartedMilli || r.StartedMilli == c.StartedMilli && r.Seq > c.Seq {
		h.candidate = &r
	}
	h.adopt()
}

// adopt starts the confirmation of the candidate. h.mu is held.
func (h *Host) adopt() {
	if h.candidate != nil && !h.adopting {
		h.adopting = true
		h.calls.Go(h.adoptCandidate)
	}
}

// handleRestart adds the process that answered in place of the current one, under the same id,
// as a candidate. Its capacity is known once its first report arrives. h.mu is held.
func (h *Host) handleRestart(answer work.Listing) {
	old := h.table.Process()
	h.addCandidate(runner.Report{
		Instance:     old.ID,
		StartedMilli: answer.StartedMilli,
		Service:      old.Service,
		Address:      old.Address,
		Clock:        answer.Clock,
	})
}

// HandleShutdown handles a runner's notice that it has shut down as planned.
func (h *Host) HandleShutdown(instance string) bool {
	h.mu.Lock()
	p := h.process
	known := p != nil && p.ID == instance
	if c := h.candidate; c != nil && c.Instance == instance && c.StartedMilli == 0 {
		h.candidate = nil
	}
	if known && !p.leaving {
		p.leaving = true
		h.calls.Go(func() { h.confirmLeft(p) })
	}
	h.mu.Unlock()
	return true
}

// confirmLeft removes a process that has deregistered once it is shown to have ended. The notice
// may be about an older process under the same id, and a process may run on for seconds after it.
func (h *Host) confirmLeft(p *process) {
	defer h.stopLeaving(p)
	deadline := uptime.Now() + leaveTimeout
	for delay := minLeaveDelay; uptime.Now() < deadline; delay = min(2*delay, maxLeaveDelay) {
		if h.hasLeft(p) {
			h.removeProcess(p)
			return
		}
		uptime.Sleep(h.ctx, delay)
		h.mu.Lock()
		over := h.ctx.Err() != nil || h.process != p
		h.mu.Unlock()
		if over {
			return
		}
	}
}

// stopLeaving lets the next notice of the process's shutdown be confirmed.
func (h *Host) stopLeaving(p *process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.leaving = false
}

// hasLeft reports whether a process that has deregistered has ended: its connection is refused, a
// process under another id answers, or it is silent and its lease has expired.
func (h *Host) hasLeft(p *process) bool {
	_, err := h.firstPoll(p.api)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.process != p, errors.Is(err, runner.ErrRestarted):
		return false
	case errors.Is(err, runner.ErrConnectionRefused), errors.Is(err, runner.ErrReplaced):
		return true
	}
	silent := isSilent(err)
	h.table.SetExpiring(silent)
	return silent && h.leaseExpired(p)
}

// removeProcess removes a process that has shut down as planned and is shown to have ended; its
// runs are over.
func (h *Host) removeProcess(p *process) {
	h.mu.Lock()
	if h.process != p {
		h.mu.Unlock()
		return
	}
	reports := h.table.RemoveProcess(uptime.Now())
	h.process = nil
	h.adopt()
	h.mu.Unlock()
	runnerLeft.Log(h.ctx, h.logger, slog.String("runner", p.String()))
	h.deliver(reports)
}

// adoptCandidate asks a process that has announced itself whether it is running. A delayed
// report of a process that has ended may arrive after its successor's, so only an answer to a
// call addressed to it shows which process is running.
func (h *Host) adoptCandidate() {
	for range adoptTries {
		h.mu.Lock()
		c := h.candidate
		if c == nil || h.ctx.Err() != nil {
			h.adopting = false
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
		if !h.confirm(*c) {
			uptime.Sleep(h.ctx, adoptRetryDelay)
		}
	}
	h.mu.Lock()
	h.adopting = false
	h.mu.Unlock()
}

// confirm returns true if the candidate was adopted or is known to have ended.
func (h *Host) confirm(c runner.Report) bool {
	ended, ok := h.replaceable(c)
	if !ok {
		return false
	}
	if err := h.probe(c); err != nil {
		return h.discardIfEnded(c, err)
	}
	token := h.nextToken(c)
	target := runner.Target{Address: c.Address, Incarnation: c.Incarnation(), Token: token}
	api := h.opt.Dial(target)
	asked := uptime.Now()
	listing, err := h.firstPoll(api)
	if errors.Is(err, runner.ErrFenced) && listing.Clock > 0 {
		// A previous guard process has used a higher fencing token than the report's clock
		// yields.
		api.Close()
		c.Clock = listing.Clock + time.Millisecond
		target.Token = h.nextToken(c)
		api = h.opt.Dial(target)
		asked = uptime.Now()
		listing, err = h.firstPoll(api)
	}
	if err != nil {
		api.Close()
		return h.discardIfEnded(c, err)
	}
	return h.install(c, &process{
		Incarnation:  c.Incarnation(),
		api:          api,
		requestedAt:  asked,
		listingClock: listing.Clock,
	}, target.Token, listing, ended)
}

// replaceable reports whether the candidate may replace the current process, and whether that
// one has ended. A process at the same address shows that it has; one at another address does
// not, and the runs of the current process must not be reported as over while they may run on.
// The current process stays while it answers, unless it is drained. If it does not answer, its
// lease is left to expire.
func (h *Host) replaceable(c runner.Report) (ended, ok bool) {
	h.mu.Lock()
	p := h.process
	if p == nil || h.table.Process().Address == c.Address {
		h.mu.Unlock()
		return true, true
	}
	h.mu.Unlock()
	_, err := h.firstPoll(p.api)
	if errors.Is(err, runner.ErrConnectionRefused) || errors.Is(err, runner.ErrReplaced) {
		return true, true
	}
	silent := isSilent(err)
	if silent && !h.answers(c) {
		return false, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != p {
		return false, false
	}
	h.table.SetExpiring(silent)
	ok = h.table.Drained() || silent && h.leaseExpired(p)
	if !ok && h.postponed != c.Incarnation() {
		h.postponed = c.Incarnation()
		adoptPostponed.Log(h.ctx, h.logger, slog.String("runner", c.Incarnation().String()), slog.String("address", c.Address),
			slog.String("current", p.String()), slog.Bool("silent", silent))
	}
	return false, ok
}

// answers reports whether the candidate's process answers. The call has no fencing token, so it
// changes nothing there.
func (h *Host) answers(c runner.Report) bool {
	api := h.opt.Dial(runner.Target{Address: c.Address, Incarnation: c.Incarnation()})
	defer api.Close()
	_, err := h.firstPoll(api)
	return err == nil || errors.Is(err, runner.ErrFenced)
}

// isSilent reports whether a call's process gave no answer to it, not even a rejection.
func isSilent(err error) bool {
	return errors.Is(err, runner.ErrOutcomeUnknown) || errors.Is(err, runner.ErrUnreachable)
}

// leaseExpired reports whether every lease that was granted to the process has expired and its
// runs are over. h.mu is held.
func (h *Host) leaseExpired(p *process) bool { return h.monotonic() > p.leasedUntil+leaseEndMargin }

// probe checks that a process that announced itself under the id of the current or the
// previous process is running. It uses the token that those processes know: if the report is
// an older process's, a higher token would fence off this guard's own calls.
func (h *Host) probe(c runner.Report) error {
	h.mu.Lock()
	f := h.fence
	h.mu.Unlock()
	if f.id != c.Instance || c.StartedMilli == 0 {
		return nil
	}
	api := h.opt.Dial(runner.Target{Address: c.Address, Incarnation: c.Incarnation(), Token: f.token})
	defer api.Close()
	_, err := h.firstPoll(api)
	if errors.Is(err, runner.ErrFenced) {
		return nil
	}
	return err
}

// nextToken returns the fencing token for a candidate and remembers it.
func (h *Host) nextToken(c runner.Report) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence = fence{c.Instance, h.fence.next(c.Incarnation(), c.Clock)}
	return h.fence.token
}

// discardIfEnded drops a candidate if the error shows that its process has ended.
func (h *Host) discardIfEnded(c runner.Report, err error) bool {
	confirmFailed.Log(h.ctx, h.logger, slog.String("runner", c.Incarnation().String()), slog.String("error", err.Error()))
	over := errors.Is(err, runner.ErrReplaced)
	h.mu.Lock()
	defer h.mu.Unlock()
	if over && h.candidate != nil && h.candidate.Incarnation() == c.Incarnation() {
		h.candidate = nil
	}
	return over
}

// install makes a confirmed process the current one. It returns false if the current one has not
// ended and has obtained a lease or runs since the candidate was found to replace it.
func (h *Host) install(c runner.Report, p *process, token int64, listing work.Listing, ended bool) bool {
	h.mu.Lock()
	if old := h.process; old != nil && !ended && !h.leaseExpired(old) && !h.table.Drained() {
		h.mu.Unlock()
		p.api.Close()
		return false
	}
	if h.candidate != nil && h.candidate.Incarnation() == c.Incarnation() {
		// A newer report may have arrived in the meantime.
		c = *h.candidate
		h.candidate = nil
	}
	now := uptime.Now()
	p.lastReport = c.Seq
	p.readAt = now
	p.clock = clockSample{listing.Clock, h.monotonic()}
	old := h.process
	h.process = p
	if ended {
		h.table.SetExpiring(false)
	}
	reports := h.table.Adopt(now, runs.Process{Incarnation: c.Incarnation(), Service: c.Service, Address: c.Address, Token: token}, listedRuns(listing)...)
	if h.table.HasRuns() {
		// Their starts were valid up to times of the older process's clock, so that this
		// process may have granted its longest lease.
		p.leasedUntil = h.monotonic() + h.longestLease()
	}
	if c.Seq > 0 {
		h.table.SetCapacity(c.Capacity, c.Labels, c.Draining)
		h.table.SetColdUntil(now + c.ColdLeft)
	}
	reports = append(reports, h.table.ApplyListing(now, p.requestedAt, listing)...)
	h.recordReachability(nil)
	h.mu.Unlock()
	if old != nil {
		old.api.Close()
	}
	runnerAdopted.Log(h.ctx, h.logger, slog.String("runner", c.Instance), slog.Int64("born_ms", c.StartedMilli), slog.String("service", c.Service),
		slog.Int64("token", token), slog.Int64("cpu_milli", c.Capacity.CPUMilli), slog.Int("left_running", len(listing.Running)))
	notify(h.poll)
	notify(h.sweep)
	h.deliver(reports)
	return true
}

// listedRuns returns the names of all runs in a run listing, running or ended.
func listedRuns(v work.Listing) []work.RunnerRunID {
	names := append([]work.RunnerRunID(nil), v.Running...)
	for _, e := range v.Ends {
		names = append(names, e.Run)
	}
	return names
}

// firstPoll requests a process's run listing without extending its lease or acknowledging any
// ended run.
func (h *Host) firstPoll(api Runner) (work.Listing, error) {
	ctx, cancel := context.WithTimeout(h.ctx, startTimeout)
	defer cancel()
	return api.Poll(ctx, 0, 0, 0)
}

// monotonic returns the clock by which leases are measured: like the runner's clock, it stops
// while the host is suspended.
func (h *Host) monotonic() time.Duration { return time.Since(h.startedAt) }
