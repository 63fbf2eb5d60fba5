package peer

import (
	"sync"
	"time"

	"almondstand.dev/entry/quota"
	"almondstand.dev/wire/wirev1"
)

// peerState is this entry's communication state for one process of a peer.
type peerState struct {
	mu sync.Mutex
	// inFlight: a gossip call is in progress. rerun: a later round found it so, and another
	// call follows.
	inFlight, rerun bool
	// sentAt is when the last call was sent, answeredAt when the last answered one was.
	sentAt, answeredAt time.Time
	// sendAllMembers: the peer's view of the members differs; send it the full list.
	sendAllMembers bool
	// bare holds, for each bare endpoint, the newest stamp that the peer has sent or been
	// sent.
	bare map[string]uint64
	// leavingSince is when the peer was first sent the notice that an endpoint is leaving.
	leavingSince map[string]time.Time
	// peerDigest is the digest of the peer's contracts that differed from this entry's, and
	// differsSince is since when; fetched is the pair of digests of the last fetch.
	peerDigest   uint64
	differsSince time.Time
	fetched      digestPair
	fetchAt      time.Time
}

type digestPair struct{ own, theirs uint64 }

func (p *Peers) state(id quota.PeerID) *peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.states[id]
	if !known {
		s = &peerState{bare: map[string]uint64{}, sendAllMembers: true}
		p.states[id] = s
	}
	return s
}

// pruneStates drops the state of processes that are gone.
func (p *Peers) pruneStates(present map[quota.PeerID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.states {
		if !present[id] {
			delete(p.states, id)
		}
	}
}

// tryBegin reports whether no call was in flight. If one is, another call follows it.
func (s *peerState) tryBegin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight {
		s.rerun = true
		return false
	}
	s.inFlight = true
	return true
}

// end reports whether another call is to follow at once, which then counts as in flight.
func (s *peerState) end() (rerun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rerun, s.rerun = s.rerun, false
	s.inFlight = rerun
	return rerun
}

func (s *peerState) recordSent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt = now
}

func (s *peerState) recordAnswered(asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = asked
}

// callAges returns the time since the last answered call was sent, and since the call in
// flight was sent, in milliseconds; -1 if there is none.
func (s *peerState) callAges(now time.Time) (answered, inFlight int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered, inFlight = -1, -1
	if !s.answeredAt.IsZero() {
		answered = now.Sub(s.answeredAt).Milliseconds()
	}
	if s.inFlight {
		inFlight = now.Sub(s.sentAt).Milliseconds()
	}
	return answered, inFlight
}

// leavingResendPeriod is how long the notice that an endpoint is leaving is resent to a
// peer. Every other announcement is followed by the endpoint's next one, so losing one
// with its message does little harm; this one is the last.
const leavingResendPeriod = 15 * time.Second

// unsentBare returns the announcements that the peer does not have yet, and marks them
// as sent.
func (s *peerState) unsentBare(now time.Time, all []*wirev1.BareEndpoint) []*wirev1.BareEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unsent []*wirev1.BareEndpoint
	sent := make(map[string]uint64, len(all))
	sinceByKey := map[string]time.Time{}
	for _, e := range all {
		key := bareKey(e)
		resend := false
		if e.GetLeaving() {
			since, known := s.leavingSince[key]
			if !known {
				since = now
			}
			sinceByKey[key] = since
			resend = now.Sub(since) < leavingResendPeriod
		}
		if resend || e.GetStamp() > s.bare[key] {
			unsent = append(unsent, e)
		}
		sent[key] = max(e.GetStamp(), s.bare[key])
	}
	s.bare, s.leavingSince = sent, sinceByKey
	return unsent
}

func bareKey(e *wirev1.BareEndpoint) string { return e.GetService() + "@" + e.GetAddress() }

// markUnsent reverts unsentBare for a message that got no response.
func (s *peerState) markUnsent(unsent []*wirev1.BareEndpoint) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range unsent {
		if key := bareKey(e); s.bare[key] == e.GetStamp() {
			delete(s.bare, key)
		}
	}
}

// markKnown records what the peer already knows.
func (s *peerState) markKnown(theirs []*wirev1.BareEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range theirs {
		key := bareKey(e)
		s.bare[key] = max(e.GetStamp(), s.bare[key])
	}
}

func (s *peerState) setSendAllMembers(v bool) {
	s.mu.Lock()
	s.sendAllMembers = v
	s.mu.Unlock()
}

func (s *peerState) sendsAllMembers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sendAllMembers
}
