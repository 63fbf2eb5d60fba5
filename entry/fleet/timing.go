package fleet

import (
	"time"

	"almondstand.dev/entry/fleet/attach"
)

// DefaultPingBytes is the default bandwidth budget for the pings of all idle sessions,
// in bytes per second.
const DefaultPingBytes = 1024

const defaultMaxMessage = 64 << 20

// Timing holds the timeouts and intervals of a Fleet. Zero values select defaults.
type Timing struct {
	// Quiet is how long a session with open starts may go without a reply before it is
	// pinged, and PingTimeout is how long the ping may take. Their sum is the time
	// within which an unresponsive connection is detected.
	Quiet       time.Duration
	PingTimeout time.Duration
	// IdlePing is the shortest interval between pings of an idle session. The interval
	// grows with the number of guards, up to a third of the session's lease.
	IdlePing time.Duration
	// PingBytesPerSecond is the bandwidth budget for the pings of all idle sessions. If
	// it does not suffice for all of them, idle sessions are allowed to lapse.
	PingBytesPerSecond int
	// Unannounced is the time without announcements after which a guard without a
	// session is sent a Hello to check whether it is alive. It spans several of the
	// longest intervals between announcements.
	Unannounced time.Duration
	// Lost is how long a guard may be unresponsive before it is removed.
	Lost time.Duration
	// Patience is how long to wait for the reply to a Start before asking the guard for
	// the state of the task.
	Patience time.Duration
	// ResolveWait is how long a guard may delay its response to one such query.
	ResolveWait time.Duration
	// CallTimeout bounds a call that the guard answers immediately.
	CallTimeout time.Duration
	// RefusedFor is how long a guard's address may refuse connections before its open
	// starts are reported as lost: the process that held the ledger is dead.
	RefusedFor time.Duration
	// CancelFor bounds the attempts to cancel a task.
	CancelFor time.Duration
	// Margin is the part of a task's budget that is reserved to cancel it before its
	// deadline.
	Margin time.Duration
	// BackoffMin and BackoffMax bound the delay between attempts.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// Sweep is the interval between checks for expired bare endpoints.
	Sweep time.Duration
	// Divide is the interval at which the bare endpoints' slots are reallocated.
	Divide time.Duration
}

func (t Timing) withDefaults() Timing {
	t.Quiet = orDuration(t.Quiet, 750*time.Millisecond)
	t.PingTimeout = orDuration(t.PingTimeout, 750*time.Millisecond)
	t.IdlePing = orDuration(t.IdlePing, 2*time.Second)
	if t.PingBytesPerSecond == 0 {
		t.PingBytesPerSecond = DefaultPingBytes
	}
	t.Unannounced = orDuration(t.Unannounced, 3*attach.DefaultPace.Longest)
	t.Lost = orDuration(t.Lost, 4*time.Second)
	t.Patience = orDuration(t.Patience, 10*time.Second)
	t.ResolveWait = orDuration(t.ResolveWait, 5*time.Second)
	t.CallTimeout = orDuration(t.CallTimeout, time.Second)
	t.RefusedFor = orDuration(t.RefusedFor, time.Second)
	t.CancelFor = orDuration(t.CancelFor, 2*time.Second)
	t.Margin = orDuration(t.Margin, 100*time.Millisecond)
	t.BackoffMin = orDuration(t.BackoffMin, 50*time.Millisecond)
	t.BackoffMax = orDuration(t.BackoffMax, time.Second)
	t.Sweep = orDuration(t.Sweep, 500*time.Millisecond)
	t.Divide = orDuration(t.Divide, 20*time.Millisecond)
	return t
}

func orDuration(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// clockBase is the origin of monotonic readings, which makes them fit an atomic
// integer.
var clockBase = time.Now()

// monotonic returns the time since the process started.
func monotonic() time.Duration { return time.Since(clockBase) }

// backoff is an exponential backoff with jitter.
type backoff struct {
	next, max time.Duration
	rand      func() float64
}

func (f *Fleet) newBackoff() backoff {
	return backoff{next: f.opts.Timing.BackoffMin, max: f.opts.Timing.BackoffMax, rand: f.opts.Rand}
}

// nextDelay returns the next delay: between half and all of the current step.
func (b *backoff) nextDelay() time.Duration {
	step := b.next
	b.next = min(2*b.next, b.max)
	return step/2 + time.Duration(b.rand()*float64(step/2))
}
