// Package handover carries jobs from one entry to another, and their answers back. Each pair of
// entries uses one stream while jobs are in flight between them.
package handover

import (
	"errors"
	"sync/atomic"
	"time"

	"almondstand.dev/dispatch/work"
)

// Errors of a handover.
var (
	// ErrNotTaken means that the other entry has ordered no task of the job and will order none.
	ErrNotTaken = errors.New("handover: job not taken")
	// ErrLost means that the connection ended after the job was sent: its tasks may have run.
	ErrLost = errors.New("handover: connection to the other entry lost")
)

// Timing of a stream.
const (
	// connectTimeout is for the connection and the exchange of the first messages: a hundred times the
	// latency between data centres. Jobs wait for it, which then run at the first entry.
	connectTimeout = 100 * time.Millisecond
	// connectParts is the number of sleeps that make up connectTimeout. Each ends late by as much as this
	// process handles events late, and a connection takes some four events: an entry that is short of
	// processor time must not take its own lateness for that of the other entry.
	connectParts = 4
	// heartbeatInterval is the longest pause between two messages while jobs are in flight, so that three
	// in a row may be late.
	heartbeatInterval = 100 * time.Millisecond
	// silenceLimit ends a stream with jobs in flight. The called entry then cancels the jobs: their stops
	// reach the guards within 25 ms, and if a runner does not answer a stop, its lease ends 630 ms later
	// and the run 50 ms after that. The caller submits the job again 1.3 s after its connection broke.
	silenceLimit = 400 * time.Millisecond
	// idleTimeout is how long a stream is kept after its last job. A new one costs both entries a
	// connection and the job one more round trip.
	idleTimeout = 5 * time.Second
	// readGrace is the time for reading what has already arrived on a stream that is about to be ended:
	// answers may be among it, and a process that was suspended has read nothing.
	readGrace = 50 * time.Millisecond
)

// errSilent means that nothing was received for silenceLimit while jobs were in flight.
var errSilent = errors.New("handover: the other entry is silent")

// Job is a job that is handed over.
type Job struct {
	Work work.Job
	// Contract is the name of the job's contract, and TermsDigest the digest of the terms under which the
	// job was accepted. Entries read the configuration at different times.
	Contract    string
	TermsDigest uint64
	// TimeLeft is the time until the caller's deadline, and Waited that since the caller's request
	// arrived.
	TimeLeft, Waited time.Duration
}

// lastHeard is the uptime at which the other end of a stream was last known to be alive.
type lastHeard struct{ at atomic.Int64 }

// record records that the other end was alive at a time.
func (l *lastHeard) record(at time.Duration) { l.at.Store(int64(max(at, l.time()))) }

func (l *lastHeard) time() time.Duration { return time.Duration(l.at.Load()) }

// silent reports whether the other end has been silent for too long. Only the clock decides: the timers
// of a process that was suspended fire some time after it resumes.
func (l *lastHeard) silent(now time.Duration) bool { return now-l.time() >= silenceLimit }

// untilSilent returns the time until the other end will have been silent for too long.
func (l *lastHeard) untilSilent(now time.Duration) time.Duration {
	return silenceLimit - (now - l.time())
}

// signal wakes the goroutine that sends, without blocking.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
