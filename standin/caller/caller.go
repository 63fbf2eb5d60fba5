// Package caller is a stand-in for the platform's callers: what they send.
package caller

import (
	"encoding/json"
	"strings"

	"almondstand.dev/standin/worker"
)

// DeadlineHeader tells how long the caller waits, milliseconds.
const DeadlineHeader = "X-Almondstand-Deadline-Ms"

// Job is one job of a single step.
type Job struct {
	Tasks int
	// Ms is how long a task runs, and what the caller declares.
	Ms int
	// CrashMs has each task end its runner's process so long after its start; zero for none.
	CrashMs int
	// CPU of a task, thousandths of a core.
	CPU   int64
	Fails bool
}

// Body is the job as it is sent.
func (j Job) Body() []byte {
	spec, _ := json.Marshal(worker.Spec{Ms: j.Ms, CPU: j.CPU, Fails: j.Fails, CrashMs: j.CrashMs})
	body, _ := json.Marshal(map[string]any{
		"task_spec": string(spec), "best_effort": true,
		"steps": []map[string]any{{"count": j.Tasks, "cpu": j.CPU, "mem_mb": 64, "est_runtime_ms": j.Ms}},
	})
	return body
}

// Faulty is a body that must be turned away.
type Faulty struct {
	Name   string
	Body   string
	Status int
	// State is what an answer of status 200 says.
	State string
}

// FaultyBodies returns one body for each kind of mistake, for a limit of 64 KiB.
func FaultyBodies() []Faulty {
	return []Faulty{
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
