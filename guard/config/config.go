// Package config defines a guard's settings.
package config

import (
	"net/netip"
	"strings"
	"time"

	"almondstand.dev/settings"
)

// Settings of a guard. See docs/SETTINGS.md.
type Settings struct {
	// ID identifies the guard and is unique among guards.
	ID string `json:"id" validate:"required,max=128"`
	// DataCentre is the data centre of this host.
	DataCentre string `json:"zone" validate:"required,max=128"`
	// Service, if set, is the only service that a runner may announce.
	Service string `json:"service" validate:"max=128"`
	Listen  Listen `json:"listen"`
	// Advertise is the address that entries are given; if empty, it is
	// listen.internal.
	Advertise settings.Address `json:"advertise"`
	// Balancers are addresses that lead to the internal interface of any entry.
	Balancers []settings.Address `json:"balancers" validate:"required,min=1,max=16"`
	// Secret is shared by the processes of the cluster; if empty, none is
	// required.
	Secret string `json:"secret" validate:"max=512"`
	// Queue is the maximum number of tasks that wait for a slot on this guard.
	Queue int `json:"queue" validate:"min=0,max=1024"`
	// SessionLease is the time without a message from an entry after which its
	// session ends.
	SessionLease settings.Duration `json:"session_lease" validate:"required"`
	// RunLimit caps the run time of every task, whatever its contract allows.
	RunLimit settings.Duration `json:"run_limit" validate:"required"`
	// CancelGrace is the time that a cancelled task has to end before its
	// connection is closed and its slot is given to another task.
	CancelGrace settings.Duration `json:"cancel_grace" validate:"required"`
	// DrainTimeout is the maximum duration of a graceful shutdown.
	DrainTimeout settings.Duration `json:"drain_limit" validate:"required"`
	// Linger is the time that a shutdown waits, once no task runs, for entries to
	// acknowledge the last results. A response that was sent can still be lost
	// with its connection; only the acknowledgement shows that it arrived.
	Linger settings.Duration `json:"linger"`
	Limits Limits            `json:"limits"`
	Log    Log               `json:"log"`
}

// Listen holds the addresses the guard listens on.
type Listen struct {
	// Internal is the address that serves the entries.
	Internal settings.Address `json:"internal" validate:"required"`
	// Local is the address that serves the runner, health checks and metrics on
	// this host.
	Local settings.Address `json:"local" validate:"required"`
}

// Limits bounds the guard's memory.
type Limits struct {
	// PayloadBytes is the maximum size of a task's payload, AnswerBytes that of a
	// runner's response.
	PayloadBytes int64 `json:"payload_bytes" validate:"min=1024,max=268435456"`
	AnswerBytes  int64 `json:"answer_bytes" validate:"min=1024,max=268435456"`
	// RequestBytes is the maximum total size of the requests in progress.
	RequestBytes int64 `json:"request_bytes" validate:"min=65536"`
	// ResultBytes is the maximum total size of the results kept until they are
	// acknowledged.
	ResultBytes int64 `json:"result_bytes" validate:"min=65536"`
	// Sessions is the maximum number of sessions of all entries.
	Sessions int `json:"sessions" validate:"min=1,max=65536"`
	// Records is the maximum number of starts that are not yet acknowledged.
	Records int `json:"records" validate:"min=1024,max=16777216"`
}

// Log configures logging.
type Log struct {
	Level  string `json:"level" validate:"oneof=debug info warn error"`
	Format string `json:"format" validate:"oneof=json text"`
}

// Bounds on the durations.
const (
	minLease    = time.Second
	maxLease    = 10 * time.Minute
	maxDuration = time.Hour
)

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Queue:        8,
		SessionLease: settings.Duration(15 * time.Second),
		RunLimit:     settings.Duration(time.Minute),
		CancelGrace:  settings.Duration(2 * time.Second),
		DrainTimeout: settings.Duration(90 * time.Second),
		Linger:       settings.Duration(10 * time.Second),
		Limits: Limits{
			PayloadBytes: 4 << 20,
			AnswerBytes:  4 << 20,
			RequestBytes: 64 << 20,
			ResultBytes:  32 << 20,
			Sessions:     512,
			Records:      256 << 10,
		},
		Log: Log{Level: "info", Format: "json"},
	}
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	s := Default()
	err := settings.Load(path, &s)
	return s, err
}

// Check implements settings.Checker.
func (s *Settings) Check() settings.Errors {
	out := settings.CheckPortConflicts(
		settings.Listener{Path: "listen.internal", Address: s.Listen.Internal},
		settings.Listener{Path: "listen.local", Address: s.Listen.Local},
	)
	if !s.Listen.Local.Addr().IsLoopback() {
		// The local interface requires no secret: whoever can reach it can
		// register any address as this guard's runner.
		out = append(out, settings.Error{Path: "listen.local", Found: s.Listen.Local.String(), Allowed: "a loopback address such as 127.0.0.1:7102"})
	}
	if !s.Advertise.IsValid() && s.Listen.Internal.Addr().IsUnspecified() {
		out = append(out, settings.Error{Path: "advertise", Allowed: "the IP and port that entries reach, when listen.internal names no single address"})
	}
	if strings.ContainsAny(s.ID, "#/ ") {
		out = append(out, settings.Error{Path: "id", Found: s.ID, Allowed: "a name without '#', '/' and spaces"})
	}
	if s.Limits.RequestBytes < s.Limits.PayloadBytes+1<<20 {
		out = append(out, settings.Error{Path: "limits.request_bytes", Found: "less than one payload", Allowed: "limits.payload_bytes and 1 MiB at least"})
	}
	out = append(out, checkRange("session_lease", s.SessionLease, minLease, maxLease)...)
	out = append(out, checkRange("run_limit", s.RunLimit, time.Millisecond, maxDuration)...)
	out = append(out, checkRange("cancel_grace", s.CancelGrace, time.Millisecond, time.Minute)...)
	out = append(out, checkRange("drain_limit", s.DrainTimeout, time.Millisecond, maxDuration)...)
	out = append(out, checkRange("linger", s.Linger, 0, time.Minute)...)
	return out
}

func checkRange(path string, d settings.Duration, minimum, maximum time.Duration) settings.Errors {
	if d.Std() >= minimum && d.Std() <= maximum {
		return nil
	}
	return settings.Errors{{Path: path, Found: d.Std().String(), Allowed: "from " + minimum.String() + " to " + maximum.String()}}
}

// Example returns settings that can be used unchanged on a single host.
func Example() Settings {
	s := Default()
	s.ID = "guard-1"
	s.DataCentre = "zagreb"
	s.Service = "teardown"
	s.Listen.Internal = address("127.0.0.1:7101")
	s.Listen.Local = address("127.0.0.1:7102")
	s.Advertise = s.Listen.Internal
	s.Balancers = []settings.Address{address("127.0.0.1:7001")}
	return s
}

func address(text string) settings.Address {
	return settings.Address{AddrPort: netip.MustParseAddrPort(text)}
}
