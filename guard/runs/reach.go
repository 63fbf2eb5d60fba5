package runs

// RunnerDown records that the runner can't be reached. Until RunnerUp no starts are
// accepted and no stops are sent: each would be a connection that fails, for every run, every few
// milliseconds. The leases expire meanwhile. RunnerDown returns true if that is news.
func (t *Table) RunnerDown() bool {
	if t.down {
		return false
	}
	t.down = true
	return true
}

// RunnerUp records that the runner can be reached.
func (t *Table) RunnerUp() { t.down = false }

// RunnerIsDown reports whether the runner can't be reached.
func (t *Table) RunnerIsDown() bool { return t.down }
