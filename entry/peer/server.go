package peer

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/entry/quota"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// server is the connect handler of PeerService.
type server struct{ p *Peers }

var _ wirev1connect.PeerServiceHandler = (*server)(nil)

// Handler returns the path and the handler of PeerService for the internal interface.
func (p *Peers) Handler() (string, http.Handler) {
	refused := func(ctx context.Context, req connect.AnyRequest) {
		eventBadSecret.Log(ctx, p.opts.Logger, slog.String("from", req.Peer().Addr))
	}
	return wirev1connect.NewPeerServiceHandler(&server{p: p},
		connect.WithReadMaxBytes(maxMessage),
		connect.WithInterceptors(checkSecret(p.opts.Secret, refused)))
}

var errMissingSender = errors.New("request without the caller's id, incarnation or address")

// Exchange serves a peer's gossip call.
func (s *server) Exchange(_ context.Context, req *connect.Request[wirev1.ExchangeRequest]) (*connect.Response[wirev1.ExchangeResponse], error) {
	resp, err := s.p.exchangeResponse(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	count(s.p.meter.exchange, resp, req.Msg)
	return connect.NewResponse(resp), nil
}

func (p *Peers) exchangeResponse(req *wirev1.ExchangeRequest) (*wirev1.ExchangeResponse, error) {
	from := peerID(req.GetFrom())
	if from.ID == "" || from.Incarnation == 0 || req.GetFrom().GetAddress() == "" {
		return nil, errMissingSender
	}
	now := p.opts.Now()
	if from.ID == p.opts.Members.Info().ID {
		p.opts.Members.MergeGossip([]*wirev1.EntryInfo{req.GetFrom()})
		return &wirev1.ExchangeResponse{From: p.opts.Members.Self()}, nil
	}
	p.opts.Members.RecordContact(req.GetFrom(), now)
	p.opts.Members.MergeGossip(req.GetKnown())
	// The limits must include the caller before the response confirms it.
	p.refreshShare(now)
	s := p.state(from)
	s.markKnown(req.GetBare())
	p.opts.Bare.ApplyBareEndpoints(req.GetBare())
	p.opts.Bare.ApplyBareUsage(from.ID, req.GetBareUse())
	differs := req.GetMembersDigest() != p.opts.Members.Digest()
	s.setSendAllMembers(differs)
	return p.buildResponse(now, from, s, req, differs), nil
}

func (p *Peers) buildResponse(now time.Time, from quota.PeerID, s *peerState, req *wirev1.ExchangeRequest, differs bool) *wirev1.ExchangeResponse {
	resp := &wirev1.ExchangeResponse{
		From:           p.opts.Members.Self(),
		ConfigRevision: p.opts.Contracts.Revision(),
		ConfigDigest:   p.opts.Contracts.Digest(),
		StoreAgeMs:     p.storeAgeMs(now),
		Bare:           s.unsentBare(now, p.opts.Bare.BareEndpoints()),
		BareUse:        p.opts.Bare.BareUsage(),
		Known:          p.opts.Members.GossipEntries(differs || !p.opts.Members.InContact()),
		MembersDigest:  p.opts.Members.Digest(),
		Rooted:         p.membershipComplete(),
		Holding:        p.holdsShare(),
		Unsettled:      p.opts.Quota.UnsettledClients(now),
	}
	if len(req.GetDemand()) > 0 {
		resp.Loans = p.opts.Quota.GrantLeases(now, from.String(), req.GetDemand())
	}
	peer, known := p.opts.Members.Peer(from.ID)
	if known && peer.Info.Incarnation == from.Incarnation {
		resp.CountedMs = uint64(max(now.Sub(peer.CountedSince), 0)/time.Millisecond) + 1
	}
	return resp
}
