package work

import "time"

// RunnerRunID identifies a run at its runner. Number rises with each start of the task there.
type RunnerRunID struct {
	Task   TaskID
	Number int
}

// EndState is the way in which a run ended at its runner.
type EndState int

// Values of EndState.
const (
	// Interrupted: ended before its work was done, because it was stopped, its lease expired, or it
	// ended together with other runs.
	Interrupted EndState = iota
	Done
	Failed
)

// End is the end of a run. Seq rises within one process of the runner.
type End struct {
	Seq   int64
	Run   RunnerRunID
	State EndState
}

// Listing is the report of a runner's process on its running and ended runs.
type Listing struct {
	// StartedMilli is the start time of the process in Unix milliseconds; zero if the runner does not
	// report it.
	StartedMilli int64
	// Clock is the runner's own clock at the time of the report.
	Clock   time.Duration
	Running []RunnerRunID
	// Progress is the progress of the running runs; it has no entry for a run whose progress the
	// runner does not report.
	Progress map[RunnerRunID]Progress
	Ends     []End
	// More is true if not all ends are listed.
	More bool
	// UnreadableRuns and UnreadableEnds are the numbers of rows of running and ended runs that could not be
	// read. Each may be of any run.
	UnreadableRuns, UnreadableEnds int
}
