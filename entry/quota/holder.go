package quota

import (
	"context"
	"log/slog"
	"strconv"
	"time"
)

// DefaultIsolation is how long an entry goes on when it hears neither the store
// nor a peer.
const DefaultIsolation = 5 * time.Second

// coldSettle is how long an entry that hears no holder waits before it takes a
// share: holders that lost their registrations in an outage of the store register
// again within it.
const coldSettle = 1500 * time.Millisecond

// PeerID is one process of a peer.
type PeerID struct {
	ID          string
	Incarnation uint64
}

// String is the name under which loans and demands are kept: loans of an entry's
// former process are not those of the present one.
func (p PeerID) String() string { return p.ID + "#" + strconv.FormatUint(p.Incarnation, 10) }

// Confirmation is what a peer's reply says of this entry's share.
type Confirmation struct {
	// AskedAt is when the call began.
	AskedAt time.Time
	// Counted: the peer counts this entry among those that share the limits.
	Counted bool
	// CountedFor is for how long it has, without a break.
	CountedFor time.Duration
	// Unsettled names customers of whose limits the peer still holds more than its
	// share.
	Unsettled []string
	// Rooted: the peer knows every entry that may hold a share.
	Rooted bool
	// Holding: the peer holds a share itself.
	Holding bool
}

// Surroundings is what the Holder decides by.
type Surroundings struct {
	// Peers are the other entries that are not gone; Live marks those that answer.
	Peers []PeerID
	Live  map[PeerID]bool
	// Rooted: a list of the store showed this entry's present registration.
	Rooted bool
	// Alone: no peer can be found besides those in Peers.
	Alone bool
	// Contact is the beginning of the last call that the store or a peer answered.
	Contact time.Time
}

// Holder decides whether this entry may hold base shares. It takes one only when
// every entry that may hold one counts it, and when it counts them all:
//   - it knows them all once it is rooted: it has listed the store after it
//     registered, or has heard a peer that is rooted. Whoever joins later needs
//     the confirmation of an entry that knows this one, and so learns of it;
//   - each of them has confirmed, in a reply, that it counts this entry.
//
// So any two holders count each other, each share is at most one part in as many
// as there are holders, and the shares add up to no more than the whole. An entry
// that was cut off from everyone gives its share up before the others may find it
// gone, and takes it back only when those it hears never counted it out.
type Holder struct {
	isolation time.Duration
	logger    *slog.Logger

	rooted bool
	// rootedAt is when it became so.
	rootedAt  time.Time
	holding   bool
	suspended bool
	// lastContact is the contact before the isolation.
	lastContact time.Time
	settled     bool
	replies     map[PeerID]Confirmation
}

// NewHolder returns a holder of nothing.
func NewHolder(isolation time.Duration, logger *slog.Logger) *Holder {
	if isolation <= 0 {
		isolation = DefaultIsolation
	}
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	return &Holder{isolation: isolation, logger: logger, replies: map[PeerID]Confirmation{}}
}

// Confirm takes a peer's reply; an older one than that held is ignored.
func (h *Holder) Confirm(p PeerID, c Confirmation) {
	if old, known := h.replies[p]; known && !c.AskedAt.After(old.AskedAt) {
		return
	}
	h.replies[p] = c
	h.root(c.Rooted, c.AskedAt)
}

func (h *Holder) root(rooted bool, at time.Time) {
	if rooted && !h.rooted {
		h.rooted, h.rootedAt = true, at
	}
}

// Holding reports whether this entry holds a share and may use it.
func (h *Holder) Holding() bool { return h.holding && !h.suspended }

// Suspended reports whether this entry holds a share that it may not use until its peers
// have confirmed it anew.
func (h *Holder) Suspended() bool { return h.holding && h.suspended }

// Cold reports whether this entry has no share and knows of no entry that has one
// to lend.
func (h *Holder) Cold() bool { return !h.Holding() && !h.hearsHolder() }

func (h *Holder) hearsHolder() bool {
	for _, c := range h.replies {
		if c.Holding {
			return true
		}
	}
	return false
}

// Rooted reports whether this entry knows every entry that may hold a share.
func (h *Holder) Rooted() bool { return h.rooted }

// Joined reports whether nothing is left to confirm.
func (h *Holder) Joined() bool { return h.holding && h.settled && !h.suspended }

// Decide returns the share that this entry may use now.
func (h *Holder) Decide(now time.Time, s Surroundings) Share {
	h.root(s.Rooted, now)
	h.forget(s.Peers)
	h.watchIsolation(now, s)
	h.join(now, s)
	share := Share{Entries: 1 + len(s.Peers), Holding: h.Holding()}
	if share.Holding && !h.settled {
		share.Waiting = h.waiting(s.Peers)
		h.settled = len(share.Waiting) == 0
	}
	return share
}

func (h *Holder) forget(peers []PeerID) {
	present := make(map[PeerID]bool, len(peers))
	for _, p := range peers {
		present[p] = true
	}
	for p := range h.replies {
		if !present[p] {
			delete(h.replies, p)
		}
	}
}

func (h *Holder) join(now time.Time, s Surroundings) {
	if h.holding || !h.rooted {
		return
	}
	if len(s.Peers) == 0 && !s.Alone {
		return
	}
	for _, p := range s.Peers {
		c := h.replies[p]
		if !c.Counted || now.Sub(c.AskedAt) > h.isolation {
			return
		}
	}
	if !h.hearsHolder() && now.Sub(h.rootedAt) < coldSettle {
		return
	}
	h.holding = true
	h.settled = false
}

func (h *Holder) waiting(peers []PeerID) map[string]bool {
	waiting := map[string]bool{}
	for _, p := range peers {
		for _, customer := range h.replies[p].Unsettled {
			waiting[customer] = true
		}
	}
	return waiting
}

// watchIsolation suspends the share of an entry that hears nobody, and judges the
// replies that come after.
func (h *Holder) watchIsolation(now time.Time, s Surroundings) {
	if !h.holding {
		return
	}
	isolated := len(s.Peers) > 0 && now.Sub(s.Contact) > h.isolation
	if isolated {
		h.suspend(s.Contact)
		return
	}
	if h.lastContact.IsZero() || !h.suspended && s.Contact.Sub(h.lastContact) <= h.isolation {
		h.lastContact = s.Contact
		return
	}
	// Either the share was suspended, or this entry was paused through the whole of
	// its isolation and only now looks again.
	h.suspend(h.lastContact)
	h.resume(now, s)
}

func (h *Holder) suspend(contact time.Time) {
	if h.suspended {
		return
	}
	h.suspended = true
	h.lastContact = contact
	eventSuspended.Log(context.Background(), h.logger)
}

// confirmedSince reports whether the peer has replied to a question that was asked since
// the last contact, and a short while ago: one that lay in a socket while this entry was
// paused does not count, as the peer may have counted it out since.
func (h *Holder) confirmedSince(now time.Time, p PeerID) bool {
	c, known := h.replies[p]
	return known && c.AskedAt.After(h.lastContact) && now.Sub(c.AskedAt) <= h.isolation
}

// resume waits for a reply of every peer that answers, begun after the last contact;
// where none does, for a list of the store: an entry that was alone may have been
// joined by others meanwhile.
func (h *Holder) resume(now time.Time, s Surroundings) {
	heard := 0
	for _, p := range s.Peers {
		fresh := h.confirmedSince(now, p)
		if !fresh && s.Live[p] {
			return
		}
		if !fresh {
			continue
		}
		heard++
		if c := h.replies[p]; !c.Counted || c.AskedAt.Add(-c.CountedFor).After(h.lastContact) {
			h.rejoin(now, s)
			return
		}
	}
	if heard == 0 && !s.Rooted {
		return
	}
	if heard == 0 && len(s.Peers) > 0 {
		h.rejoin(now, s)
		return
	}
	h.endIsolation(s)
}

func (h *Holder) rejoin(now time.Time, s Surroundings) {
	h.holding = false
	h.settled = false
	h.rooted = false
	h.root(s.Rooted, s.Contact)
	for p, c := range h.replies {
		if !h.confirmedSince(now, p) {
			delete(h.replies, p)
			continue
		}
		h.root(c.Rooted, c.AskedAt)
	}
	h.endIsolation(s)
	eventRejoining.Log(context.Background(), h.logger)
}

func (h *Holder) endIsolation(s Surroundings) {
	h.suspended = false
	h.lastContact = s.Contact
}
