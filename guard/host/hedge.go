package host

import "time"

const (
	// maxHedgeDelay bounds the time after which an unanswered call is hedged.
	maxHedgeDelay = 75 * time.Millisecond
	// hedgeDecay is the divisor by which each answered call reduces the added delay: it takes
	// back 1/32 of it.
	hedgeDecay = 32
)

// hedge computes the time after which an unanswered call to a process is hedged, that is, sent
// again. The delay grows with each call that was hedged although the earlier copy was
// answered, because the process or this host is then slow. Lost calls do not change it.
type hedge struct {
	// added is the delay on top of minHedgeDelay.
	added time.Duration
}

func (h *hedge) delay() time.Duration { return minHedgeDelay + h.added }

// record updates the delay after an answered call; needless is true if a hedge was sent
// although an earlier copy was answered.
func (h *hedge) record(needless bool) {
	if needless {
		h.added = min(h.added+h.delay()/2, maxHedgeDelay-minHedgeDelay)
		return
	}
	h.added -= h.added / hedgeDecay
}
