package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Ran tells whether a job or task has started.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// codeDraining is the error code of an entry that is shutting down.
const codeDraining = "draining"

// Result is the response of an entry.
type Result struct {
	Submission string `json:"submission"`
	Complete   bool   `json:"complete"`
	Status     int    `json:"status"`
	// Code and Message are set unless Complete.
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	Ran     Ran    `json:"ran"`
	Tasks   []Task `json:"tasks,omitempty"`
	// Attempts is the number of requests that submitted the job.
	Attempts int `json:"attempts"`
}

// Task is one task of a result.
type Task struct {
	// Payload, Length, Digest (SHA-256, hex) and RunTime are set if the job is
	// complete.
	Payload []byte `json:"payload,omitempty"`
	Length  int    `json:"length,omitempty"`
	Digest  string `json:"digest,omitempty"`
	RunTime string `json:"run_time,omitempty"`
	// Ran and Code are set if the job is not complete.
	Ran  Ran    `json:"ran,omitempty"`
	Code string `json:"code,omitempty"`
}

// body is the union of the response bodies of an entry.
type body struct {
	Submission string `json:"submission"`
	Error      *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     Ran    `json:"ran"`
	} `json:"error"`
	Ran   Ran    `json:"ran"`
	Tasks []Task `json:"tasks"`
}

// decodeResult decodes a response. It verifies the payloads of a complete job against
// their lengths and digests.
func decodeResult(status int, raw []byte) (Result, error) {
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return Result{}, fmt.Errorf("%w: status %d: %w", ErrCorruptResponse, status, err)
	}
	out := Result{Submission: b.Submission, Status: status, Tasks: b.Tasks, Ran: RanUnknown}
	switch {
	case status == http.StatusOK:
		out.Complete, out.Ran = true, RanYes
		return out, checkTasks(b.Tasks)
	case b.Error != nil:
		out.Code, out.Message, out.Ran = b.Error.Code, b.Error.Message, b.Error.Ran
	case status == http.StatusAccepted:
		out.Message = "the job is running"
	}
	return out, nil
}

func checkTasks(tasks []Task) error {
	for i, t := range tasks {
		sum := sha256.Sum256(t.Payload)
		if len(t.Payload) != t.Length || hex.EncodeToString(sum[:]) != t.Digest {
			return fmt.Errorf("%w: task %d", ErrCorruptResponse, i)
		}
	}
	return nil
}

// retryAfter returns the retry delay that a response asks for. Retry-After-Ms, which has the
// finer resolution, takes precedence over Retry-After.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get("Retry-After-Ms"), 10, 64); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.ParseInt(h.Get("Retry-After"), 10, 64); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return 0
}
