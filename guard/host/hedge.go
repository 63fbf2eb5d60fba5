package host

import "time"

const (
	// maxHedgeDelay bounds the time after which an order without an answer is sent again.
	maxHedgeDelay = 75 * time.Millisecond
	// hedgeDecay is the part of what was added to that time that an answered order takes back.
	hedgeDecay = 32
)

// hedge is the time after which an order to a process is sent again. It grows with each order
// that was sent again though the first was answered: the process, or this host, is late then. Lost
// orders leave it as it is.
type hedge struct {
	// added to hedgeStartAfter.
	added time.Duration
}

func (h *hedge) delay() time.Duration { return hedgeStartAfter + h.added }

// answered takes note of an answered order, and of whether it was sent again in vain.
func (h *hedge) answered(inVain bool) {
	if inVain {
		h.added = min(h.added+h.delay()/2, maxHedgeDelay-hedgeStartAfter)
		return
	}
	h.added -= h.added / hedgeDecay
}
