package api

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"almondstand.dev/entry/engine"
	"almondstand.dev/entry/submission"
	"almondstand.dev/entry/task"
)

// completeBody is the body of a job whose every task completed.
type completeBody struct {
	Submission string             `json:"submission"`
	Outcome    submission.Outcome `json:"outcome"`
	Tasks      []completedTask    `json:"tasks"`
}

type completedTask struct {
	Payload []byte `json:"payload"`
	Length  int    `json:"length"`
	Digest  string `json:"digest"`
	RunTime string `json:"run_time"`
}

// failureBody is the body of every answer that reports a failure.
type failureBody struct {
	Submission string       `json:"submission,omitempty"`
	Error      errorBody    `json:"error"`
	Tasks      []failedTask `json:"tasks,omitempty"`
}

type errorBody struct {
	Code    Code     `json:"code"`
	Message string   `json:"message"`
	Ran     task.Ran `json:"ran"`
}

type failedTask struct {
	Ran  task.Ran `json:"ran"`
	Code Code     `json:"code"`
}

// stateBody reports the state of a submission: running, or its outcome.
type stateBody struct {
	Submission string             `json:"submission"`
	Outcome    submission.Outcome `json:"outcome"`
	Ran        task.Ran           `json:"ran"`
}

const (
	outcomeRunning submission.Outcome = "running"
	// codeCompleted is the code of a task that completed in a job that failed.
	codeCompleted Code = "completed"
)

// newAnswer encodes body as JSON. The body types of this package cannot fail to
// encode; the fallback exists for a type that is added later.
func newAnswer(status int, body any) submission.Response {
	b, err := json.Marshal(body)
	if err != nil {
		b = []byte(`{"error":{"code":"internal","message":"answer not encoded","ran":"unknown"}}`)
		status = http.StatusInternalServerError
	}
	return submission.Response{Status: status, Body: b, Digest: sha256.Sum256(b)}
}

// answer returns the response to a request that failed as a whole.
func (f *failure) answer(id string) submission.Response {
	a := newAnswer(f.status, failureBody{
		Submission: id,
		Error:      errorBody{Code: f.code, Message: f.message, Ran: f.ran},
	})
	a.RetryAfter = f.retryAfter
	a.Ran = f.ran
	a.Outcome = submission.Failed
	if f.ran == task.RanNo {
		a.Outcome = submission.Rejected
	}
	return a
}

// jobAnswer converts the engine's answer to a response.
func (s *Server) jobAnswer(id string, a *engine.Answer) submission.Response {
	if a.Complete() {
		return completeAnswer(id, a)
	}
	return s.failedAnswer(id, a)
}

func completeAnswer(id string, a *engine.Answer) submission.Response {
	tasks := make([]completedTask, len(a.Outcomes))
	for i, o := range a.Outcomes {
		tasks[i] = completedTask{
			Payload: orEmpty(o.Payload),
			Length:  len(o.Payload),
			Digest:  hex.EncodeToString(o.Digest),
			RunTime: milliseconds(o.RunTime),
		}
	}
	out := newAnswer(http.StatusOK, completeBody{Submission: id, Outcome: submission.Complete, Tasks: tasks})
	out.Outcome = submission.Complete
	out.Ran = task.RanYes
	return out
}

// milliseconds formats a duration in milliseconds and in ASCII only, so that
// callers in any language can parse it.
func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64) + "ms"
}

// orEmpty replaces nil by an empty slice, since JSON encodes nil as null.
func orEmpty(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

func (s *Server) failedAnswer(id string, a *engine.Answer) submission.Response {
	ran := a.Ran()
	tasks := make([]failedTask, len(a.Outcomes))
	for i, o := range a.Outcomes {
		tasks[i] = failedTask{Ran: o.Ran, Code: Code(o.Code)}
		if o.OK() {
			tasks[i].Code = codeCompleted
		}
	}
	message := a.Message
	if message == "" {
		message = "a task of the job failed"
	}
	status, outcome, retryAfter := s.failedJobStatus(a, ran)
	out := newAnswer(status, failureBody{
		Submission: id,
		Error:      errorBody{Code: Code(a.Code), Message: message, Ran: ran},
		Tasks:      tasks,
	})
	out.Outcome, out.Ran, out.RetryAfter = outcome, ran, retryAfter
	return out
}

// failedJobStatus returns the HTTP status, outcome and retry delay of a failed
// job. A job that every endpoint refused to start may be submitted again under
// the same id.
func (s *Server) failedJobStatus(a *engine.Answer, ran task.Ran) (int, submission.Outcome, time.Duration) {
	switch {
	case a.Code == task.CodeCancelled:
		return http.StatusConflict, submission.Cancelled, 0
	case a.Code == task.CodeDeadline:
		return http.StatusGatewayTimeout, submission.Failed, 0
	case a.Code == task.CodeRefused && ran == task.RanNo:
		return http.StatusServiceUnavailable, submission.Rejected, s.opts.RetryAfter
	}
	return http.StatusBadGateway, submission.Failed, 0
}

// cancelledAnswer returns the answer stored for a submission that is cancelled
// before its job is accepted.
func cancelledAnswer(id string) submission.Response {
	f := notStarted(http.StatusConflict, Code(task.CodeCancelled), "cancelled before it was run")
	a := f.answer(id)
	a.Outcome = submission.Cancelled
	return a
}
