package api

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"net/http"
	"time"

	"almondstand.dev/entry/member"
	"almondstand.dev/entry/submission"
	"almondstand.dev/entry/task"
	"almondstand.dev/wire/wirev1"
)

// forwardMargin is added to the contract's answer time to get the timeout of a
// forwarded request. An owner answers within it unless its process is paused.
const forwardMargin = 2 * time.Second

// forward sends a request to the entry that owns the id. It returns an error
// only if ctx ends first.
func (s *Server) forward(ctx context.Context, t target, method wirev1.ForwardMethod, body []byte) (submission.Response, error) {
	if f := s.ownerFailure(t.id); f != nil {
		return f.answer(t.text), nil
	}
	s.metrics.forwarded.Inc(1)
	forwardCtx, cancel := context.WithTimeout(ctx, time.Duration(t.contract.AnswerTime)+forwardMargin)
	defer cancel()
	response, err := s.opts.Peers.Forward(forwardCtx, t.id.Entry, &wirev1.ForwardRequest{
		Method:        method,
		Submission:    t.text,
		Customer:      t.contract.Client,
		Body:          body,
		ToIncarnation: t.id.Incarnation,
	})
	if ctx.Err() != nil {
		return submission.Response{}, ctx.Err()
	}
	if err != nil {
		eventForwardFailed.Log(ctx, s.opts.Logger, slog.String("owner", t.id.Entry), slog.String("error", err.Error()))
		return s.forwardFailure(t.id).answer(t.text), nil
	}
	return forwardedAnswer(response), nil
}

// ownerFailure returns the failure to answer if the owner cannot be called, and
// nil if it is live.
func (s *Server) ownerFailure(id submission.ID) *failure {
	switch s.ownerStatus(id) {
	case member.Live:
		return nil
	case member.Gone:
		return ownerGone()
	}
	return s.ownerUnresponsive()
}

func ownerGone() *failure {
	return mayHaveRun(http.StatusGone, CodeSubmissionLost, "the entry that owned it is gone; it may have run: submit under a new id")
}

// ownerStatus returns the membership status of the owner of an id. An id that
// carries this entry's name belongs to an earlier incarnation, which is gone:
// the caller handles ids of the current incarnation itself.
func (s *Server) ownerStatus(id submission.ID) member.Status {
	if id.Entry == s.opts.EntryID {
		return member.Gone
	}
	return s.opts.Peers.Status(id.Entry, id.Incarnation)
}

// forwardFailure returns the failure after a forwarded call failed. It checks
// the owner's status again, since the owner may have died during the call.
func (s *Server) forwardFailure(id submission.ID) *failure {
	if f := s.ownerFailure(id); f != nil {
		return f
	}
	return s.ownerUnresponsive()
}

func (s *Server) ownerUnresponsive() *failure {
	f := mayHaveRun(http.StatusServiceUnavailable, CodeOwnerUnresponsive, "the entry that owns it does not answer; its job may run: ask again under the same id")
	f.retryAfter = s.opts.RetryAfter
	return f
}

func forwardedAnswer(r *wirev1.ForwardResponse) submission.Response {
	a := submission.Response{
		Status:     int(r.GetStatus()),
		Body:       r.GetBody(),
		Digest:     sha256.Sum256(r.GetBody()),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	return a
}

// HandleForward serves a request that another entry forwarded because this entry
// owns the id. The forwarding entry has authenticated the client.
func (s *Server) HandleForward(ctx context.Context, r *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error) {
	a, err := s.ownerAnswer(ctx, r)
	if err != nil {
		return nil, err
	}
	return &wirev1.ForwardResponse{
		Status:       uint32(a.Status),
		Body:         a.Body,
		RetryAfterMs: uint64(roundUp(a.RetryAfter, time.Millisecond)),
	}, nil
}

func (s *Server) ownerAnswer(ctx context.Context, r *wirev1.ForwardRequest) (submission.Response, error) {
	arrived := s.now()
	id, err := submission.Parse(r.GetSubmission())
	if err != nil {
		return stateFailure(submission.Unknown).answer(""), nil
	}
	if !s.opts.Table.Owns(id) {
		// The id belongs to another incarnation, of whose jobs this one has no
		// record.
		return ownerGone().answer(r.GetSubmission()), nil
	}
	text, client := r.GetSubmission(), r.GetCustomer()
	switch r.GetMethod() {
	case wirev1.ForwardMethod_FORWARD_METHOD_SUBMIT:
		b := &body{bytes: r.GetBody(), digest: sha256.Sum256(r.GetBody())}
		return s.submit(ctx, job{id: id, text: text, client: client, body: b, arrived: arrived})
	case wirev1.ForwardMethod_FORWARD_METHOD_FETCH:
		return s.lookUp(id, text, client), nil
	case wirev1.ForwardMethod_FORWARD_METHOD_CANCEL:
		return s.cancel(ctx, id, text, client)
	}
	return (&failure{status: http.StatusBadRequest, code: CodeBadRequest, message: "unknown method", ran: task.RanUnknown}).answer(text), nil
}
