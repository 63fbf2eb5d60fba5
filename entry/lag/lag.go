// Package lag measures how late an entry runs. Its readings distinguish a host that is short of
// processor time from a slow network and from slow guards.
package lag

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/telemetry"
	"almondstand.dev/telemetry/uptime"
)

const (
	// probeInterval is the period of the timer whose lateness is measured: ten samples per report.
	probeInterval = 100 * time.Millisecond
	// reportInterval is the period of the log line and of gauge updates.
	reportInterval = time.Second
)

// maxDuration holds the largest duration observed since the last reset, in nanoseconds.
type maxDuration struct{ v atomic.Int64 }

func (p *maxDuration) observe(d time.Duration) {
	for {
		old := p.v.Load()
		if int64(d) <= old || p.v.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

func (p *maxDuration) reset() time.Duration { return time.Duration(p.v.Swap(0)) }

// Meter collects the lag samples of one process. It is safe for concurrent use.
type Meter struct {
	logger *slog.Logger
	gauges gauges

	timerLateness, messageAge, orderDelay maxDuration
	read, sent                            atomic.Int64
	starts, rejected                      atomic.Int64

	mu     sync.Mutex
	delays Delays
	usage  Usage
	// cores is the number of cores of the host; zero if it is not known.
	cores float64
}

type gauges struct {
	timerLateness, messageAge, orderDelay, cpu tally.Gauge
	read, sent                                 tally.Counter
}

// New returns a meter. Once Run is called it reports to scope and logger. cores is the number of the
// host's cores that the process may use; zero if it is not known.
func New(scope tally.Scope, logger *slog.Logger, cores float64) *Meter {
	return &Meter{logger: logger, cores: cores, gauges: gauges{
		timerLateness: scope.Gauge("timer_late_seconds"),
		messageAge:    scope.Gauge("guard_message_age_seconds"),
		orderDelay:    scope.Gauge("order_delay_seconds"),
		cpu:           scope.Gauge("cpu_cores"),
		read:          scope.Counter("guard_messages_read_total"),
		sent:          scope.Counter("guard_messages_sent_total"),
	}}
}

// ObserveMessage counts a message from a guard that was processed. age is how long it was in
// transit or waited unread, beyond the smallest such delay of its session.
func (m *Meter) ObserveMessage(age time.Duration) {
	m.messageAge.observe(age)
	m.read.Add(1)
	m.observe(age)
}

// ObserveRequest counts a caller's request that was read. age is how long it waited unread in the kernel.
func (m *Meter) ObserveRequest(age time.Duration) { m.observe(age) }

// observe adds a delay to the recent ones.
func (m *Meter) observe(delay time.Duration) {
	now := uptime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delays.Observe(now, delay)
}

// Recent returns the mean time by which the entry has lately handled events late: requests and messages
// that waited unread, orders sent late and timers that fired late.
func (m *Meter) Recent() time.Duration {
	now := uptime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delays.Mean(now)
}

// SpareMilli returns the processor time that the entry did not use lately, in thousandths of a core; zero
// if the number of cores is not known.
func (m *Meter) SpareMilli() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage.SpareMilli(m.cores)
}

// UsedPermille returns the share of its processor time that the entry used lately, in thousandths; zero
// if the number of cores is not known.
func (m *Meter) UsedPermille() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage.UsedPermille(m.cores)
}

// sampleUsage records the processor time that the process has used.
func (m *Meter) sampleUsage(cpu time.Duration) {
	now := uptime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Observe(now, cpu)
}

// ObserveSend counts a message to a guard. starts is the number of start orders in it, delay the time
// since the planner decided on the oldest of them.
func (m *Meter) ObserveSend(starts int, delay time.Duration) {
	m.sent.Add(1)
	m.starts.Add(int64(starts))
	if starts > 0 {
		m.orderDelay.observe(delay)
		m.observe(delay)
	}
}

// CountRejectedStart counts a start that its guard rejected because the order was late, or for
// another reason unrelated to the runner, or that was too late to be sent.
func (m *Meter) CountRejectedStart() { m.rejected.Add(1) }

// Run takes samples and reports them until the context ends.
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
		m.timerLateness.observe(now.Sub(due))
		m.observe(now.Sub(due))
		used := telemetry.ReadUsage().CPU
		m.sampleUsage(used)
		if span := now.Sub(reported); span >= reportInterval {
			m.report(ctx, span, used-cpu)
			reported, cpu = now, used
		}
		due = time.Now().Add(probeInterval)
		tick.Reset(probeInterval)
	}
}

// report publishes the samples of the last span, in which the process used the given processor
// time, and resets them.
func (m *Meter) report(ctx context.Context, span, cpu time.Duration) {
	timerLateness, messageAge, orderDelay := m.timerLateness.reset(), m.messageAge.reset(), m.orderDelay.reset()
	read, sent := m.read.Swap(0), m.sent.Swap(0)
	m.gauges.timerLateness.Update(timerLateness.Seconds())
	m.gauges.messageAge.Update(messageAge.Seconds())
	m.gauges.orderDelay.Update(orderDelay.Seconds())
	m.gauges.cpu.Update(cpu.Seconds() / span.Seconds())
	m.gauges.read.Inc(read)
	m.gauges.sent.Inc(sent)
	lagReport.Log(ctx, m.logger,
		slog.Int64("span_ms", span.Milliseconds()),
		slog.Int64("timer_late_ms", timerLateness.Milliseconds()),
		slog.Int64("message_age_ms", messageAge.Milliseconds()),
		slog.Int64("order_delay_ms", orderDelay.Milliseconds()),
		slog.Int64("cpu_ms", cpu.Milliseconds()),
		slog.Int64("messages_read", read),
		slog.Int64("messages_sent", sent),
		slog.Int64("starts", m.starts.Swap(0)),
		slog.Int64("starts_not_taken", m.rejected.Swap(0)))
}
