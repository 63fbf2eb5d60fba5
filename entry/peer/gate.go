package peer

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"almondstand.dev/entry/member"
)

// Retry delays returned to callers whose requests are rejected because this entry is not
// serving.
const (
	retryStarting = 500 * time.Millisecond
	retryIsolated = time.Second
)

// servingState holds the last result of MayServe, so that only changes are logged.
type servingState struct{ last atomic.Bool }

// MayServe reports whether this entry may accept new work, and if not, after which delay
// the caller should retry. It may not:
//   - before it has received the contracts from the store or from a peer;
//   - before it has a share of the limits, or knows an entry that has one to lease;
//   - before it has contacted the guards that its peers know, for a short bounded
//     time;
//   - after a pause in which its registration lease expired, until it has registered
//     again or has found the store unreachable: the other entries may consider it
//     gone;
//   - when neither the store nor any peer has answered for a few seconds although
//     there are peers: it may be the only entry that missed a change.
func (p *Peers) MayServe(now time.Time) (ok bool, retryAfter time.Duration) {
	reason, retryAfter := p.checkServing(now)
	ok = reason == ""
	if p.serving.last.Load() != ok && p.serving.last.Swap(ok) != ok {
		p.logServing(reason, now)
	}
	return ok, retryAfter
}

// checkServing returns why this entry may not accept new work; the reason is empty if it may.
func (p *Peers) checkServing(now time.Time) (reason string, retryAfter time.Duration) {
	switch {
	case !p.hasContracts():
		return "no contracts", retryStarting
	case p.withoutShare.Load():
		return "no share", retryStarting
	case !p.opts.Lease.MayAdmit(now):
		return "registration lease expired", retryStarting
	case p.isolated(now):
		return "isolated", retryIsolated
	case p.leaving.Load():
		return "leaving", retryIsolated
	case !p.guardsContacted(now):
		return "guards not contacted", retryStarting
	}
	return "", 0
}

// isolated uses the contact time at which the current share was determined: after a
// pause, the first contact must not allow new work before this entry has given up a
// share that the others may have taken over. Both clocks are checked, since the
// monotonic clock stops while a machine is suspended.
func (p *Peers) isolated(now time.Time) bool {
	if p.contactAge(now) <= p.opts.Isolation {
		return false
	}
	return len(p.opts.Members.Peers()) > 0
}

func (p *Peers) contactAge(now time.Time) time.Duration {
	return member.Elapsed(*p.shareContact.Load(), now)
}

func (p *Peers) logServing(reason string, now time.Time) {
	if reason == "" {
		eventServing.Log(context.Background(), p.opts.Logger)
		return
	}
	eventNotServing.Log(context.Background(), p.opts.Logger,
		slog.String("reason", reason), slog.Int64("contact_age_ms", p.contactAge(now).Milliseconds()))
}
