// Package registration holds the registration of the runner that announced itself
// to this guard.
package registration

import (
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/guard/runner"
	"almondstand.dev/guard/slots"
)

// Errors of Announce, after which the registration is unchanged.
var (
	// ErrOccupied is returned while the registration of another runner is in
	// force.
	ErrOccupied = errors.New("another runner is registered here and its ttl has not passed")
	// ErrService is returned if the runner serves another service than the
	// guard's settings require.
	ErrService = errors.New("the guard's settings name another service")
	// ErrDataCentre is returned if the runner is in another data centre than the guard.
	ErrDataCentre = errors.New("the guard's settings name another zone")
)

// Announcement is a runner's description of itself.
type Announcement struct {
	Service     string
	Address     netip.AddrPort
	Slots       int
	Connections int
	// DataCentre is the runner's data centre; it may be empty.
	DataCentre string
	TTL        time.Duration
	Leaving    bool
}

// Runner is a registered runner. It is immutable.
type Runner struct {
	Announcement
	Client    *runner.Client
	expiresAt time.Time
}

// State returns the runner's state for the slot table. It counts no more slots
// than connections: a task on a slot without a connection of its own would wait
// in the HTTP transport and count as running.
func (r *Runner) State() slots.Runner {
	if r == nil {
		return slots.Runner{}
	}
	return slots.Runner{
		Present:  true,
		Draining: r.Leaving,
		Slots:    min(r.Slots, r.Connections),
	}
}

// Options configure a Registry.
type Options struct {
	// Service, if set, is the only service that a runner may announce.
	Service    string
	DataCentre string
	// NewClient returns the client for a runner.
	NewClient func(address string, connections int) *runner.Client
	// OnChange is called after every change of the runner's state or service, one
	// call at a time, with nil if there is no runner any more.
	OnChange func(*Runner)
}

// Registry holds the current runner. It is safe for concurrent use.
type Registry struct {
	opts    Options
	current atomic.Pointer[Runner]
	// lastService is the service of the most recent runner; it stays known while
	// none is registered.
	lastService atomic.Pointer[string]
	mu          sync.Mutex
}

// New returns an empty registry.
func New(opts Options) *Registry { return &Registry{opts: opts} }

// Current returns the registered runner, or nil if there is none. It checks the
// TTL itself, because a guard whose process was suspended must not use an expired
// registration.
func (g *Registry) Current(now time.Time) *Runner {
	r := g.current.Load()
	if r == nil || now.After(r.expiresAt) {
		return nil
	}
	return r
}

// Service returns the service of the current or most recent runner, or "" if
// there has been none.
func (g *Registry) Service() string {
	if lastService := g.lastService.Load(); lastService != nil {
		return *lastService
	}
	return ""
}

// Announce registers a runner or renews its registration.
func (g *Registry) Announce(now time.Time, a Announcement) error {
	if g.opts.Service != "" && a.Service != g.opts.Service {
		return ErrService
	}
	if a.DataCentre != "" && a.DataCentre != g.opts.DataCentre {
		return ErrDataCentre
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.Current(now)
	if previous != nil && previous.Address != a.Address && !previous.Leaving {
		return ErrOccupied
	}
	next := &Runner{Announcement: a, expiresAt: now.Add(a.TTL)}
	if previous != nil && previous.Address == a.Address && previous.Connections == a.Connections {
		next.Client = previous.Client
	} else {
		next.Client = g.opts.NewClient(a.Address.String(), a.Connections)
	}
	g.replace(next)
	return nil
}

// MarkUnreachable records that nothing listens at a runner's address. The runner is
// unregistered until its next announcement, so that further starts don't each
// have to try a connection.
func (g *Registry) MarkUnreachable(r *Runner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.current.Load()
	if current == nil || current.Client != r.Client {
		return
	}
	g.replace(nil)
}

// RemoveExpired unregisters a runner whose TTL has passed.
func (g *Registry) RemoveExpired(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.current.Load()
	if r != nil && now.After(r.expiresAt) {
		g.replace(nil)
	}
}

func (g *Registry) replace(next *Runner) {
	previous := g.current.Swap(next)
	if next != nil {
		g.lastService.Store(&next.Service)
	}
	if previous != nil && (next == nil || next.Client != previous.Client) {
		previous.Client.Close()
	}
	if previous.State() != next.State() || service(previous) != service(next) {
		g.opts.OnChange(next)
	}
}

func service(r *Runner) string {
	if r == nil {
		return ""
	}
	return r.Service
}
