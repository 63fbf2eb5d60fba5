package peer

import (
	"time"

	"almondstand.dev/entry/member"
	"almondstand.dev/entry/quota"
)

// noOtherEntriesTimeout is how long an entry whose seeds lead to no other entry waits
// before it takes all shares, when the seeds do not answer at all.
const noOtherEntriesTimeout = member.DefaultTTL

// refreshShare updates the limits to the current view of the other entries. It runs
// before any response that lets a peer take its share.
func (p *Peers) refreshShare(now time.Time) {
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	s := p.clusterView(now)
	share := p.holder.Decide(now, s)
	if p.opts.Members.Info().Left {
		share.Holding = false
	}
	if share.Suspended {
		// Before the share is withdrawn, so that new work waits rather than exceeds it.
		p.suspended.Store(true)
	}
	p.opts.Quota.SetShare(now, share)
	present := make(map[quota.PeerID]bool, len(s.Peers))
	for _, id := range s.Peers {
		present[id] = true
	}
	for id := range p.shares {
		if !present[id] {
			p.opts.Quota.DropLeases(now, id.String())
		}
	}
	p.shares = present
	p.shareContact.Store(&s.LastContact)
	p.withoutShare.Store(p.holder.LacksHolder())
	p.suspended.Store(share.Suspended)
}

func (p *Peers) clusterView(now time.Time) quota.MembershipView {
	s := quota.MembershipView{
		Live:         map[quota.PeerID]bool{},
		SelfListed:   p.opts.Members.SelfListed(),
		NoOtherPeers: p.noOtherEntries(now),
		LastContact:  p.lastContact(),
	}
	for _, peer := range p.opts.Members.Peers() {
		id := quota.PeerID{ID: peer.Info.ID, Incarnation: peer.Info.Incarnation}
		s.Peers = append(s.Peers, id)
		s.Live[id] = peer.Status == member.Live
	}
	return s
}

// joined reports whether every peer has confirmed this entry's share.
func (p *Peers) joined() bool {
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	return p.holder.Joined()
}

func (p *Peers) membershipComplete() bool {
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	return p.holder.MembershipComplete()
}

func (p *Peers) holdsShare() bool {
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	return p.holder.Holding()
}
