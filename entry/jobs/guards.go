package jobs

import (
	"almondstand.dev/dispatch/work"
	"almondstand.dev/telemetry/uptime"
)

// Attach makes a guard's endpoint known and returns its open runs. fresh is
// true when the guard is a new life. Orders go to g from now on.
func (e *Engine) Attach(id, zone string, fresh bool, g Guard) []work.RunID {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := e.plan.Attach(id, zone, fresh)
	e.guards[id] = g
	e.act(uptime.Now())
	return open
}

// Detach takes note that a guard can't be reached, unless a newer session has
// taken over.
func (e *Engine) Detach(id string, g Guard) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.guards[id] != g {
		return
	}
	delete(e.guards, id)
	e.plan.Detach(id)
}

// Release takes a guard's endpoint away when none of this entry's runs is left there. It
// returns false when there are some, or a newer session has taken over.
func (e *Engine) Release(id string, g Guard) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.guards[id] != g || !e.plan.Release(id) {
		return false
	}
	delete(e.guards, id)
	return true
}

// Guards counts the guards that are attached.
func (e *Engine) Guards() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.guards)
}

// Current reports whether a guard's session is the newest.
func (e *Engine) Current(id string, g Guard) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.guards[id] == g
}
