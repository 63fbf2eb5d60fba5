package side

import (
	"github.com/uber-go/tally/v4"

	"almondstand.dev/wire/httplimit"
)

// Each listener has limits of its own, so that a crowd at one of them leaves the other reachable. The rest is
// for the runs and the sessions with entries.
const (
	reportsShare = 1. / 8
	metricsShare = 1. / 32
	// defaultMemoryMB is the memory of the process if neither the settings nor the host name less.
	defaultMemoryMB = 128
	// softMemoryShare is the share of the memory from which on garbage is collected more often.
	softMemoryShare = 3. / 4
)

// limits returns the limits of a listener.
func (h Host) limits(listener string, share float64, scope tally.Scope) httplimit.Options {
	return httplimit.Options{
		Memory:      int64(share * float64(h.memory())),
		Connections: int(share * float64(h.MaxFiles)),
		Listener:    listener,
		Scope:       scope,
	}
}

// memory returns the memory in bytes.
func (h Host) memory() int64 { return httplimit.ProcessMemory(h.MemoryMB, defaultMemoryMB) }
