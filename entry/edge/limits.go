package edge

import (
	"net/http"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/platform/ingress"
	"almondstand.dev/wire/httplimit"
)

// Each listener has limits of its own, so that a crowd at one of them leaves the others reachable. The rest
// of the memory is for the jobs and the state of the deployment, the rest of the descriptors for connections
// to the store and to other entries.
const (
	callersMemoryShare = 1. / 4
	callersFilesShare  = 3. / 8
	fleetMemoryShare   = 1. / 4
	fleetFilesShare    = 3. / 8
	// smallShare is that of the readiness check and of the metrics.
	smallShare = 1. / 32
	// defaultMemoryMB is the memory of the process if neither the settings nor the host name less.
	defaultMemoryMB = 256
	// softMemoryShare is the share of the memory from which on garbage is collected more often.
	softMemoryShare = 3. / 4
)

// limits returns the limits of a listener.
func (h Host) limits(listener string, memoryShare, filesShare float64, scope tally.Scope) httplimit.Options {
	return httplimit.Options{
		Memory:      int64(memoryShare * float64(h.memory())),
		Connections: int(filesShare * float64(h.MaxFiles)),
		Listener:    listener,
		Scope:       scope,
	}
}

// memory returns the memory in bytes.
func (h Host) memory() int64 { return httplimit.ProcessMemory(h.MemoryMB, defaultMemoryMB) }

// callersLimits are the limits of the callers' listener.
func (h Host) callersLimits(scope tally.Scope) httplimit.Options {
	o := h.limits("callers", callersMemoryShare, callersFilesShare, scope)
	o.Headers = ingress.Headers()
	return o
}

// smallServer returns the server of a listener for small requests, and its limits.
func (h Host) smallServer(listener string, handler http.Handler, scope tally.Scope) (*http.Server, httplimit.Options) {
	return httplimit.NewServer(handler), h.limits(listener, smallShare, smallShare, scope)
}
