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

// Heard takes a runner's report about itself. It returns false for one that can't be taken.
func (h *Host) Heard(r runner.Report) bool {
	h.mu.Lock()
	if p := h.process; p != nil && p.ID == r.Instance {
		if p.Born > 0 && r.Born == 0 {
			h.mu.Unlock()
			h.Malformed(r.Instance, errNoStart)
			return false
		}
		if p.Incarnation == r.Incarnation() {
			if r.Seq > p.heard {
				p.heard = r.Seq
				h.table.Serves(r.Service)
				h.table.Describe(r.Capacity, r.Labels, r.Draining)
				p.read(r.Clock, h.steady())
			}
			h.mu.Unlock()
			h.sink.CapacityChanged()
			return true
		}
	}
	h.propose(r)
	h.mu.Unlock()
	return true
}

// errNoStart means a report that doesn't say when its process was started, of a runner that did.
var errNoStart = errors.New("host: report names no start time")

// propose has a process confirmed that is not known to be the runner's present one. The lock
// is held.
func (h *Host) propose(r runner.Report) {
	if c := h.candidate; c == nil || c.Instance != r.Instance || r.Born > c.Born || r.Born == c.Born && r.Seq > c.Seq {
		h.candidate = &r
	}
	if !h.adopting {
		h.adopting = true
		h.calls.Go(h.adopt)
	}
}

// restarted proposes the process that answered in the place of the present one, under its id. What
// it has is known from its first report. The lock is held.
func (h *Host) restarted(answer work.Account) {
	old := h.table.Process()
	h.propose(runner.Report{
		Instance: old.ID,
		Born:     answer.Born,
		Service:  old.Service,
		Address:  old.Address,
		Clock:    answer.Clock,
	})
}

// Left takes note that a runner has ended as planned.
func (h *Host) Left(instance string) bool {
	h.mu.Lock()
	p := h.process
	known := p != nil && p.ID == instance
	if c := h.candidate; c != nil && c.Instance == instance && c.Born == 0 {
		h.candidate = nil
	}
	if known && p.Born > 0 {
		// It may be said of an older process.
		h.calls.Go(func() { h.confirmLeft(p) })
	}
	h.mu.Unlock()
	if known && p.Born == 0 {
		h.gone(p)
	}
	return true
}

// confirmLeft ends the runs of a process once nothing listens at its address any more.
func (h *Host) confirmLeft(p *process) {
	for range adoptTries {
		_, err := h.firstPoll(p.api)
		if errors.Is(err, runner.ErrNobody) {
			h.gone(p)
			return
		}
		if errors.Is(err, runner.ErrReplaced) || h.ctx.Err() != nil {
			return
		}
		uptime.Sleep(h.ctx, adoptPause)
	}
}

// gone takes note that a process has ended as planned.
func (h *Host) gone(p *process) {
	h.mu.Lock()
	if h.process != p {
		h.mu.Unlock()
		return
	}
	reports := h.table.Lose(uptime.Now())
	h.process = nil
	h.mu.Unlock()
	runnerLeft.Log(h.ctx, h.logger, slog.String("runner", p.String()))
	h.deliver(reports)
}

// adopt asks a process that has announced itself whether it is there. A report
// that was held up may come from one that is over, after its successor's:
// only an answer to an order meant for it shows which one lives.
func (h *Host) adopt() {
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
			uptime.Sleep(h.ctx, adoptPause)
		}
	}
	h.mu.Lock()
	h.adopting = false
	h.mu.Unlock()
}

// confirm returns true when the candidate is adopted or known to be over.
func (h *Host) confirm(c runner.Report) bool {
	if err := h.probe(c); err != nil {
		return h.unconfirmed(c, err)
	}
	token := h.spend(c)
	target := runner.Target{Address: c.Address, Incarnation: c.Incarnation(), Token: token}
	api := h.opt.Dial(target)
	asked := uptime.Now()
	account, err := h.firstPoll(api)
	if errors.Is(err, runner.ErrFenced) && account.Clock > 0 {
		// The report is older than an order of an earlier guard.
		api.Close()
		c.Clock = account.Clock + time.Millisecond
		target.Token = h.spend(c)
		api = h.opt.Dial(target)
		asked = uptime.Now()
		account, err = h.firstPoll(api)
	}
	if err != nil {
		api.Close()
		return h.unconfirmed(c, err)
	}
	h.adopted(c, &process{
		Incarnation: c.Incarnation(),
		api:         api,
		polledAt:    asked,
		accountAt:   account.Clock,
	}, target.Token, account)
	return true
}

// probe asks whether a process is there that announced itself under the id of the present one, or
// of the one before. It uses the token that they know: where the report is an older process's, a
// higher one would fence this guard's own orders off.
func (h *Host) probe(c runner.Report) error {
	h.mu.Lock()
	f := h.fence
	h.mu.Unlock()
	if f.id != c.Instance || c.Born == 0 {
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

// spend returns the token for a candidate, and keeps it.
func (h *Host) spend(c runner.Report) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence = fence{c.Instance, h.fence.next(c.Incarnation(), c.Clock)}
	return h.fence.token
}

// unconfirmed drops a candidate that is known to be over.
func (h *Host) unconfirmed(c runner.Report, err error) bool {
	confirmFailed.Log(h.ctx, h.logger, slog.String("runner", c.Incarnation().String()), slog.String("error", err.Error()))
	over := errors.Is(err, runner.ErrReplaced)
	h.mu.Lock()
	defer h.mu.Unlock()
	if over && h.candidate != nil && h.candidate.Incarnation() == c.Incarnation() {
		h.candidate = nil
	}
	return over
}

// adopted makes a confirmed process the runner's present one.
func (h *Host) adopted(c runner.Report, p *process, token int64, account work.Account) {
	h.mu.Lock()
	if h.candidate != nil && h.candidate.Incarnation() == c.Incarnation() {
		// A newer report may have come meanwhile.
		c = *h.candidate
		h.candidate = nil
	}
	now := uptime.Now()
	p.heard = c.Seq
	p.readAt = now
	p.clock = sample{account.Clock, h.steady()}
	old := h.process
	h.process = p
	reports := h.table.Adopt(now, runs.Process{Incarnation: c.Incarnation(), Service: c.Service, Address: c.Address, Token: token}, listed(account)...)
	if c.Seq > 0 {
		h.table.Describe(c.Capacity, c.Labels, c.Draining)
	}
	reports = append(reports, h.table.Read(now, p.polledAt, account)...)
	h.mu.Unlock()
	if old != nil {
		old.api.Close()
	}
	runnerAdopted.Log(h.ctx, h.logger, slog.String("runner", c.Instance), slog.Int64("born_ms", c.Born), slog.String("service", c.Service),
		slog.Int64("token", token), slog.Int64("cpu_milli", c.Capacity.CPUMilli), slog.Int("left_running", len(account.Running)))
	signal(h.poll)
	signal(h.sweep)
	h.deliver(reports)
}

// listed names the runs that an account lists, running or ended.
func listed(v work.Account) []work.RunName {
	names := append([]work.RunName(nil), v.Running...)
	for _, e := range v.Ends {
		names = append(names, e.Run)
	}
	return names
}

// firstPoll reads a process's account and acknowledges nothing.
func (h *Host) firstPoll(api Runner) (work.Account, error) {
	ctx, cancel := context.WithTimeout(h.ctx, startTimeout)
	defer cancel()
	return api.Poll(ctx, 0, 0, 0)
}

// steady is the clock by which leases are measured: like the runner's, it
// stands still while the host is suspended.
func (h *Host) steady() time.Duration { return time.Since(h.began) }
