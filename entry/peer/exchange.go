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

// exchangeWith asks one peer. A round that finds the exchange of an earlier one under way
// is made up for when that ends: an answer counts from the time of its question, and after
// a time-out the next round may come too late.
func (p *Peers) exchangeWith(ctx context.Context, target member.Info) {
	s := p.state(quota.PeerID{ID: target.ID, Incarnation: target.Incarnation})
	if !s.begin() {
		return
	}
	p.exchangeOnce(ctx, target, s)
	for s.end() {
		if ctx.Err() == nil {
			p.exchangeOnce(ctx, target, s)
		}
	}
}

func (p *Peers) exchangeOnce(ctx context.Context, target member.Info, s *state) {
	id := quota.PeerID{ID: target.ID, Incarnation: target.Incarnation}
	from, err := p.exchange(ctx, p.pool.client(target.Address), id, s)
	if err == nil && from == id {
		return
	}
	// The address may have passed to another process: its answer is no sign of life
	// of the one that was meant.
	p.opts.Members.Missed(target.ID, target.Incarnation)
	if err == nil || ctx.Err() != nil {
		return
	}
	p.meter.failed.Inc(1)
	eventExchangeFailed.Log(ctx, p.opts.Logger,
		slog.String("peer", target.ID), slog.String("error", err.Error()))
}

// exchange makes one call and takes the answer in; it returns who answered.
func (p *Peers) exchange(ctx context.Context, client wirev1connect.PeerServiceClient, to quota.PeerID, s *state) (quota.PeerID, error) {
	asked := p.opts.Now()
	req := p.request(asked, to, s)
	ctx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	resp, err := client.Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		count(p.meter.exchange, req, nil)
		s.untold(req.GetBare())
		return quota.PeerID{}, err
	}
	count(p.meter.exchange, req, resp.Msg)
	from := peerID(resp.Msg.GetFrom())
	if from.ID == p.opts.Members.Info().ID {
		p.opts.Members.Learn([]*wirev1.EntryInfo{resp.Msg.GetFrom()})
		return from, errSelf
	}
	if from.ID == "" {
		return from, errors.New("answer without a name")
	}
	p.take(ctx, client, from, resp.Msg, asked)
	return from, nil
}

func (p *Peers) request(now time.Time, to quota.PeerID, s *state) *wirev1.ExchangeRequest {
	req := &wirev1.ExchangeRequest{
		From:           p.opts.Members.Self(),
		ConfigRevision: p.opts.Contracts.Revision(),
		ConfigDigest:   p.opts.Contracts.Digest(),
		StoreAgeMs:     p.storeAgeMs(now),
		MembersDigest:  p.opts.Members.Digest(),
	}
	if s == nil {
		// A call to a seed: who will answer is not known.
		req.Known = p.opts.Members.Known(true)
		return req
	}
	req.Demand = p.opts.Quota.Demand(now, to.String())
	req.Bare = s.news(now, p.opts.Bare.Bare())
	req.BareUse = p.opts.Bare.Use()
	req.Known = p.opts.Members.Known(s.wantsAll())
	return req
}

// take applies a peer's answer to a call that began at asked.
func (p *Peers) take(ctx context.Context, client wirev1connect.PeerServiceClient, from quota.PeerID, resp *wirev1.ExchangeResponse, asked time.Time) {
	s := p.state(from)
	p.opts.Members.Heard(resp.GetFrom(), asked)
	p.opts.Members.Learn(resp.GetKnown())
	s.setSendAll(resp.GetMembersDigest() != p.opts.Members.Digest())
	p.hear(asked)
	s.told(resp.GetBare())
	p.opts.Bare.ApplyBare(resp.GetBare())
	p.opts.Bare.ApplyUse(from.ID, resp.GetBareUse())
	now := p.opts.Now()
	p.confirm(from, resp, asked)
	p.refreshShare(now)
	p.opts.Quota.Borrow(now, from.String(), resp.GetLoans(), asked)
	p.compareConfig(ctx, client, from, resp.GetConfigRevision(), resp.GetConfigDigest())
}

func (p *Peers) confirm(from quota.PeerID, resp *wirev1.ExchangeResponse, asked time.Time) {
	counted := resp.GetCountedMs()
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	p.holder.Confirm(from, quota.Confirmation{
		AskedAt:    asked,
		Counted:    counted > 0,
		CountedFor: time.Duration(max(counted, 1)-1) * time.Millisecond,
		Unsettled:  resp.GetUnsettled(),
		Rooted:     resp.GetRooted(),
		Holding:    resp.GetHolding(),
	})
}

// hear notes an answered call by its beginning: an answer that lay in a socket
// while this entry was paused is no proof that it is in touch now.
func (p *Peers) hear(asked time.Time) {
	for {
		old := p.heard.Load()
		if old != nil && !asked.After(*old) || p.heard.CompareAndSwap(old, &asked) {
			return
		}
	}
}

func (p *Peers) storeAgeMs(now time.Time) uint64 {
	return uint64(max(p.opts.Contracts.StoreAge(now), 0) / time.Millisecond)
}
