package peer

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/entry/quota"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

const (
	// fetchTimeout bounds the fetching of contracts.
	fetchTimeout = 3 * time.Second
	// storeContactFresh is how recent the last answer of the store must be for a difference
	// to be left to the store's watch for watchGrace. Usually both entries receive a change
	// through their watches within that time, and a fetch would be wasted.
	storeContactFresh = 2 * time.Second
	watchGrace        = 800 * time.Millisecond
	// refetchInterval is the pause before the same difference is fetched again: a peer may
	// hold a version that this entry rejects.
	refetchInterval = 10 * time.Second
)

// hasContracts reports whether contracts were received from the store or from a peer.
func (p *Peers) hasContracts() bool {
	return p.opts.Contracts.HasSynced() || p.bootstrapped.Load()
}

// syncContracts fetches the contracts that the peer holds and this entry lacks.
func (p *Peers) syncContracts(ctx context.Context, client wirev1connect.PeerServiceClient, from quota.PeerID, revision int64, digest uint64) {
	now := p.opts.Now()
	s := p.state(from)
	if !s.fetchDue(now, p.opts.Contracts, digest, revision, p.hasContracts()) {
		return
	}
	s.recordFetch(now, digestPair{own: p.opts.Contracts.Digest(), theirs: digest})
	if err := p.fetchContracts(ctx, client); err != nil && ctx.Err() == nil {
		eventFetchRefused.Log(ctx, p.opts.Logger,
			slog.String("peer", from.ID), slog.String("error", err.Error()))
	}
}

// fetchDue reports whether the difference to a peer should be fetched now.
func (s *peerState) fetchDue(now time.Time, c Contracts, digest uint64, revision int64, hasContracts bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !hasContracts {
		return now.Sub(s.fetchAt) >= watchGrace
	}
	own := c.Digest()
	if own == digest {
		s.differsSince = time.Time{}
		return false
	}
	if s.differsSince.IsZero() || s.peerDigest != digest {
		s.peerDigest, s.differsSince = digest, now
	}
	if (digestPair{own: own, theirs: digest}) == s.fetched && now.Sub(s.fetchAt) < refetchInterval {
		return false
	}
	if c.StoreAge(now) > storeContactFresh && revision > c.Revision() {
		return true
	}
	return now.Sub(s.differsSince) >= watchGrace
}

func (s *peerState) recordFetch(now time.Time, pair digestPair) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetched, s.fetchAt = pair, now
}

// fetchContracts asks a peer for newer contracts and applies the response if it is
// complete.
func (p *Peers) fetchContracts(ctx context.Context, client wirev1connect.PeerServiceClient) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req := &wirev1.FetchContractsRequest{Held: p.opts.Contracts.HeldRevisions()}
	resp, err := client.FetchContracts(ctx, connect.NewRequest(req))
	if err != nil {
		count(p.meter.fetch, req, nil)
		return err
	}
	count(p.meter.fetch, req, resp.Msg)
	applied, err := p.opts.Contracts.MergeResponse(resp.Msg)
	if err != nil {
		return err
	}
	p.bootstrapped.Store(true)
	if applied == 0 {
		p.meter.contractsFetchedNone.Inc(1)
		return nil
	}
	p.meter.contractsFetched.Inc(1)
	eventFetched.Log(ctx, p.opts.Logger, slog.Int("contracts", applied))
	return nil
}

var errNotReady = errors.New("no contracts yet")

// FetchContracts serves a peer's request for contracts.
func (s *server) FetchContracts(_ context.Context, req *connect.Request[wirev1.FetchContractsRequest]) (*connect.Response[wirev1.FetchContractsResponse], error) {
	if !s.p.hasContracts() {
		// An empty response would look like a system without contracts.
		return nil, connect.NewError(connect.CodeUnavailable, errNotReady)
	}
	resp := s.p.opts.Contracts.BuildResponse(req.Msg)
	count(s.p.meter.fetch, resp, req.Msg)
	return connect.NewResponse(resp), nil
}
