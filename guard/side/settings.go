// Package side runs a guard whose runner is known by its capacity.
package side

import (
	"net/netip"
	"time"

	"almondstand.dev/settings"
)

// File is a settings file of such a guard.
type File struct {
	Capacity Settings `json:"capacity"`
}

// Settings of a guard. See docs/SETTINGS.md.
type Settings struct {
	// ID names the guard; no two guards share one.
	ID string `json:"id" validate:"required,max=128"`
	// Zone is the data centre of this host.
	Zone   string `json:"zone" validate:"required,max=128"`
	Listen Listen `json:"listen"`
	// Seeds are hosts of entries; only their IPs count. They may be stale.
	Seeds []settings.Address `json:"seeds" validate:"max=64"`
	// Store is the platform's metadata store, where entries register; it is asked once,
	// at the start. Left out, only the seeds are.
	Store settings.Address `json:"store"`
	// EntryPort is the port on which every entry serves guards.
	EntryPort int    `json:"entry_port" validate:"required,min=1,max=65535"`
	Bounds    Bounds `json:"bounds"`
	Log       Log    `json:"log"`
}

// Listen holds the addresses the guard listens on.
type Listen struct {
	// Reports serves the runner's reports.
	Reports settings.Address `json:"reports" validate:"required"`
	// Metrics serves metrics and health; left out, none are served.
	Metrics settings.Address `json:"metrics"`
}

// Bounds that the platform sets.
type Bounds struct {
	// Resend is the time after which a caller whose connection broke submits its
	// job again; by then the job's runs must be over.
	Resend settings.Duration `json:"resend"`
	// MaxLease is the longest lease that a runner grants.
	MaxLease settings.Duration `json:"max_lease"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace settings.Duration `json:"grace"`
}

// Log holds how to log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Default returns the settings that a file may leave out.
func Default() File {
	return File{Capacity: Settings{
		Bounds: Bounds{
			Resend:   settings.Duration(1300 * time.Millisecond),
			MaxLease: settings.Duration(time.Second),
			Grace:    settings.Duration(6 * time.Second),
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

// Least bounds with which the shares of the resend time make sense: a lease is
// renewed every 100 ms.
const (
	leastResend = 900 * time.Millisecond
	leastLease  = 300 * time.Millisecond
	leastGrace  = 2 * time.Second
)

// Check implements settings.Checker.
func (f *File) Check() settings.Errors {
	var out settings.Errors
	s := f.Capacity
	for _, c := range []struct {
		path  string
		value settings.Duration
		least time.Duration
	}{
		{"capacity.bounds.resend", s.Bounds.Resend, leastResend},
		{"capacity.bounds.max_lease", s.Bounds.MaxLease, leastLease},
		{"capacity.bounds.grace", s.Bounds.Grace, leastGrace},
	} {
		if c.value.Std() < c.least {
			out = append(out, settings.Error{Path: c.path, Read: c.value.Std().String(), Allowed: c.least.String() + " and more"})
		}
	}
	return out
}

// entries returns the addresses at which the seeds serve guards.
func (s Settings) entries() []string {
	var all []string
	for _, seed := range s.Seeds {
		all = append(all, netip.AddrPortFrom(seed.Addr(), uint16(s.EntryPort)).String())
	}
	return all
}
