package quota

import (
	"context"
	"log/slog"
	"strconv"
	"time"
)

// DefaultIsolation is how long an entry keeps using its share when it reaches neither the store
// nor a peer.
const DefaultIsolation = 5 * time.Second

// bootstrapDelay is how long an entry that finds no holder waits before it takes a share. Holders
// whose registrations expired during a store outage register again within this time.
const bootstrapDelay = 1500 * time.Millisecond

// PeerID identifies one process of a peer.
type PeerID struct {
	ID          string
	Incarnation uint64
}

// String returns the name under which leases and demands are stored. It includes the incarnation,
// because leases from an entry's former process are not those of its present one.
func (p PeerID) String() string { return p.ID + "#" + strconv.FormatUint(p.Incarnation, 10) }

// Confirmation is the part of a peer's reply that concerns this entry's share.
type Confirmation struct {
	// AskedAt is when the call began.
	AskedAt time.Time
	// Counted means that the peer counts this entry among those that share the limits.
	Counted bool
	// CountedFor is for how long the peer has counted this entry without interruption.
	CountedFor time.Duration
	// Unsettled names clients of whose limits the peer still holds more than its share.
	Unsettled []string
	// MembershipComplete means that the peer knows every entry that may hold a share.
	MembershipComplete bool
	// Holding means that the peer itself holds a share.
	Holding bool
}

// MembershipView is the membership information on which the Holder decides.
type MembershipView struct {
	// Peers are the other entries that are not gone; Live marks those that respond.
	Peers []PeerID
	Live  map[PeerID]bool
	// SelfListed means that a listing of the store contained this entry's present registration.
	SelfListed bool
	// NoOtherPeers means that no peer can be found besides those in Peers.
	NoOtherPeers bool
	// LastContact is the start of the last call that the store or a peer answered.
	LastContact time.Time
}

// Holder decides whether this entry may hold base shares. It takes a share only when every entry
// that may hold one counts it, and when it counts all of them:
//   - Its membership is complete once it has listed the store after its own registration, or has
//     received a reply from a peer whose membership is complete. An entry that joins later needs
//     the confirmation of an entry that knows this one, and so learns of it.
//   - Each of them has confirmed, in a reply, that it counts this entry.
//
// So any two holders count each other, each share is at most one part in as many as there are
// holders, and the shares add up to no more than the whole. An entry that is cut off from all
// others gives up its share before they may consider it gone, and takes it back only if none of
// the entries it reaches has stopped counting it.
type Holder struct {
	isolation time.Duration
	logger    *slog.Logger

	// membershipComplete is true once every entry that may hold a share is known.
	membershipComplete bool
	// membershipCompleteAt is when membershipComplete was set.
	membershipCompleteAt time.Time
	holding              bool
	suspended            bool
	joins                int
	// lastContact is the last contact before an isolation.
	lastContact  time.Time
	peersSettled bool
	replies      map[PeerID]Confirmation
}

// NewHolder returns a Holder without a share.
func NewHolder(isolation time.Duration, logger *slog.Logger) *Holder {
	if isolation <= 0 {
		isolation = DefaultIsolation
	}
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	return &Holder{isolation: isolation, logger: logger, replies: map[PeerID]Confirmation{}}
}

// Confirm stores a peer's reply, unless a newer one is stored already.
func (h *Holder) Confirm(p PeerID, c Confirmation) {
	if old, known := h.replies[p]; known && !c.AskedAt.After(old.AskedAt) {
		return
	}
	h.replies[p] = c
	h.markMembershipComplete(c.MembershipComplete, c.AskedAt)
}

func (h *Holder) markMembershipComplete(complete bool, at time.Time) {
	if complete && !h.membershipComplete {
		h.membershipComplete, h.membershipCompleteAt = true, at
	}
}

// Holding reports whether this entry holds a share and may use it.
func (h *Holder) Holding() bool { return h.holding && !h.suspended }

// Suspended reports whether this entry holds a share that it may not use until its peers confirm
// it again.
func (h *Holder) Suspended() bool { return h.holding && h.suspended }

// LacksHolder reports whether this entry has no usable share and knows no holder that could grant
// it a lease.
func (h *Holder) LacksHolder() bool { return !h.Holding() && !h.peerHoldsShare() }

func (h *Holder) peerHoldsShare() bool {
	for _, c := range h.replies {
		if c.Holding {
			return true
		}
	}
	return false
}

// MembershipComplete reports whether this entry knows every entry that may hold a share.
func (h *Holder) MembershipComplete() bool { return h.membershipComplete }

// Joined reports whether this entry holds its share and no confirmation is outstanding.
func (h *Holder) Joined() bool { return h.holding && h.peersSettled && !h.suspended }

// Decide returns the share that this entry may use now.
func (h *Holder) Decide(now time.Time, s MembershipView) Share {
	h.markMembershipComplete(s.SelfListed, now)
	h.removeStaleReplies(s.Peers)
	h.checkIsolation(now, s)
	h.join(now, s)
	share := Share{Entries: 1 + len(s.Peers), Holding: h.Holding(), Suspended: h.Suspended(), Joins: h.joins}
	if share.Holding && !h.peersSettled {
		share.PendingClients = h.waitingClients(s.Peers)
		h.peersSettled = len(share.PendingClients) == 0
	}
	return share
}

func (h *Holder) removeStaleReplies(peers []PeerID) {
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

func (h *Holder) join(now time.Time, s MembershipView) {
	if h.holding || !h.membershipComplete {
		return
	}
	if len(s.Peers) == 0 && !s.NoOtherPeers {
		return
	}
	for _, p := range s.Peers {
		c := h.replies[p]
		if !c.Counted || now.Sub(c.AskedAt) > h.isolation {
			return
		}
	}
	if !h.peerHoldsShare() && now.Sub(h.membershipCompleteAt) < bootstrapDelay {
		return
	}
	h.holding = true
	h.joins++
	h.peersSettled = false
}

func (h *Holder) waitingClients(peers []PeerID) map[string]bool {
	waitingClients := map[string]bool{}
	for _, p := range peers {
		for _, client := range h.replies[p].Unsettled {
			waitingClients[client] = true
		}
	}
	return waitingClients
}

// checkIsolation suspends the share of an entry that reaches nobody, and evaluates the replies
// after contact is restored.
func (h *Holder) checkIsolation(now time.Time, s MembershipView) {
	if !h.holding {
		return
	}
	isolated := len(s.Peers) > 0 && now.Sub(s.LastContact) > h.isolation
	if isolated {
		h.suspend(s.LastContact)
		return
	}
	if h.lastContact.IsZero() || !h.suspended && s.LastContact.Sub(h.lastContact) <= h.isolation {
		h.lastContact = s.LastContact
		return
	}
	// Either the share was suspended, or this process was paused for the whole isolation and
	// runs only now again.
	h.suspend(h.lastContact)
	h.resume(now, s)
}

func (h *Holder) suspend(contact time.Time) {
	if h.suspended {
		return
	}
	h.suspended = true
	h.lastContact = contact
	shareSuspended.Log(context.Background(), h.logger)
}

// confirmedSince reports whether the peer has replied to a recent request sent after the last
// contact. A reply that waited in a socket buffer while this entry was paused does not count,
// because the peer may have stopped counting this entry since.
func (h *Holder) confirmedSince(now time.Time, p PeerID) bool {
	c, known := h.replies[p]
	return known && c.AskedAt.After(h.lastContact) && now.Sub(c.AskedAt) <= h.isolation
}

// resume ends the suspension once every responding peer has replied to a request sent after the
// last contact. If no peer responds it waits for a listing of the store, because other entries may
// have joined in the meantime.
func (h *Holder) resume(now time.Time, s MembershipView) {
	confirmations := 0
	for _, p := range s.Peers {
		confirmed := h.confirmedSince(now, p)
		if !confirmed && s.Live[p] {
			return
		}
		if !confirmed {
			continue
		}
		confirmations++
		if c := h.replies[p]; !c.Counted || c.AskedAt.Add(-c.CountedFor).After(h.lastContact) {
			h.rejoin(now, s)
			return
		}
	}
	if confirmations == 0 && !s.SelfListed {
		return
	}
	if confirmations == 0 && len(s.Peers) > 0 {
		h.rejoin(now, s)
		return
	}
	h.endIsolation(s)
}

func (h *Holder) rejoin(now time.Time, s MembershipView) {
	h.holding = false
	h.peersSettled = false
	h.membershipComplete = false
	h.markMembershipComplete(s.SelfListed, s.LastContact)
	for p, c := range h.replies {
		if !h.confirmedSince(now, p) {
			delete(h.replies, p)
			continue
		}
		h.markMembershipComplete(c.MembershipComplete, c.AskedAt)
	}
	h.endIsolation(s)
	shareRejoining.Log(context.Background(), h.logger)
}

func (h *Holder) endIsolation(s MembershipView) {
	h.suspended = false
	h.lastContact = s.LastContact
}
