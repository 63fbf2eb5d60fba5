package work

import "time"

// RunName names a run at its runner. Numbers rise with each start of a task there.
type RunName struct {
	Task   TaskID
	Number int
}

// How a run ended at its runner.
type How int

// Ends of a run.
const (
	// Broken: ended without its work done: stopped, lapsed, or with its peers.
	Broken How = iota
	Done
	Failed
)

// End of a run. Seq rises in one process of the runner.
type End struct {
	Seq int64
	Run RunName
	How How
}

// Account is the word of a runner's process on what runs and what ended.
type Account struct {
	// Born is when the process was started, Unix milliseconds; zero where it doesn't say.
	Born int64
	// Clock is the runner's own, when it answered.
	Clock   time.Duration
	Running []RunName
	Ends    []End
	// More is true when not every end is listed.
	More bool
}
