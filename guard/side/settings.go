// Package side runs a guard whose runner reports its resources instead of a
// number of slots.
package side

import (
	"net/netip"
	"time"

	"almondstand.dev/settings"
)

// File is the settings file of such a guard.
type File struct {
	Capacity Settings `json:"capacity"`
}

// Settings of a guard. See docs/SETTINGS.md.
type Settings struct {
	// ID identifies the guard and is unique among guards.
	ID string `json:"id" validate:"required,max=128"`
	// DataCentre is the data centre of this host.
	DataCentre string `json:"zone" validate:"required,max=128"`
	Listen     Listen `json:"listen"`
	// Seeds are the addresses of hosts that run entries; only their IPs are used.
	// They may be out of date.
	Seeds []settings.Address `json:"seeds" validate:"max=64"`
	// Store is the platform's metadata store, in which entries register. It is
	// read once, at startup; if empty, only the seeds are used.
	Store settings.Address `json:"store"`
	// EntryPort is the port on which every entry serves guards.
	EntryPort int    `json:"entry_port" validate:"required,min=1,max=65535"`
	Bounds    Bounds `json:"bounds"`
	Host      Host   `json:"host"`
	// Scheduling turns parts of the scheduling on or off.
	Scheduling Scheduling `json:"scheduling"`
	Log        Log        `json:"log"`
}

// Listen holds the addresses the guard listens on.
type Listen struct {
	// Reports is the address that serves the runner's reports.
	Reports settings.Address `json:"reports" validate:"required"`
	// Metrics is the address that serves metrics and health checks; if empty,
	// none are served.
	Metrics settings.Address `json:"metrics"`
}

// Host describes what the process may use of its host.
type Host struct {
	// MemoryMB is the memory that the process may use; 0 stands for that of the host, up to a default.
	// MaxFiles is the number of descriptors. The limits of connections follow from them.
	MemoryMB int `json:"memory_mb" validate:"omitempty,min=32,max=1048576"`
	MaxFiles int `json:"max_files" validate:"min=128,max=1048576"`
}

// Bounds holds the time bounds set by the platform.
type Bounds struct {
	// ResubmitDelay is the time after which a caller whose connection broke submits its
	// job again; by then the runs of the job must have ended.
	ResubmitDelay settings.Duration `json:"resend"`
	// MaxLease is the longest lease that a runner grants.
	MaxLease settings.Duration `json:"max_lease"`
	// GracePeriod is the platform's grace period: the time between SIGTERM and SIGKILL.
	GracePeriod settings.Duration `json:"grace"`
}

// Scheduling turns parts of the scheduling on or off.
type Scheduling struct {
	// RunProgress: entries are sent the progress of runs.
	RunProgress bool `json:"run_progress"`
	// EndpointSpeeds: entries are sent the speed of the runner.
	EndpointSpeeds bool `json:"endpoint_speeds"`
	// SharedDemand: entries are sent the demand of the other entries, the CPU by priority and when
	// CPU will be released, and the most urgent demand is sent free capacity first.
	SharedDemand bool `json:"shared_demand"`
}

// Log configures logging.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Default returns the default settings.
func Default() File {
	return File{Capacity: Settings{
		Bounds: Bounds{
			ResubmitDelay: settings.Duration(1300 * time.Millisecond),
			MaxLease:      settings.Duration(time.Second),
			GracePeriod:   settings.Duration(6 * time.Second),
		},
		Host:       Host{MaxFiles: 4096},
		Scheduling: Scheduling{RunProgress: true, EndpointSpeeds: true},
		Log:        Log{Level: "info"},
	}}
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	f := Default()
	err := settings.Load(path, &f)
	return f.Capacity, err
}

// Minimum bounds for which the shares of the resend time are meaningful: a lease
// is renewed every 100 ms.
const (
	minResend = 900 * time.Millisecond
	minLease  = 300 * time.Millisecond
	minGrace  = 2 * time.Second
)

// Check implements settings.Checker.
func (f *File) Check() settings.Errors {
	var out settings.Errors
	s := f.Capacity
	for _, c := range []struct {
		path    string
		value   settings.Duration
		minimum time.Duration
	}{
		{"capacity.bounds.resend", s.Bounds.ResubmitDelay, minResend},
		{"capacity.bounds.max_lease", s.Bounds.MaxLease, minLease},
		{"capacity.bounds.grace", s.Bounds.GracePeriod, minGrace},
	} {
		if c.value.Std() < c.minimum {
			out = append(out, settings.Error{Path: c.path, Found: c.value.Std().String(), Allowed: c.minimum.String() + " and more"})
		}
	}
	return out
}

// entries returns the addresses at which the entries on the seed hosts serve
// guards.
func (s Settings) entries() []string {
	var all []string
	for _, seed := range s.Seeds {
		all = append(all, netip.AddrPortFrom(seed.Addr(), uint16(s.EntryPort)).String())
	}
	return all
}
