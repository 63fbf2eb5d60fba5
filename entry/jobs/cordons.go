package jobs

import (
	"almondstand.dev/contract/cordon"
	"almondstand.dev/telemetry/uptime"
)

// SetCordons applies the cordoned data centres and informs the guards whose endpoints they change,
// without waiting for the next heartbeat. A set that is not newer is ignored.
func (e *Engine) SetCordons(set *cordon.Set) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.cordons
	if !set.Newer(previous) {
		return
	}
	e.cordons = set
	if set.Same(previous) {
		return
	}
	for _, id := range e.plan.SetCordons(set.DataCentres()) {
		if g := e.guards[id]; g != nil {
			g.Wake()
		}
	}
	e.applyActions(uptime.Now())
}

// Cordons returns the cordoned data centres, or nil while they are unknown.
func (e *Engine) Cordons() *cordon.Set {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cordons
}
