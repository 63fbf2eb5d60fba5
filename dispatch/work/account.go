package work

import "time"

// RunName identifies a run at its runner. Number rises with each start of the task there.
type RunName struct {
	Task   TaskID
	Number int
}

// How is the way in which a run ended at its runner.
type How int

// Values of How.
const (
	// Broken: ended before its work was done, because it was stopped, its lease expired, or it
	// ended together with other runs.
	Broken How = iota
	Done
	Failed
)

// End is the end of a run. Seq rises within one process of the runner.
type End struct {
	Seq int64
	Run RunName
	How How
}

// Account is the report of a runner's process on its running and ended runs.
type Account struct {
	// Born is the start time of the process in Unix milliseconds; zero if the runner does not
	// report it.
	Born int64
	// Clock is the runner's own clock at the time of the report.
	Clock   time.Duration
	Running []RunName
	Ends    []End
	// More is true if not all ends are listed.
	More bool
}
