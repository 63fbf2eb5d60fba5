package peer

import (
	"context"
	"sync"
	"time"

	"almondstand.dev/telemetry/uptime"
)

const (
	// recheckLimit bounds how long new work waits for the verdict of a recheck.
	recheckLimit = 150 * time.Millisecond
	// recheckPoll is how often the verdict is looked at meanwhile.
	recheckPoll = 2 * time.Millisecond
)

// recheck is one immediate round of exchanges, for which all new work waits.
type recheck struct {
	mu sync.Mutex
	// done is closed when the last one is over; nil before the first.
	done chan struct{}
	// began is when the last one began.
	began time.Time
}

// AwaitServe is MayServe for new work, which may wait a moment. An entry that was suspended
// has heard nobody for that time; whether it is isolated shows after one round of exchanges.
func (p *Peers) AwaitServe(ctx context.Context) (ok bool, retryAfter time.Duration) {
	now := p.opts.Now()
	ok, retryAfter = p.MayServe(now)
	if !p.uncertain(now) {
		return ok, retryAfter
	}
	done, first := p.recheck.join(now, p.opts.Interval)
	if done == nil {
		return ok, retryAfter
	}
	if first {
		p.Hasten(true)
		go p.finishRecheck(done)
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return p.MayServe(p.opts.Now())
}

// uncertain reports whether this entry is isolated or its share suspended, by what it has
// heard so far.
func (p *Peers) uncertain(now time.Time) bool {
	return p.ready() && !p.left.Load() && (p.isolated(now) || p.suspended.Load())
}

// join returns the recheck under way, or begins one; nil when the last one is too recent
// to be repeated.
func (r *recheck) join(now time.Time, interval time.Duration) (done chan struct{}, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done != nil {
		select {
		case <-r.done:
		default:
			return r.done, false
		}
		if now.Sub(r.began) < interval {
			return nil, false
		}
	}
	r.done, r.began = make(chan struct{}), now
	return r.done, true
}

// finishRecheck ends the recheck once the entry is certain again, or after its limit.
func (p *Peers) finishRecheck(done chan struct{}) {
	defer close(done)
	began := uptime.Now()
	for p.uncertain(p.opts.Now()) && uptime.Now()-began < recheckLimit {
		time.Sleep(recheckPoll)
	}
}
