package peer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/entry/member"
	"almondstand.dev/entry/quota"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

const (
	// guardContactLimit bounds how long after its start an entry delays new work until it
	// has contacted the guards that its peers know.
	guardContactLimit = 1500 * time.Millisecond
	// guardsTimeout bounds one FetchGuards call. The next peer is asked after guardsHedge at
	// the latest (a hedged request), so that an unresponsive peer costs little time.
	guardsTimeout = 700 * time.Millisecond
	guardsHedge   = 100 * time.Millisecond
	// guardsPoll is how often a joining entry looks for peers that it has not asked.
	guardsPoll = 20 * time.Millisecond
	// completeAnswers is how many complete responses are enough: a single peer may have lost
	// contact with its guards.
	completeAnswers = 2
	// announcedWithin is the time after which every guard has announced itself to an entry
	// that had no peer to ask.
	announcedWithin = time.Minute
	// maxGuardsMessage bounds a FetchGuards response, in bytes.
	maxGuardsMessage = 4 << 20
)

// Guards is the part of the fleet with which a joining entry learns guards from its
// peers.
type Guards interface {
	// GuardHintsFor lists the guards that should attach to an entry; everywhere means that any
	// other entry would list the same ones.
	GuardHintsFor(e *wirev1.EntryInfo) (guards []*wirev1.GuardHint, everywhere bool)
	// ConnectHints contacts the guards. It returns when each guard has answered or was dropped, or
	// when ctx ends.
	ConnectHints(ctx context.Context, guards []*wirev1.GuardHint)
}

// guardDiscovery is the progress of learning the guards from peers.
type guardDiscovery struct {
	// settled: new work need not wait for guards any more.
	settled atomic.Bool
	// complete counts the complete responses; done: there were enough of them.
	complete atomic.Int64
	done     atomic.Bool
}

// guardsContacted reports whether new work need not wait for guards: the guards that the
// peers know were contacted, there is no peer, or the time limit has passed. Once true,
// it stays true.
func (p *Peers) guardsContacted(now time.Time) bool {
	if p.guards.settled.Load() {
		return true
	}
	if now.Sub(p.started) < guardContactLimit && len(p.opts.Members.Peers()) > 0 {
		return false
	}
	p.guards.settled.Store(true)
	return true
}

// guardListComplete reports whether this entry knows all guards that it should have.
func (p *Peers) guardListComplete(now time.Time) bool {
	return p.guards.done.Load() || now.Sub(p.started) >= announcedWithin
}

// discoverGuards asks each peer that it learns of for guards, in random order, until it
// has enough complete responses or the startup period is over.
func (p *Peers) discoverGuards(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	var inFlight atomic.Int64
	asked := map[quota.PeerID]bool{}
	for !p.guards.done.Load() && p.opts.Now().Sub(p.started) < startupPeriod {
		for _, to := range p.unaskedPeers(asked) {
			asked[quota.PeerID{ID: to.ID, Incarnation: to.Incarnation}] = true
			inFlight.Add(1)
			answered := make(chan struct{})
			calls.Go(func() {
				defer inFlight.Add(-1)
				defer close(answered)
				p.queryGuards(ctx, to)
			})
			if !uptime.SleepUntilEvent(ctx, guardsHedge, answered) || p.guards.done.Load() {
				break
			}
		}
		if len(asked) > 0 && inFlight.Load() == 0 && len(p.unaskedPeers(asked)) == 0 {
			p.guards.settled.Store(true)
		}
		if !uptime.SleepUntilEvent(ctx, guardsPoll, nil) {
			return
		}
	}
}

// unaskedPeers returns the peers that were not asked yet, shuffled, because entries that
// join at the same time would otherwise all ask the same peer first.
func (p *Peers) unaskedPeers(asked map[quota.PeerID]bool) []member.Info {
	var all []member.Info
	for _, peer := range p.opts.Members.Peers() {
		if !asked[quota.PeerID{ID: peer.Info.ID, Incarnation: peer.Info.Incarnation}] {
			all = append(all, peer.Info)
		}
	}
	for i := range all {
		j := i + int(p.opts.Jitter()*float64(len(all)-i))
		all[i], all[j] = all[j], all[i]
	}
	return all
}

// queryGuards asks one peer and contacts the guards that it lists.
func (p *Peers) queryGuards(ctx context.Context, to member.Info) {
	resp, err := p.fetchGuards(ctx, to.Address)
	if err != nil {
		if ctx.Err() == nil {
			eventGuardsRefused.Log(ctx, p.opts.Logger,
				slog.String("peer", to.ID), slog.String("error", err.Error()))
		}
		return
	}
	p.opts.Guards.ConnectHints(ctx, resp.GetGuards())
	eventGuardsFetched.Log(ctx, p.opts.Logger,
		slog.String("peer", to.ID), slog.Int("guards", len(resp.GetGuards())), slog.Bool("complete", resp.GetComplete()))
	if resp.GetComplete() && p.guards.complete.Add(1) >= completeAnswers {
		p.guards.done.Store(true)
		p.guards.settled.Store(true)
	}
}

// errGuardsIncomplete means that a response was incomplete and nothing of it was used.
var errGuardsIncomplete = errors.New("peer's guard list is incomplete")

func (p *Peers) fetchGuards(ctx context.Context, address string) (*wirev1.FetchGuardsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, guardsTimeout)
	defer cancel()
	req := &wirev1.FetchGuardsRequest{From: p.opts.Members.Self()}
	resp, err := p.pool.clientWithLimit(address, maxGuardsMessage).FetchGuards(ctx, connect.NewRequest(req))
	if err != nil {
		count(p.meter.guards, req, nil)
		return nil, err
	}
	count(p.meter.guards, req, resp.Msg)
	return resp.Msg, checkGuards(resp.Msg)
}

// checkGuards verifies that a response is complete. With a partial list this entry would
// serve with a part of the fleet and take it for the whole.
func checkGuards(r *wirev1.FetchGuardsResponse) error {
	if int(r.GetTotal()) != len(r.GetGuards()) || !bytes.Equal(r.GetDigest(), guardsDigest(r.GetGuards())) {
		return errGuardsIncomplete
	}
	return nil
}

// FetchGuards serves a joining entry.
func (s *server) FetchGuards(_ context.Context, req *connect.Request[wirev1.FetchGuardsRequest]) (*connect.Response[wirev1.FetchGuardsResponse], error) {
	from := req.Msg.GetFrom()
	if from.GetId() == "" || from.GetIncarnation() == 0 || from.GetId() == s.p.opts.Members.Info().ID {
		return nil, connect.NewError(connect.CodeInvalidArgument, errMissingSender)
	}
	resp := s.p.guardsResponse(from)
	count(s.p.meter.guards, resp, req.Msg)
	return connect.NewResponse(resp), nil
}

func (p *Peers) guardsResponse(from *wirev1.EntryInfo) *wirev1.FetchGuardsResponse {
	if p.opts.Guards == nil {
		return &wirev1.FetchGuardsResponse{Digest: guardsDigest(nil)}
	}
	guards, everywhere := p.opts.Guards.GuardHintsFor(from)
	return &wirev1.FetchGuardsResponse{
		Guards:   guards,
		Total:    uint32(len(guards)),
		Digest:   guardsDigest(guards),
		Complete: everywhere && p.guardListComplete(p.opts.Now()),
	}
}

// guardsDigest is the SHA-256 over the guards in the given order, each string preceded
// by its length.
func guardsDigest(guards []*wirev1.GuardHint) []byte {
	var all []byte
	number := func(n uint64) { all = binary.BigEndian.AppendUint64(all, n) }
	text := func(s string) {
		number(uint64(len(s)))
		all = append(all, s...)
	}
	number(uint64(len(guards)))
	for _, h := range guards {
		text(h.GetGuardId())
		number(h.GetGuardIncarnation())
		text(h.GetAddress())
		text(h.GetZone())
		text(h.GetService())
	}
	digest := sha256.Sum256(all)
	return digest[:]
}
