// Package edge runs an entry whose guards report the capacity of their runners,
// on the operators' platform.
package edge

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/settings"
)

// File is the content of a settings file of such an entry.
type File struct {
	Capacity Settings `json:"capacity"`
}

// Settings holds the settings of an entry, documented in docs/SETTINGS.md.
type Settings struct {
	// ID identifies the entry and is unique among entries.
	ID string `json:"id" validate:"required,max=128"`
	// DataCentre is the data centre of this host.
	DataCentre string `json:"zone" validate:"required,max=128"`
	Listen     Listen `json:"listen"`
	// Seeds are addresses of hosts that run entries. Only the IP is used, and they
	// may be out of date.
	Seeds []settings.Address `json:"seeds" validate:"max=64"`
	// Store is the platform's metadata store.
	Store  settings.Address `json:"store" validate:"required"`
	Bounds Bounds           `json:"bounds"`
	Host   Host             `json:"host"`
	// Scheduling turns parts of the scheduling on or off.
	Scheduling Scheduling `json:"scheduling"`
	Log        Log        `json:"log"`
}

// Listen holds the addresses the entry listens on.
type Listen struct {
	// Callers is the address at which callers submit jobs.
	Callers settings.Address `json:"callers" validate:"required"`
	// Ready is the address of the load balancer's readiness check.
	Ready settings.Address `json:"ready" validate:"required"`
	// Guards is the address that guards and other entries connect to; every entry
	// uses the same port.
	Guards settings.Address `json:"guards" validate:"required"`
	// Advertise is the address announced to guards and other entries; if it is
	// empty, Guards is announced.
	Advertise settings.Address `json:"advertise"`
	// Metrics is the address at which metrics and health checks are served; they
	// are not served if it is empty.
	Metrics settings.Address `json:"metrics"`
}

// Bounds holds time limits set by the platform.
type Bounds struct {
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod settings.Duration `json:"grace"`
	// BalancerNotice is how long the load balancer may still send new
	// connections after this entry reports not ready.
	BalancerNotice settings.Duration `json:"balancer_notice"`
}

// Host describes what the process may use of its host.
type Host struct {
	// Cores is the number of cores, or a share of one; 0 means unknown. An entry that
	// does not know it takes over no jobs of others.
	Cores float64 `json:"cores"`
	// MemoryMB is the memory that the process may use; 0 stands for that of the host, up to a default.
	// MaxFiles is the number of descriptors. The limits of connections follow from them.
	MemoryMB int `json:"memory_mb" validate:"omitempty,min=32,max=1048576"`
	MaxFiles int `json:"max_files" validate:"min=128,max=1048576"`
}

// maxCores is the largest number of cores that a host may have.
const maxCores = 1024

// Scheduling turns parts of the scheduling on or off.
type Scheduling struct {
	// RunProgress: the progress of runs decides whether they are stopped.
	RunProgress bool `json:"run_progress"`
	// EndpointSpeeds: endpoints that lastingly differ in speed are used accordingly.
	EndpointSpeeds bool `json:"endpoint_speeds"`
	// SharedDemand: what waits at other entries decides on rejections and on the order of jobs.
	SharedDemand bool `json:"shared_demand"`
	// BacklogLimit: the backlog of each contract is limited.
	BacklogLimit bool `json:"backlog_limit"`
	// HandOver: jobs are handed over to other entries, and taken over from them.
	HandOver bool `json:"hand_over"`
}

// disabled returns the parts of the planner that are turned off.
func (s Scheduling) disabled() planner.Features {
	return planner.Features{
		RunProgress:    !s.RunProgress,
		EndpointSpeeds: !s.EndpointSpeeds,
		SharedDemand:   !s.SharedDemand,
		BacklogLimit:   !s.BacklogLimit,
	}
}

// Log configures logging.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Default returns the values of settings that a file omits.
func Default() File {
	return File{Capacity: Settings{
		Bounds: Bounds{
			GracePeriod: settings.Duration(6 * time.Second),
			// Covers two readiness checks one second apart, and a connection that
			// the balancer opens just before it notices.
			BalancerNotice: settings.Duration(2300 * time.Millisecond),
		},
		Host:       Host{MaxFiles: 4096},
		Scheduling: Scheduling{RunProgress: true, EndpointSpeeds: true, HandOver: true},
		Log:        Log{Level: "info"},
	}}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	f := Default()
	err := settings.Load(path, &f)
	return f.Capacity, err
}

// exitReserve is the part of the grace period that is left for the process to
// exit after the drain.
const exitReserve = 700 * time.Millisecond

// Check implements settings.Checker.
func (f *File) Check() settings.Errors {
	s := f.Capacity
	out := settings.CheckPortConflicts(
		settings.Listener{Path: "capacity.listen.callers", Address: s.Listen.Callers},
		settings.Listener{Path: "capacity.listen.ready", Address: s.Listen.Ready},
		settings.Listener{Path: "capacity.listen.guards", Address: s.Listen.Guards},
	)
	if s.Bounds.GracePeriod.Std() < s.Bounds.BalancerNotice.Std()+exitReserve {
		out = append(out, settings.Error{Path: "capacity.bounds.grace", Found: s.Bounds.GracePeriod.Std().String(),
			Allowed: "capacity.bounds.balancer_notice and " + exitReserve.String() + " more"})
	}
	if c := s.Host.Cores; !(c >= 0 && c <= maxCores) {
		out = append(out, settings.Error{Path: "capacity.host.cores", Found: strconv.FormatFloat(c, 'g', -1, 64),
			Allowed: fmt.Sprintf("0 (unknown) to %d", maxCores)})
	}
	return out
}

// advertisedAddress returns the address announced to guards and other entries.
func (s Settings) advertisedAddress() settings.Address {
	if s.Listen.Advertise.IsValid() {
		return s.Listen.Advertise
	}
	return s.Listen.Guards
}

// seedAddresses returns the addresses at which the seeds accept connections from
// other entries: the IP of each seed with the port of Listen.Guards.
func (s Settings) seedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), s.Listen.Guards.Port()).String())
	}
	return addresses
}
