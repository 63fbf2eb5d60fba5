// Package task defines the types that the packages of an entry exchange about one task: the
// call to an endpoint and its final outcome.
package task

import (
	"context"
	"time"

	"almondstand.dev/dispatch/scheduler"
)

// Ran says whether a task started. It is part of every failure that a caller sees.
type Ran string

// Values of Ran.
const (
	// RanNo: the task did not start and never will; reported only when that is certain.
	RanNo Ran = "no"
	// RanYes: the task started.
	RanYes Ran = "yes"
	// RanUnknown: the task may have started.
	RanUnknown Ran = "unknown"
)

// Code identifies a kind of failure. Codes are part of the callers' API and stay stable.
type Code string

// Codes of task failures.
const (
	CodeRefused   Code = "endpoint_refused" // the endpoint rejected the start; the retry budget is exhausted
	CodeFailed    Code = "task_failed"      // the runner answered with an error
	CodeTruncated Code = "answer_truncated" // the runner's answer was incomplete
	CodeRunLimit  Code = "run_limit"        // stopped after the contract's run limit
	CodeCancelled Code = "cancelled"
	CodeLost      Code = "endpoint_lost" // no contact with the endpoint within the retry budget
	CodeDeadline  Code = "answer_time"   // the answer time passed
)

// Call is one start of a task on an endpoint.
type Call struct {
	Assignment scheduler.Assignment
	Submission string
	Client     string
	Service    string
	Kind       string
	Payload    []byte
	Priority   int
	// Deadline is the time after which the answer is useless to the caller.
	Deadline time.Time
	// RunLimit is the longest run time that the contract allows.
	RunLimit time.Duration
}

// Outcome is the final result of one start. It does not change once it is known.
type Outcome struct {
	// Code is empty if the task completed.
	Code    Code
	Message string
	Ran     Ran
	// Payload and Digest (SHA-256) are set if the task completed.
	Payload []byte
	Digest  []byte
	// RunTime is the time at the runner, WaitTime the time in a guard's queue.
	RunTime  time.Duration
	WaitTime time.Duration
}

// OK reports whether the task completed.
func (o Outcome) OK() bool { return o.Code == "" }

// Starter starts tasks on endpoints. Start returns exactly one final outcome. If a reply is lost,
// Start queries the endpoint for it as long as the call's deadline allows. When ctx ends the task
// is cancelled: a task that has not started is prevented from starting, a running one is stopped.
type Starter interface {
	Start(ctx context.Context, c Call) Outcome
}

// EndpointSink receives endpoint updates: endpoints that are added, report their state, or are
// removed. The job engine implements it; the fleet calls it from any goroutine.
type EndpointSink interface {
	SetEndpoint(service string, e scheduler.Endpoint)
	RemoveEndpoint(service string, id scheduler.EndpointID)
	ApplyReport(service string, id scheduler.EndpointID, r scheduler.Report)
}
