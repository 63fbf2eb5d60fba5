// Package edge runs an entry whose guards are known by their runners' capacity,
// on the operators' platform.
package edge

import (
	"net/netip"
	"time"

	"almondstand.dev/settings"
)

// File is a settings file of such an entry.
type File struct {
	Capacity Settings `json:"capacity"`
}

// Settings of an entry. See docs/SETTINGS.md.
type Settings struct {
	// ID names the entry; no two entries share one.
	ID string `json:"id" validate:"required,max=128"`
	// Zone is the data centre of this host.
	Zone   string `json:"zone" validate:"required,max=128"`
	Listen Listen `json:"listen"`
	// Seeds are hosts of entries; only their IPs count. They may be stale.
	Seeds []settings.Address `json:"seeds" validate:"max=64"`
	// Store is the platform's metadata store.
	Store  settings.Address `json:"store" validate:"required"`
	Bounds Bounds           `json:"bounds"`
	Log    Log              `json:"log"`
}

// Listen holds the addresses the entry listens on.
type Listen struct {
	// Callers serves jobs.
	Callers settings.Address `json:"callers" validate:"required"`
	// Ready answers the balancer's checks.
	Ready settings.Address `json:"ready" validate:"required"`
	// Guards serves guards and other entries; every entry uses the same port.
	Guards settings.Address `json:"guards" validate:"required"`
	// Advertise is the address told to guards and other entries; left out, it is
	// that of guards.
	Advertise settings.Address `json:"advertise"`
	// Metrics serves metrics and health; left out, none are served.
	Metrics settings.Address `json:"metrics"`
}

// Bounds that the platform sets.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace settings.Duration `json:"grace"`
	// BalancerNotice is how long the balancer may still send new connections
	// after this entry has said that it is not ready.
	BalancerNotice settings.Duration `json:"balancer_notice"`
}

// Log holds how to log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Default returns the settings that a file may leave out.
func Default() File {
	return File{Capacity: Settings{
		Bounds: Bounds{
			Grace: settings.Duration(6 * time.Second),
			// Two checks, a second apart, and a connection under way.
			BalancerNotice: settings.Duration(2300 * time.Millisecond),
		},
		Log: Log{Level: "info"},
	}}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	f := Default()
	err := settings.Load(path, &f)
	return f.Capacity, err
}

// drainReserve of the grace is left for the end of the process.
const drainReserve = 700 * time.Millisecond

// Check implements settings.Checker.
func (f *File) Check() settings.Errors {
	s := f.Capacity
	out := settings.CheckPorts(
		settings.Listener{Path: "capacity.listen.callers", Address: s.Listen.Callers},
		settings.Listener{Path: "capacity.listen.ready", Address: s.Listen.Ready},
		settings.Listener{Path: "capacity.listen.guards", Address: s.Listen.Guards},
	)
	if s.Bounds.Grace.Std() < s.Bounds.BalancerNotice.Std()+drainReserve {
		out = append(out, settings.Error{Path: "capacity.bounds.grace", Read: s.Bounds.Grace.Std().String(),
			Allowed: "capacity.bounds.balancer_notice and " + drainReserve.String() + " more"})
	}
	return out
}

// advertised returns the address told to guards and other entries.
func (s Settings) advertised() settings.Address {
	if s.Listen.Advertise.IsValid() {
		return s.Listen.Advertise
	}
	return s.Listen.Guards
}

// peers returns the addresses at which the seeds serve other entries.
func (s Settings) peers() []string {
	var all []string
	for _, seed := range s.Seeds {
		all = append(all, netip.AddrPortFrom(seed.Addr(), s.Listen.Guards.Port()).String())
	}
	return all
}
