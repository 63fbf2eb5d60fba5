package fleet

import (
	"bytes"
	"crypto/sha256"
	"time"

	"almondstand.dev/entry/task"
	"almondstand.dev/wire/wirev1"
)

func failure(code task.Code, ran task.Ran, message string) task.Outcome {
	return task.Outcome{Code: code, Ran: ran, Message: message}
}

// reportOutcome converts a guard's report into the final outcome. final is false while
// the task waits or runs, and if the result is incomplete or corrupt.
func reportOutcome(r *wirev1.TaskReport) (o task.Outcome, final bool) {
	switch r.GetState() {
	case wirev1.TaskState_TASK_STATE_FINISHED:
		return resultOutcome(r.GetResult())
	case wirev1.TaskState_TASK_STATE_NEVER_STARTED:
		return notStartedOutcome(r.GetReason()), true
	case wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION:
		return failure(task.CodeLost, task.RanUnknown, "guard does not know the session"), true
	case wirev1.TaskState_TASK_STATE_WRONG_INCARNATION:
		return failure(task.CodeLost, task.RanUnknown, "guard was restarted"), true
	case wirev1.TaskState_TASK_STATE_SETTLED:
		return failure(task.CodeLost, task.RanUnknown, "guard holds the task as settled"), true
	default:
		return task.Outcome{}, false
	}
}

func resultOutcome(r *wirev1.Result) (task.Outcome, bool) {
	if r == nil {
		return task.Outcome{}, false
	}
	o := task.Outcome{
		Ran:      task.RanYes,
		RunTime:  time.Duration(r.GetRunUs()) * time.Microsecond,
		WaitTime: time.Duration(r.GetWaitUs()) * time.Microsecond,
	}
	if !r.GetOk() {
		o.Code, o.Ran = failureOutcome(r.GetFailure())
		o.Message = r.GetMessage()
		return o, true
	}
	if !payloadIntact(r) {
		return task.Outcome{}, false
	}
	o.Payload = r.GetPayload()
	o.Digest = r.GetDigest()
	return o, true
}

// payloadIntact reports whether the payload is what the guard received from the runner.
func payloadIntact(r *wirev1.Result) bool {
	if uint64(len(r.GetPayload())) != r.GetLength() {
		return false
	}
	digest := sha256.Sum256(r.GetPayload())
	return bytes.Equal(digest[:], r.GetDigest())
}

func failureOutcome(code wirev1.FailureCode) (task.Code, task.Ran) {
	switch code {
	case wirev1.FailureCode_FAILURE_CODE_TRUNCATED:
		return task.CodeTruncated, task.RanYes
	// Both codes refer to the guard's call to the runner, not to the execution there. If
	// the connection lost the call, the result looks the same as for a task that takes
	// too long: no response from the runner. With RanYes here, "yes" would be reported
	// for tasks that never started.
	case wirev1.FailureCode_FAILURE_CODE_RUN_LIMIT:
		return task.CodeRunLimit, task.RanUnknown
	case wirev1.FailureCode_FAILURE_CODE_CANCELLED:
		return task.CodeCancelled, task.RanUnknown
	case wirev1.FailureCode_FAILURE_CODE_RUNNER_LOST:
		return task.CodeLost, task.RanUnknown
	case wirev1.FailureCode_FAILURE_CODE_RESULT_DROPPED:
		return task.CodeLost, task.RanYes
	case wirev1.FailureCode_FAILURE_CODE_RUNNER_ERROR:
		return task.CodeFailed, task.RanYes
	default:
		// A code of a newer guard: it is not known whether the runner answered.
		return task.CodeFailed, task.RanUnknown
	}
}

func notStartedOutcome(reason wirev1.RefusalReason) task.Outcome {
	message := reason.String()
	switch reason {
	case wirev1.RefusalReason_REFUSAL_REASON_BUDGET_SPENT:
		return failure(task.CodeDeadline, task.RanNo, message)
	case wirev1.RefusalReason_REFUSAL_REASON_CANCELLED:
		return failure(task.CodeCancelled, task.RanNo, message)
	default:
		return failure(task.CodeRefused, task.RanNo, message)
	}
}
