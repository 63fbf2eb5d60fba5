package peer

import (
	"sync"
	"sync/atomic"
	"time"
)

// Early rounds are limited, because each costs as much as a regular round, one of which
// runs every second: a burst of earlyBurst, one per earlyRefill in the long run, and at
// least earlyMinGap between any two. Constantly changing demand
// therefore causes at most half as many rounds again.
const (
	earlyBurst  = 5
	earlyRefill = 2 * time.Second
	earlyMinGap = 100 * time.Millisecond
)

// earlyRounds starts the next gossip round before its regular time.
type earlyRounds struct {
	// wake holds the request for an early round.
	wake chan struct{}
	// urgent: the next round goes to all peers.
	urgent *atomic.Bool

	limiter *earlyLimiter
}

type earlyLimiter struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newEarlyRounds() earlyRounds {
	return earlyRounds{wake: make(chan struct{}, 1), urgent: &atomic.Bool{}, limiter: &earlyLimiter{tokens: earlyBurst}}
}

// RequestRound requests a gossip round before the next regular one, because what this entry
// last sent to its peers is out of date. It never blocks. An urgent round goes to all
// peers; another one may be dropped if there were many.
func (p *Peers) RequestRound(urgent bool) {
	if urgent {
		p.early.urgent.Store(true)
	}
	select {
	case p.early.wake <- struct{}{}:
	default:
	}
}

func (e earlyRounds) takeUrgent() bool { return e.urgent.Swap(false) }

// reserve returns how long to wait until the requested early round may run, and counts
// the round when it may run at once. drop is true for a round that is left out, since
// the next regular round carries the same data. An urgent round is never dropped: an
// endpoint that is leaving would be given new work meanwhile.
func (e earlyRounds) reserve(now time.Time) (wait time.Duration, drop bool) {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	since := time.Duration(earlyMinGap)
	if !l.last.IsZero() {
		since = now.Sub(l.last)
	}
	urgent := e.urgent.Load()
	if since < earlyMinGap {
		return earlyMinGap - since, !urgent
	}
	tokens := min(earlyBurst, l.tokens+since.Seconds()/earlyRefill.Seconds())
	if tokens < 1 && !urgent {
		return 0, true
	}
	l.tokens = max(0, tokens-1)
	l.last = now
	return 0, false
}
