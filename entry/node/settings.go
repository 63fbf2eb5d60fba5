// Package node assembles one entry process from its settings: the components, the
// three listeners, and the run group that starts and stops them in order.
package node

import (
	"net/netip"
	"regexp"
	"sort"
	"time"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/fleet"
	"almondstand.dev/settings"
)

// Settings is the content of an entry's settings file.
type Settings struct {
	// ID identifies this entry among its peers. A replacement host may reuse the
	// id of the host it replaces.
	ID string `json:"id" validate:"required,max=64"`
	// DataCentre is the data centre this entry runs in.
	DataCentre string            `json:"zone" validate:"required,max=64"`
	Listen     ListenSettings    `json:"listen"`
	Advertise  AdvertiseSettings `json:"advertise,omitempty"`
	Platform   PlatformSettings  `json:"platform"`
	Peers      PeerSettings      `json:"peers,omitempty"`
	Callers    CallerSettings    `json:"callers,omitempty"`
	Dispatch   DispatchSettings  `json:"dispatch,omitempty"`
	Fleet      FleetSettings     `json:"fleet,omitempty"`
	Operators  OperatorSettings  `json:"operators"`
	Log        LogSettings       `json:"log,omitempty"`
	// DrainTimeout is the timeout of a graceful shutdown; default 30s.
	DrainTimeout settings.Duration `json:"drain_limit,omitempty"`
	// ShutdownDelay is how long a draining entry still accepts new jobs, until the
	// load balancer has seen that /readyz reports not ready; default 3s.
	ShutdownDelay settings.Duration `json:"drain_notice,omitempty"`
}

// ListenSettings holds the addresses this entry listens on.
type ListenSettings struct {
	Callers   settings.Address `json:"callers"`
	Internal  settings.Address `json:"internal"`
	Operators settings.Address `json:"operators"`
}

// AdvertiseSettings holds the addresses at which other processes reach this
// entry, if they differ from those it listens on.
type AdvertiseSettings struct {
	Internal settings.Address `json:"internal,omitempty"`
	// Operators is the address at which the report commands query this entry.
	Operators settings.Address `json:"operators,omitempty"`
}

// PlatformSettings configures the connection to the platform's key-value store.
type PlatformSettings struct {
	Addresses []settings.Address `json:"addresses" validate:"required,min=1"`
	// Timeout is the timeout of one call; default 2s.
	Timeout settings.Duration `json:"timeout,omitempty"`
	// LeaseTTL is how long this entry is considered live without renewing its
	// lease; default 10s.
	LeaseTTL settings.Duration `json:"lease_ttl,omitempty"`
}

// PeerSettings configures the communication between entries.
type PeerSettings struct {
	// Seeds are internal addresses to fetch contracts from while the store is
	// down, usually that of the load balancer.
	Seeds []settings.Address `json:"seeds,omitempty"`
	// Secret authenticates guards and entries to each other; all of them share
	// it.
	Secret string `json:"secret,omitempty"`
	// Interval is the time between gossip rounds with one peer; default 1s.
	Interval settings.Duration `json:"interval,omitempty"`
	// IsolationTimeout is how long an entry without contact to the store or any peer
	// still accepts jobs; default 5s.
	IsolationTimeout settings.Duration `json:"isolation,omitempty"`
	// Connections and ConnectionBytes are as for callers, for the connections of guards and other entries.
	Connections     int   `json:"connections,omitempty" validate:"min=16,max=1048576"`
	ConnectionBytes int64 `json:"connection_bytes,omitempty" validate:"min=1048576,max=1099511627776"`
}

// CallerSettings holds limits on requests of callers and on kept answers.
type CallerSettings struct {
	// MaxBodyBytes is the maximum size of a request body in bytes; default 8 MiB.
	MaxBodyBytes int64 `json:"max_body,omitempty" validate:"gte=0"`
	// CacheTTL is how long an answer is kept for repeated requests; default
	// 60s.
	CacheTTL settings.Duration `json:"keep_answers,omitempty"`
	// CacheBytes is the maximum total size of kept answers in bytes; default
	// 128 MiB.
	CacheBytes int64 `json:"keep_bytes,omitempty" validate:"gte=0"`
	// Connections is the maximum number of callers' connections, and ConnectionBytes that of the memory
	// that they and the headers of requests may occupy; see httplimit.
	Connections     int   `json:"connections,omitempty" validate:"min=16,max=1048576"`
	ConnectionBytes int64 `json:"connection_bytes,omitempty" validate:"min=1048576,max=1099511627776"`
}

// DispatchSettings configures scheduling and admission.
type DispatchSettings struct {
	// MinInFlight is the number of tasks that this entry may always have in flight on
	// each guard, 1 to 64; default 1. With 0, a new entry would starve while other
	// entries keep the guards full.
	MinInFlight int `json:"floor" validate:"gte=1,lte=64"`
	// MaxQueuedTasks is the maximum number of queued tasks of one service; default
	// 100000.
	MaxQueuedTasks int `json:"max_waiting,omitempty" validate:"gte=0"`
	// MaxQueuedBytes is the maximum total size of the payloads held for one service, in
	// bytes; default 256 MiB.
	MaxQueuedBytes int64 `json:"max_bytes,omitempty" validate:"gte=0"`
}

// FleetSettings configures the sessions with endpoints.
type FleetSettings struct {
	// MinAnnounceInterval is the minimum interval between the announcements of a guard;
	// default 3s. The interval grows with the number of guards.
	MinAnnounceInterval settings.Duration `json:"announce_every,omitempty"`
	// AttachAllLimit is the maximum number of entries that every guard connects to;
	// with more entries, each guard connects to half as many. The default is 8.
	AttachAllLimit int `json:"attach_limit,omitempty" validate:"gte=0"`
	// PingBytesPerSecond is the budget for pinging idle guards, in bytes per second over
	// all of them; default 1024. The connections of idle guards beyond this budget
	// are not kept alive; the first start sent to such a guard repeats the
	// handshake.
	PingBytesPerSecond int `json:"ping_bytes,omitempty" validate:"gte=0"`
	// SpareSlots is the number of slots of a runner without a guard that an entry
	// leaves free when it uses more than its own share of the slots; default 2. A
	// higher value lets the runner refuse fewer starts; a value equal to the
	// runner's slots limits each entry to its share.
	SpareSlots int `json:"spare_slots,omitempty" validate:"gte=0"`
}

// OperatorSettings configures access to the operators' API.
type OperatorSettings struct {
	// TokenDigest is the SHA-256, in hex, of the operators' bearer token.
	TokenDigest string `json:"token_digest" validate:"required,len=64,hexadecimal"`
}

// LogSettings configures logging.
type LogSettings struct {
	// Level is debug, info, warn or error; default info.
	Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	// Format is json or text; default json.
	Format string `json:"format,omitempty" validate:"omitempty,oneof=json text"`
}

// Default returns the values of settings that a file omits.
func Default() Settings {
	return Settings{
		Platform: PlatformSettings{
			Timeout:  settings.Duration(2 * time.Second),
			LeaseTTL: settings.Duration(10 * time.Second),
		},
		Peers: PeerSettings{
			Interval:         settings.Duration(time.Second),
			IsolationTimeout: settings.Duration(5 * time.Second),

			Connections:     16384,
			ConnectionBytes: 384 << 20,
		},
		Callers: CallerSettings{
			MaxBodyBytes: 8 << 20,
			CacheTTL:     settings.Duration(time.Minute),
			CacheBytes:   128 << 20,

			Connections:     16384,
			ConnectionBytes: 384 << 20,
		},
		Dispatch: DispatchSettings{
			MinInFlight:    scheduler.DefaultMinInFlight,
			MaxQueuedTasks: 100_000,
			MaxQueuedBytes: 256 << 20,
		},
		Fleet: FleetSettings{
			MinAnnounceInterval: settings.Duration(3 * time.Second),
			AttachAllLimit:      8,
			PingBytesPerSecond:  fleet.DefaultPingBytes,
			SpareSlots:          fleet.DefaultSpareSlots,
		},
		Log:           LogSettings{Level: "info", Format: "json"},
		DrainTimeout:  settings.Duration(30 * time.Second),
		ShutdownDelay: settings.Duration(3 * time.Second),
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	s := Default()
	err := settings.Load(path, &s)
	return s, err
}

// idPattern restricts ids to characters that are safe in store keys and in
// submission ids.
var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)

// Check implements settings.Checker.
func (s *Settings) Check() settings.Errors {
	var out settings.Errors
	if !idPattern.MatchString(s.ID) {
		out = append(out, settings.Error{Path: "id", Found: s.ID, Allowed: "1 to 64 of a-z, 0-9 and -, not beginning with -"})
	}
	for _, l := range s.Listen.all() {
		if !l.Address.IsValid() {
			out = append(out, settings.Error{Path: l.Path, Allowed: "an IP and a port"})
		}
	}
	if !s.Advertise.Internal.IsValid() && s.Listen.Internal.Addr().IsUnspecified() {
		out = append(out, settings.Error{Path: "advertise.internal", Allowed: "the IP and port that other processes reach, when listen.internal names no single address"})
	}
	if !s.Advertise.Operators.IsValid() && s.Listen.Operators.Addr().IsUnspecified() {
		out = append(out, settings.Error{Path: "advertise.operators", Allowed: "the IP and port that operators reach, when listen.operators names no single address"})
	}
	out = append(out, s.checkDurations()...)
	return append(out, settings.CheckPortConflicts(s.Listen.all()...)...)
}

func (l ListenSettings) all() []settings.Listener {
	return []settings.Listener{
		{Path: "listen.callers", Address: l.Callers},
		{Path: "listen.internal", Address: l.Internal},
		{Path: "listen.operators", Address: l.Operators},
	}
}

// Limits of the configurable durations. Shorter ones would exceed the budget for
// control traffic; longer ones would delay the detection of failures too much.
const (
	minDuration = 10 * time.Millisecond
	maxDuration = time.Hour
)

func (s *Settings) checkDurations() settings.Errors {
	var out settings.Errors
	durations := map[string]settings.Duration{
		"platform.timeout":     s.Platform.Timeout,
		"platform.lease_ttl":   s.Platform.LeaseTTL,
		"peers.interval":       s.Peers.Interval,
		"peers.isolation":      s.Peers.IsolationTimeout,
		"callers.keep_answers": s.Callers.CacheTTL,
		"fleet.announce_every": s.Fleet.MinAnnounceInterval,
		"drain_limit":          s.DrainTimeout,
	}
	for path, d := range durations {
		if d.Std() < minDuration || d.Std() > maxDuration {
			out = append(out, settings.Error{Path: path, Found: d.Std().String(), Allowed: minDuration.String() + " to " + maxDuration.String()})
		}
	}
	// Peers may treat an entry whose lease has expired as gone. An isolated entry
	// must have stopped accepting jobs before that.
	if limit := s.Platform.LeaseTTL.Std() / 2; s.Peers.IsolationTimeout.Std() > limit {
		out = append(out, settings.Error{Path: "peers.isolation", Found: s.Peers.IsolationTimeout.Std().String(), Allowed: "at most half of platform.lease_ttl, " + limit.String()})
	}
	if d := s.ShutdownDelay.Std(); d < 0 || d > maxDuration {
		out = append(out, settings.Error{Path: "drain_notice", Found: d.String(), Allowed: "0s to " + maxDuration.String()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

// Example returns example settings for a new deployment.
func Example() Settings {
	s := Default()
	s.ID = "entry-zagreb-1"
	s.DataCentre = "zagreb-dubrava"
	s.Listen = ListenSettings{
		Callers:   exampleAddress("10.1.0.11:7000"),
		Internal:  exampleAddress("10.1.0.11:7001"),
		Operators: exampleAddress("10.1.0.11:7002"),
	}
	s.Platform.Addresses = []settings.Address{exampleAddress("10.1.0.5:2379")}
	s.Peers.Seeds = []settings.Address{exampleAddress("10.1.0.2:7001")}
	s.Peers.Secret = "replace-me"
	s.Operators.TokenDigest = "replace with the SHA-256, in hex, of the operators' token"
	return s
}

func exampleAddress(text string) settings.Address {
	return settings.Address{AddrPort: netip.MustParseAddrPort(text)}
}
