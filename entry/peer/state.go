package peer

import (
	"sync"
	"time"

	"almondstand.dev/entry/quota"
	"almondstand.dev/wire/wirev1"
)

// state is what this entry remembers of its conversation with one process of a
// peer.
type state struct {
	mu sync.Mutex
	// busy: an exchange is under way. again: a round has found it so.
	busy, again bool
	// sendAll: the peer counts other entries than this one; tell it all.
	sendAll bool
	// bare holds the newest stamp of each bare endpoint that the peer has told or
	// been told.
	bare map[string]uint64
	// leaving is since when the peer has been told that an endpoint leaves.
	leaving map[string]time.Time
	// config is the digest of the peer's contracts that differed from this entry's,
	// and since when; fetched is the pair of digests of the last fetch.
	config  uint64
	differs time.Time
	fetched digestPair
	fetchAt time.Time
}

type digestPair struct{ own, theirs uint64 }

func (p *Peers) state(id quota.PeerID) *state {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.states[id]
	if !known {
		s = &state{bare: map[string]uint64{}, sendAll: true}
		p.states[id] = s
	}
	return s
}

// keepStates drops what is remembered of processes that are gone.
func (p *Peers) keepStates(present map[quota.PeerID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.states {
		if !present[id] {
			delete(p.states, id)
		}
	}
}

// begin reports whether no exchange was under way. One that is has another follow it.
func (s *state) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		s.again = true
		return false
	}
	s.busy = true
	return true
}

// end reports whether another exchange is to follow at once, which is then under way.
func (s *state) end() (again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	again, s.again = s.again, false
	s.busy = again
	return again
}

// leavingFor is how long a peer is told again and again that an endpoint leaves.
// Every other announcement is followed by the endpoint's next one, so that one
// that is lost with its message does little harm; this one is the last.
const leavingFor = 15 * time.Second

// news returns the announcements that the peer has not had yet, and takes them
// as told.
func (s *state) news(now time.Time, all []*wirev1.BareEndpoint) []*wirev1.BareEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []*wirev1.BareEndpoint
	told := make(map[string]uint64, len(all))
	leaving := map[string]time.Time{}
	for _, e := range all {
		key := bareKey(e)
		again := false
		if e.GetLeaving() {
			since, known := s.leaving[key]
			if !known {
				since = now
			}
			leaving[key] = since
			again = now.Sub(since) < leavingFor
		}
		if again || e.GetStamp() > s.bare[key] {
			news = append(news, e)
		}
		told[key] = max(e.GetStamp(), s.bare[key])
	}
	s.bare, s.leaving = told, leaving
	return news
}

func bareKey(e *wirev1.BareEndpoint) string { return e.GetService() + "@" + e.GetAddress() }

// untold takes back what was in a message that got no answer.
func (s *state) untold(news []*wirev1.BareEndpoint) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range news {
		if key := bareKey(e); s.bare[key] == e.GetStamp() {
			delete(s.bare, key)
		}
	}
}

// told notes what the peer knows already.
func (s *state) told(theirs []*wirev1.BareEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range theirs {
		key := bareKey(e)
		s.bare[key] = max(e.GetStamp(), s.bare[key])
	}
}

func (s *state) setSendAll(v bool) {
	s.mu.Lock()
	s.sendAll = v
	s.mu.Unlock()
}

func (s *state) wantsAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sendAll
}
