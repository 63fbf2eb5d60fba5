package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/engine"
	"almondstand.dev/entry/submission"
	"almondstand.dev/entry/task"
)

// Code identifies a kind of failure in an error body and does not change between
// releases. The code of a failed task is a task.Code.
type Code string

// Codes of failures that are not caused by a task.
const (
	CodeBadRequest           Code = "bad_request"
	CodeDigestMismatch       Code = "digest_mismatch"
	CodeUnauthenticated      Code = "unauthenticated"
	CodeContractRetired      Code = "contract_retired"
	CodeServiceForbidden     Code = "service_not_allowed"
	CodeServiceUnknown       Code = "unknown_service"
	CodeUnknownSubmission    Code = "unknown_submission"
	CodeNotFound             Code = "not_found"
	CodeMethodNotAllowed     Code = "method_not_allowed"
	CodeBodyTimeout          Code = "body_timeout"
	CodeBodyDiffers          Code = "body_differs"
	CodeAnswerEvicted        Code = "answer_evicted"
	CodeSubmissionExpired    Code = "submission_expired"
	CodeSubmissionLost       Code = "submission_lost"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeUnsupportedMediaType Code = "unsupported_media_type"
	CodeJobTooLarge          Code = "job_too_large"
	CodeOverQuota            Code = "over_quota"
	CodeBacklog              Code = "backlog"
	CodeDraining             Code = "draining"
	CodeIsolated             Code = "isolated"
	CodeNoEndpoint           Code = "no_endpoint"
	CodeQueueFull            Code = "queue_full"
	CodeBusy                 Code = "busy"
	CodeOwnerUnresponsive    Code = "owner_silent"
	CodeInternal             Code = "internal"
)

// failure describes why a request failed.
type failure struct {
	status     int
	code       Code
	message    string
	ran        task.Ran
	retryAfter time.Duration
}

// notStarted returns the failure of a request that started no task.
func notStarted(status int, code Code, format string, args ...any) *failure {
	return &failure{status: status, code: code, message: fmt.Sprintf(format, args...), ran: task.RanNo}
}

// retryLater is like notStarted, and tells the caller when to retry.
func retryLater(status int, code Code, retryAfter time.Duration, message string) *failure {
	return &failure{status: status, code: code, message: message, ran: task.RanNo, retryAfter: retryAfter}
}

// mayHaveRun returns the failure of a request whose job may be running or may
// have run.
func mayHaveRun(status int, code Code, message string) *failure {
	return &failure{status: status, code: code, message: message, ran: task.RanUnknown}
}

// withUnknownRan returns a copy of f for a request under an id whose owner was
// not consulted: an earlier request under the same id may have run, so ran is
// unknown rather than no.
func (f *failure) withUnknownRan() *failure {
	copied := *f
	copied.ran = task.RanUnknown
	return &copied
}

// stateFailure returns the failure for an id without a running job or a kept
// answer.
func stateFailure(state submission.State) *failure {
	switch state {
	case submission.Evicted:
		return mayHaveRun(http.StatusGone, CodeAnswerEvicted, "it was accepted; its answer is no longer kept, and it never runs again")
	case submission.Expired:
		return mayHaveRun(http.StatusGone, CodeSubmissionExpired, "the id is too old to tell whether it was used; it never runs now")
	case submission.Conflict:
		return mayHaveRun(http.StatusConflict, CodeBodyDiffers, "the id was used for another body; this one was not run")
	case submission.Unused:
		return notStarted(http.StatusNotFound, CodeUnknownSubmission, "no job was submitted under this id")
	}
	return notStarted(http.StatusNotFound, CodeUnknownSubmission, "no such submission id of this customer")
}

// rejectionFailure converts the engine's rejection of a job to a failure.
func (s *Server) rejectionFailure(err error) *failure {
	retryAfter := s.opts.RetryAfter
	var r *engine.Refusal
	if errors.As(err, &r) && r.RetryAfter > 0 {
		retryAfter = r.RetryAfter
	}
	switch {
	case errors.Is(err, engine.ErrDraining):
		return s.draining()
	case errors.Is(err, scheduler.ErrBacklog):
		return retryLater(http.StatusTooManyRequests, CodeBacklog, retryAfter, "the backlog is too long for the answer time of the contract")
	case errors.Is(err, scheduler.ErrNoEndpoint):
		return retryLater(http.StatusServiceUnavailable, CodeNoEndpoint, retryAfter, "no endpoint of the service is known now")
	case errors.Is(err, scheduler.ErrQueueFull):
		return retryLater(http.StatusServiceUnavailable, CodeQueueFull, retryAfter, "the queue of the service is full")
	}
	return retryLater(http.StatusServiceUnavailable, CodeBusy, retryAfter, "the job was not taken")
}

func (s *Server) draining() *failure {
	return retryLater(http.StatusServiceUnavailable, CodeDraining, s.opts.RetryAfter, "this entry is shutting down; submit under a new id")
}
