package peer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"almondstand.dev/entry/quota"
)

const (
	// recheckLimit bounds how long new work waits for the result of a recheck, not counting the
	// time in which this process did not run.
	recheckLimit = 150 * time.Millisecond
	// recheckPoll is how often the result is polled meanwhile.
	recheckPoll = 2 * time.Millisecond
)

// recheck is one immediate gossip round, for which all new work waits.
type recheck struct {
	mu sync.Mutex
	// done is closed when the last recheck is over; nil before the first.
	done chan struct{}
	// startedAt is when the last recheck started.
	startedAt time.Time
}

// AwaitServing is MayServe for new work that may wait briefly. An entry that was suspended
// has received nothing for that time; whether it is isolated is known after one gossip
// round.
func (p *Peers) AwaitServing(ctx context.Context) (ok bool, retryAfter time.Duration) {
	now := p.opts.Now()
	// An answer may arrive at any moment, so the result counts that is determined last.
	if !p.contactUncertain(now) {
		return p.MayServe(now)
	}
	if done, first := p.recheck.joinOrStart(now, p.opts.Interval); done != nil {
		if first {
			p.RequestRound(true)
			go p.finishRecheck(done)
		}
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return p.MayServe(p.opts.Now())
}

// contactUncertain reports whether this entry is isolated or its share suspended,
// according to the calls answered so far.
func (p *Peers) contactUncertain(now time.Time) bool {
	return p.hasContracts() && !p.leaving.Load() && (p.isolated(now) || p.suspended.Load())
}

// joinOrStart returns the recheck in progress, or starts one; nil when the last one is
// too recent to be repeated.
func (r *recheck) joinOrStart(now time.Time, interval time.Duration) (done chan struct{}, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done != nil {
		select {
		case <-r.done:
		default:
			return r.done, false
		}
		if now.Sub(r.startedAt) < interval {
			return nil, false
		}
	}
	r.done, r.startedAt = make(chan struct{}), now
	return r.done, true
}

// finishRecheck ends the recheck once this entry is neither isolated nor its share
// suspended, or after the time limit. If this process is suspended during the recheck, the
// answers of the peers wait unread, so that time does not count.
func (p *Peers) finishRecheck(done chan struct{}) {
	defer close(done)
	startedAt, stalledBefore := time.Now(), p.opts.StalledTime()
	stalled := func() time.Duration { return p.opts.StalledTime() - stalledBefore }
	uncertain := p.contactUncertain(p.opts.Now())
	for uncertain && time.Since(startedAt)-stalled() < recheckLimit {
		time.Sleep(recheckPoll)
		uncertain = p.contactUncertain(p.opts.Now())
	}
	p.logRecheck(time.Since(startedAt), stalled(), uncertain)
}

func (p *Peers) logRecheck(took, stalled time.Duration, uncertain bool) {
	now := p.opts.Now()
	attrs := []slog.Attr{
		slog.Int64("took_ms", took.Milliseconds()), slog.Int64("stalled_ms", stalled.Milliseconds()),
		slog.Bool("uncertain", uncertain), slog.Bool("suspended", p.suspended.Load()), slog.Int64("contact_age_ms", p.contactAge(now).Milliseconds()),
	}
	for _, peer := range p.opts.Members.Peers() {
		s := p.state(quota.PeerID{ID: peer.Info.ID, Incarnation: peer.Info.Incarnation})
		answered, inFlight := s.callAges(now)
		attrs = append(attrs, slog.Group(peer.Info.ID,
			slog.String("status", peer.Status.String()),
			slog.Int64("answered_ms", answered), slog.Int64("in_flight_ms", inFlight)))
	}
	eventRechecked.Log(context.Background(), p.opts.Logger, attrs...)
}
