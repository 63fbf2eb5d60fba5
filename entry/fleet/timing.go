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
	// PingAfter is how long a session with open starts may go without a reply before it is
	// pinged, and PingTimeout is how long the ping may take. Their sum is the time
	// within which an unresponsive connection is detected.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// MinIdlePingInterval is the shortest interval between pings of an idle session. The interval
	// grows with the number of guards, up to a third of the session's lease.
	MinIdlePingInterval time.Duration
	// PingBytesPerSecond is the bandwidth budget for the pings of all idle sessions. If
	// it does not suffice for all of them, idle sessions are allowed to lapse.
	PingBytesPerSecond int
	// AnnounceTimeout is the time without announcements after which a guard without a
	// session is sent a Hello to check whether it is alive. It spans several of the
	// longest intervals between announcements.
	AnnounceTimeout time.Duration
	// RemoveAfter is how long a guard may be unresponsive before it is removed.
	RemoveAfter time.Duration
	// ResolveAfter is how long to wait for the reply to a Start before asking the guard for
	// the state of the task.
	ResolveAfter time.Duration
	// ResolveWait is how long a guard may delay its response to one such query.
	ResolveWait time.Duration
	// CallTimeout bounds a call that the guard answers immediately.
	CallTimeout time.Duration
	// RefusedTimeout is how long a guard's address may refuse connections before its open
	// starts are reported as lost: the process that held the ledger is dead.
	RefusedTimeout time.Duration
	// CancelTimeout bounds the attempts to cancel a task.
	CancelTimeout time.Duration
	// CancelMargin is the part of a task's budget that is reserved to cancel it before its
	// deadline.
	CancelMargin time.Duration
	// BackoffMin and BackoffMax bound the delay between attempts.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// ExpiryInterval is the interval between checks for expired bare endpoints.
	ExpiryInterval time.Duration
	// RebalanceInterval is the interval at which the bare endpoints' slots are reallocated.
	RebalanceInterval time.Duration
}

func (t Timing) withDefaults() Timing {
	t.PingAfter = orDuration(t.PingAfter, 750*time.Millisecond)
	t.PingTimeout = orDuration(t.PingTimeout, 750*time.Millisecond)
	t.MinIdlePingInterval = orDuration(t.MinIdlePingInterval, 2*time.Second)
	if t.PingBytesPerSecond == 0 {
		t.PingBytesPerSecond = DefaultPingBytes
	}
	t.AnnounceTimeout = orDuration(t.AnnounceTimeout, 3*attach.DefaultIntervalPolicy.Max)
	t.RemoveAfter = orDuration(t.RemoveAfter, 4*time.Second)
	t.ResolveAfter = orDuration(t.ResolveAfter, 10*time.Second)
	t.ResolveWait = orDuration(t.ResolveWait, 5*time.Second)
	t.CallTimeout = orDuration(t.CallTimeout, time.Second)
	t.RefusedTimeout = orDuration(t.RefusedTimeout, time.Second)
	t.CancelTimeout = orDuration(t.CancelTimeout, 2*time.Second)
	t.CancelMargin = orDuration(t.CancelMargin, 100*time.Millisecond)
	t.BackoffMin = orDuration(t.BackoffMin, 50*time.Millisecond)
	t.BackoffMax = orDuration(t.BackoffMax, time.Second)
	t.ExpiryInterval = orDuration(t.ExpiryInterval, 500*time.Millisecond)
	t.RebalanceInterval = orDuration(t.RebalanceInterval, 20*time.Millisecond)
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
