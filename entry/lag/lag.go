// Package lag measures how late an entry runs: it tells a host that is short of
// processor time from a slow network and from guards that are slow.
package lag

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/telemetry"
)

const (
	// probeInterval paces the timer whose lateness is measured: ten readings a line.
	probeInterval = 100 * time.Millisecond
	// reportInterval paces the line and the gauges.
	reportInterval = time.Second
)

// peak is the largest span since it was last taken, nanoseconds.
type peak struct{ v atomic.Int64 }

func (p *peak) note(d time.Duration) {
	for {
		old := p.v.Load()
		if int64(d) <= old || p.v.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

func (p *peak) take() time.Duration { return time.Duration(p.v.Swap(0)) }

// Meter collects the readings of one process. It is safe for concurrent use.
type Meter struct {
	logger *slog.Logger
	gauges gauges

	timer, message, order peak
	read, sent            atomic.Int64
	starts, stale         atomic.Int64
}

type gauges struct {
	timer, message, order, cpu tally.Gauge
	read, sent                 tally.Counter
}

// New returns a meter that reports to the scope and the log once it runs.
func New(scope tally.Scope, logger *slog.Logger) *Meter {
	return &Meter{logger: logger, gauges: gauges{
		timer:   scope.Gauge("timer_late_seconds"),
		message: scope.Gauge("guard_message_age_seconds"),
		order:   scope.Gauge("order_delay_seconds"),
		cpu:     scope.Gauge("cpu_cores"),
		read:    scope.Counter("guard_messages_read_total"),
		sent:    scope.Counter("guard_messages_sent_total"),
	}}
}

// Read counts a guard's message that was taken in. age is the time for which it lay
// unread, and on the way beyond the least that messages of its session take.
func (m *Meter) Read(age time.Duration) {
	m.message.note(age)
	m.read.Add(1)
}

// Sent counts a message to a guard. starts are the starts ordered in it, delay is the
// time since the oldest of them was decided on.
func (m *Meter) Sent(starts int, delay time.Duration) {
	m.sent.Add(1)
	m.starts.Add(int64(starts))
	if starts > 0 {
		m.order.note(delay)
	}
}

// Stale counts a start that its guard rejected, as the order came late or for another
// reason that says nothing of the runner.
func (m *Meter) Stale() { m.stale.Add(1) }

// Run measures until the context ends.
func (m *Meter) Run(ctx context.Context) error {
	tick := time.NewTimer(probeInterval)
	defer tick.Stop()
	due := time.Now().Add(probeInterval)
	reported, cpu := time.Now(), telemetry.ReadUsage().CPU
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		m.timer.note(now.Sub(due))
		if span := now.Sub(reported); span >= reportInterval {
			used := telemetry.ReadUsage().CPU
			m.report(ctx, span, used-cpu)
			reported, cpu = now, used
		}
		due = time.Now().Add(probeInterval)
		tick.Reset(probeInterval)
	}
}

// report writes what was measured in a span in which so much processor time was used.
func (m *Meter) report(ctx context.Context, span, cpu time.Duration) {
	timer, message, order := m.timer.take(), m.message.take(), m.order.take()
	read, sent := m.read.Swap(0), m.sent.Swap(0)
	m.gauges.timer.Update(timer.Seconds())
	m.gauges.message.Update(message.Seconds())
	m.gauges.order.Update(order.Seconds())
	m.gauges.cpu.Update(cpu.Seconds() / span.Seconds())
	m.gauges.read.Inc(read)
	m.gauges.sent.Inc(sent)
	measured.Log(ctx, m.logger,
		slog.Int64("span_ms", span.Milliseconds()),
		slog.Int64("timer_late_ms", timer.Milliseconds()),
		slog.Int64("message_age_ms", message.Milliseconds()),
		slog.Int64("order_delay_ms", order.Milliseconds()),
		slog.Int64("cpu_ms", cpu.Milliseconds()),
		slog.Int64("messages_read", read),
		slog.Int64("messages_sent", sent),
		slog.Int64("starts", m.starts.Swap(0)),
		slog.Int64("starts_not_taken", m.stale.Swap(0)))
}
