package work

import "fmt"

// Incarnation identifies one process of a runner. Both fields are compared: a process may be
// started under the id of the one before it.
type Incarnation struct {
	ID string
	// StartedMilli is the start time of the process in Unix milliseconds; zero if the runner does not
	// report it.
	StartedMilli int64
}

// String returns the incarnation as written in logs.
func (i Incarnation) String() string {
	if i.StartedMilli == 0 {
		return i.ID
	}
	return fmt.Sprintf("%s@%d", i.ID, i.StartedMilli)
}
