// Package caller is a stand-in for the platform's callers. It builds the requests
// that they send.
package caller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"

	"almondstand.dev/standin/worker"
)

// DeadlineHeader is the header with the time that the caller waits for the response, in
// milliseconds.
const DeadlineHeader = "X-Almondstand-Deadline-Ms"

// Job is a job with a single step.
type Job struct {
	Tasks int
	// Ms is the run time of a task in milliseconds.
	Ms int
	// EstimateMs is the run time that the caller declares instead of Ms, in milliseconds;
	// zero for Ms.
	EstimateMs int
	// CrashMs makes each task crash its runner's process this many milliseconds after the
	// start of the task; zero for no crash.
	CrashMs int
	// CPU is the CPU request of a task, in millicores.
	CPU   int64
	Fails bool
	// Label is the label that the runners of the tasks must have; empty for none.
	Label string
}

// Body returns the body of the request that submits the job.
func (j Job) Body() []byte {
	spec, _ := json.Marshal(worker.Spec{Ms: j.Ms, CPU: j.CPU, Fails: j.Fails, CrashMs: j.CrashMs, Label: j.Label})
	step := map[string]any{"count": j.Tasks, "cpu": j.CPU, "mem_mb": 64, "est_runtime_ms": cmp.Or(j.EstimateMs, j.Ms)}
	if j.Label != "" {
		step["required_label"] = j.Label
	}
	body, _ := json.Marshal(map[string]any{"task_spec": string(spec), "best_effort": true, "steps": []map[string]any{step}})
	return body
}

// ManySteps returns a body of about the given size with as many steps as fit, each of a few bytes. It is
// rejected: a job may have 100 steps.
func ManySteps(bytes int) []byte {
	const step = ",{}"
	return fmt.Appendf(nil, `{"task_spec":"","best_effort":true,"steps":[{}%s]}`, strings.Repeat(step, bytes/len(step)))
}

// InvalidBody is an invalid body, which must be rejected or make the job fail.
type InvalidBody struct {
	Name   string
	Body   string
	Status int
	// State is the job state in a response with status 200.
	State string
}

// InvalidBodies returns one body for each kind of error. The one that is too large exceeds
// a body limit of 64 KiB.
func InvalidBodies() []InvalidBody {
	return []InvalidBody{
		{"no JSON", "{", 400, ""},
		{"wrong kind", `{"best_effort":true,"steps":[{"count":"four"}]}`, 400, ""},
		{"no steps", `{"best_effort":true,"steps":[]}`, 400, ""},
		{"negative", `{"best_effort":true,"steps":[{"count":1,"cpu":-1}]}`, 400, ""},
		{"forward reference", `{"best_effort":true,"steps":[{"count":1,"after":[0]}]}`, 400, ""},
		{"too large", `{"task_spec":"` + strings.Repeat("x", 70000) + `"}`, 413, ""},
		{"to be stored", `{"steps":[{"count":1}]}`, 503, ""},
		{"fits no runner", `{"best_effort":true,"steps":[{"count":1,"cpu":64000}]}`, 200, "failed"},
	}
}
