package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/task"
	"almondstand.dev/wire/wirev1"
)

// "Yes" requires a response of the runner; if the guard gave up on a call, there is
// none.
func TestFailureCodesMapToRan(t *testing.T) {
	for code, want := range map[wirev1.FailureCode]task.Ran{
		wirev1.FailureCode_FAILURE_CODE_RUNNER_ERROR:   task.RanYes,
		wirev1.FailureCode_FAILURE_CODE_TRUNCATED:      task.RanYes,
		wirev1.FailureCode_FAILURE_CODE_RESULT_DROPPED: task.RanYes,
		wirev1.FailureCode_FAILURE_CODE_RUNNER_LOST:    task.RanUnknown,
		wirev1.FailureCode_FAILURE_CODE_RUN_LIMIT:      task.RanUnknown,
		wirev1.FailureCode_FAILURE_CODE_CANCELLED:      task.RanUnknown,
		// A code that only a newer guard knows, and a missing code.
		wirev1.FailureCode(99):                      task.RanUnknown,
		wirev1.FailureCode_FAILURE_CODE_UNSPECIFIED: task.RanUnknown,
	} {
		_, ran := failureOutcome(code)
		assert.Equal(t, ran, want, "%s", code)
	}
}
