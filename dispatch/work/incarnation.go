package work

import "fmt"

// Incarnation names one process of a runner. It is compared whole: a process may be started
// under the id of the one before it.
type Incarnation struct {
	ID string
	// Born is when the process was started, Unix milliseconds; zero where the runner doesn't say.
	Born int64
}

// String names the incarnation for logs.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return fmt.Sprintf("%s@%d", i.ID, i.Born)
}
