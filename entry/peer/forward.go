package peer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"almondstand.dev/entry/member"
	"almondstand.dev/wire/wirev1"
)

// Forward sends a caller's request to the entry that owns it. Its errors wrap
// ErrPeerUnresponsive, ErrPeerGone or ErrPeerFailed; after any of them the peer may still have
// accepted the request. The request names a submission, so sending it twice is safe.
func (p *Peers) Forward(ctx context.Context, entry string, req *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error) {
	target, known := p.opts.Members.Peer(entry)
	if !known {
		return nil, p.unknownPeerError(entry, req.GetToIncarnation())
	}
	if asked := req.GetToIncarnation(); asked != 0 && asked != target.Info.Incarnation {
		return nil, p.unknownPeerError(entry, asked)
	}
	out := proto.CloneOf(req)
	out.To, out.ToIncarnation = entry, target.Info.Incarnation
	ctx, cancel := withForwardTimeout(ctx)
	defer cancel()
	p.meter.forwards.Inc(1)
	resp, err := p.pool.client(target.Info.Address).Forward(ctx, connect.NewRequest(out))
	if err == nil {
		return resp.Msg, nil
	}
	p.meter.forwardsLost.Inc(1)
	return nil, p.forwardError(target.Info, err)
}

func withForwardTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, hasDeadline := ctx.Deadline(); hasDeadline {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultForwardTimeout)
}

func (p *Peers) unknownPeerError(entry string, incarnation uint64) error {
	if incarnation != 0 && p.opts.Members.Status(entry, incarnation) == member.Gone {
		return eris.Wrap(ErrPeerGone, entry)
	}
	return eris.Wrap(ErrPeerUnresponsive, entry)
}

// forwardError maps connect's error codes to this package's errors.
func (p *Peers) forwardError(target member.Info, err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition:
		return p.unknownPeerError(target.ID, target.Incarnation)
	case connect.CodeUnavailable, connect.CodeUnknown:
		p.opts.Members.RecordFailedCall(target.ID, target.Incarnation)
		return eris.Wrap(ErrPeerUnresponsive, err.Error())
	case connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return eris.Wrap(ErrPeerUnresponsive, err.Error())
	default:
		return eris.Wrap(ErrPeerFailed, err.Error())
	}
}

var errWrongTarget = errors.New("meant for another entry or incarnation")

// Forward serves a request that a peer forwards.
func (s *server) Forward(ctx context.Context, req *connect.Request[wirev1.ForwardRequest]) (*connect.Response[wirev1.ForwardResponse], error) {
	self := s.p.opts.Members.Info()
	if req.Msg.GetTo() != self.ID || req.Msg.GetToIncarnation() != self.Incarnation {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errWrongTarget)
	}
	resp, err := s.p.opts.Forward(ctx, req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(resp), nil
}

// lastContact is the start time of the last call that the store or a peer answered.
func (p *Peers) lastContact() time.Time {
	at := p.opts.Members.LastStoreCall()
	if answered := p.lastAnswered.Load(); answered != nil && answered.After(at) {
		at = *answered
	}
	return at
}
