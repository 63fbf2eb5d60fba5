package jobs

import (
	"almondstand.dev/dispatch/work"
	"almondstand.dev/telemetry/uptime"
)

// Attach registers the guard's session and its endpoint, and returns the runs that are open there.
// fresh is true if the guard is a new incarnation. Orders go to g from now on.
func (e *Engine) Attach(id, dataCentre string, fresh bool, g Guard) []work.RunID {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := uptime.Now()
	if fresh {
		e.plan.RecordGuardReplaced(now, id)
	}
	open := e.plan.AttachEndpoint(id, dataCentre, fresh)
	e.guards[id] = g
	e.applyActions(now)
	return open
}

// Detach marks the guard as unreachable, unless a newer session has replaced g.
func (e *Engine) Detach(id string, g Guard) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.guards[id] != g {
		return
	}
	delete(e.guards, id)
	e.plan.DetachEndpoint(id)
}

// Release removes the guard's endpoint if none of this entry's runs is open there. It returns
// false if there are open runs, or if a newer session has replaced g.
func (e *Engine) Release(id string, g Guard) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.guards[id] != g || !e.plan.ReleaseEndpoint(id) {
		return false
	}
	delete(e.guards, id)
	return true
}

// Guards returns the number of attached guards.
func (e *Engine) Guards() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.guards)
}

// Current reports whether g is the guard's newest session.
func (e *Engine) Current(id string, g Guard) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.guards[id] == g
}
