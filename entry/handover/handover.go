// Package handover carries jobs from one entry to another, and their answers back. Each pair of
// entries uses one stream while jobs are under way between them.
package handover

import (
	"errors"
	"time"

	"almondstand.dev/dispatch/work"
)

// Errors of a hand-over.
var (
	// ErrNotTaken means that the other entry has ordered no task of the job and will order none.
	ErrNotTaken = errors.New("handover: job not taken")
	// ErrLost means that the connection ended after the job was sent: its tasks may have run.
	ErrLost = errors.New("handover: connection to the other entry lost")
)

// Job is a job that is handed over.
type Job struct {
	Work work.Job
	// Contract is the name of the job's contract.
	Contract string
	// TimeLeft is the time until the caller's deadline, and Waited that since the caller's request
	// arrived.
	TimeLeft, Waited time.Duration
}
