package worker

import "slices"

// Call describes a request to a runner.
type Call struct {
	// Path is StartPath, StopPath or PollPath.
	Path string
	// Task and Run are empty for polls.
	Task string
	Run  int
	// Copy numbers the copies of a start or stop of a run, from 1; 0 for polls.
	Copy int
}

// FirstStarts selects the first copy of each start; the copies sent again are answered.
func FirstStarts(c Call) bool { return c.Path == StartPath && c.Copy == 1 }

// AllStarts selects all starts.
func AllStarts(c Call) bool { return c.Path == StartPath }

// heldRequest is a request that Fault.Hold selected.
type heldRequest struct {
	path, instance string
	body           requestBody
}

// hold holds a request if the fault selects it. The caller holds the lock.
func (r *Runner) hold(path string, b requestBody) bool {
	if r.fault.Hold == nil {
		return false
	}
	call := Call{Path: path}
	if path != PollPath {
		call.Task, call.Run = b.Task, b.Run
		if r.copies == nil {
			r.copies = map[Call]int{}
		}
		r.copies[call]++
		call.Copy = r.copies[call]
	}
	selected := r.fault.Hold(call)
	if selected {
		r.held = append(r.held, heldRequest{path, r.instance, b})
		r.recordRequest(b, "held")
	}
	return selected
}

// Held returns the number of held requests with a path.
func (r *Runner) Held(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, h := range r.held {
		if h.path == path {
			n++
		}
	}
	return n
}

// ExecuteHeld executes the held requests with a path that were sent to the current instance,
// without a response.
func (r *Runner) ExecuteHeld(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executeHeld(path)
}

// executeHeld implements ExecuteHeld; the empty path stands for every path. The caller holds the
// lock.
func (r *Runner) executeHeld(path string) {
	r.held = slices.DeleteFunc(r.held, func(h heldRequest) bool {
		selected := h.instance == r.instance && (path == "" || path == h.path)
		if selected {
			r.execute(h.path, h.body)
		}
		return selected
	})
}

// RestartExecutingHeld is Restart with a process that executes the held requests of the instance
// before it serves any other.
func (r *Runner) RestartExecutingHeld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kill()
	r.restart(true)
}
