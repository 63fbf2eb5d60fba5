package peer

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/entry/member"
	"almondstand.dev/entry/quota"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// gossipWith calls one peer. If a call of an earlier round is still in flight, another
// one follows as soon as it ends: a response counts from the time of its request, and
// after a timeout the next regular round may come too late.
func (p *Peers) gossipWith(ctx context.Context, target member.Info) {
	s := p.state(quota.PeerID{ID: target.ID, Incarnation: target.Incarnation})
	if !s.tryBegin() {
		return
	}
	p.gossipOnce(ctx, target, s)
	for s.end() {
		if ctx.Err() == nil {
			p.gossipOnce(ctx, target, s)
		}
	}
}

func (p *Peers) gossipOnce(ctx context.Context, target member.Info, s *peerState) {
	id := quota.PeerID{ID: target.ID, Incarnation: target.Incarnation}
	asked := p.opts.Now()
	s.recordSent(asked)
	from, err := p.callExchange(ctx, p.pool.client(target.Address), id, s)
	if err == nil && from == id {
		s.recordAnswered(asked)
		return
	}
	// The address may have been taken over by another process, whose answer does not show
	// that the intended one is alive.
	p.opts.Members.RecordFailedCall(target.ID, target.Incarnation)
	if err == nil || ctx.Err() != nil {
		return
	}
	p.meter.failed.Inc(1)
	eventExchangeFailed.Log(ctx, p.opts.Logger,
		slog.String("peer", target.ID), slog.String("error", err.Error()),
		slog.Int64("after_ms", p.opts.Now().Sub(asked).Milliseconds()))
}

// callExchange makes one Exchange call and applies the response; it returns the peer
// that answered.
func (p *Peers) callExchange(ctx context.Context, client wirev1connect.PeerServiceClient, to quota.PeerID, s *peerState) (quota.PeerID, error) {
	asked := p.opts.Now()
	req := p.exchangeRequest(asked, to, s)
	ctx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	resp, err := client.Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		count(p.meter.exchange, req, nil)
		s.markUnsent(req.GetBare())
		return quota.PeerID{}, err
	}
	count(p.meter.exchange, req, resp.Msg)
	from := peerID(resp.Msg.GetFrom())
	if from.ID == p.opts.Members.Info().ID {
		p.opts.Members.MergeGossip([]*wirev1.EntryInfo{resp.Msg.GetFrom()})
		return from, errSelf
	}
	if from.ID == "" {
		return from, errors.New("response without the peer's id")
	}
	p.applyResponse(ctx, client, from, resp.Msg, asked)
	return from, nil
}

func (p *Peers) exchangeRequest(now time.Time, to quota.PeerID, s *peerState) *wirev1.ExchangeRequest {
	req := &wirev1.ExchangeRequest{
		From:           p.opts.Members.Self(),
		ConfigRevision: p.opts.Contracts.Revision(),
		ConfigDigest:   p.opts.Contracts.Digest(),
		StoreAgeMs:     p.storeAgeMs(now),
		MembersDigest:  p.opts.Members.Digest(),
	}
	if s == nil {
		// A call to a seed: which entry will answer is not known.
		req.Known = p.opts.Members.GossipEntries(true)
		return req
	}
	req.Demand = p.opts.Quota.Demands(now, to.String())
	req.Bare = s.unsentBare(now, p.opts.Bare.BareEndpoints())
	req.BareUse = p.opts.Bare.BareUsage()
	req.Known = p.opts.Members.GossipEntries(s.sendsAllMembers())
	return req
}

// applyResponse applies a peer's response to a call that was sent at asked.
func (p *Peers) applyResponse(ctx context.Context, client wirev1connect.PeerServiceClient, from quota.PeerID, resp *wirev1.ExchangeResponse, asked time.Time) {
	s := p.state(from)
	p.opts.Members.RecordContact(resp.GetFrom(), asked)
	p.opts.Members.MergeGossip(resp.GetKnown())
	s.setSendAllMembers(resp.GetMembersDigest() != p.opts.Members.Digest())
	p.recordContact(asked)
	s.markKnown(resp.GetBare())
	p.opts.Bare.ApplyBareEndpoints(resp.GetBare())
	p.opts.Bare.ApplyBareUsage(from.ID, resp.GetBareUse())
	now := p.opts.Now()
	p.recordConfirmation(from, resp, asked)
	p.refreshShare(now)
	p.opts.Quota.AcquireLeases(now, from.String(), resp.GetLoans(), asked)
	p.syncContracts(ctx, client, from, resp.GetConfigRevision(), resp.GetConfigDigest())
}

func (p *Peers) recordConfirmation(from quota.PeerID, resp *wirev1.ExchangeResponse, asked time.Time) {
	counted := resp.GetCountedMs()
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	p.holder.Confirm(from, quota.Confirmation{
		AskedAt:            asked,
		Counted:            counted > 0,
		CountedFor:         time.Duration(max(counted, 1)-1) * time.Millisecond,
		Unsettled:          resp.GetUnsettled(),
		MembershipComplete: resp.GetRooted(),
		Holding:            resp.GetHolding(),
	})
}

// recordContact records an answered call by its start time: a response that waited in a
// socket buffer while this process was paused does not show that the entry is connected
// now.
func (p *Peers) recordContact(asked time.Time) {
	for {
		old := p.lastAnswered.Load()
		if old != nil && !asked.After(*old) || p.lastAnswered.CompareAndSwap(old, &asked) {
			return
		}
	}
}

func (p *Peers) storeAgeMs(now time.Time) uint64 {
	return uint64(max(p.opts.Contracts.StoreAge(now), 0) / time.Millisecond)
}
