// Package contracts keeps the contracts at an entry. The Registry reads them from the
// platform's store and from peers, and serves them to requests without a lock. The
// Writer changes them.
//
// A version in force is only replaced by a newer one. An older version, an unreadable
// value and a missing key leave it in force and are logged; older versions and missing
// keys in the store are overwritten with the version in force, since it was accepted and
// the entries that hold it may all be replaced in time.
package contracts

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"almondstand.dev/contract"
	"almondstand.dev/platform"
	"almondstand.dev/wire/wirev1"
)

// Defaults of Options.
const (
	DefaultMinPause    = 100 * time.Millisecond
	DefaultMaxPause    = 2 * time.Second
	DefaultRelist      = time.Hour
	DefaultRepairPause = 250 * time.Millisecond
)

// Options are the settings of a Registry.
type Options struct {
	Store  platform.Store
	Logger *slog.Logger
	Scope  tally.Scope
	// Now is the clock; its times must have a monotonic clock reading.
	Now func() time.Time
	// Jitter returns a number in [0,1) that randomizes the pauses.
	Jitter func() float64
	// MinPause and MaxPause bound the pause after a failed call, which doubles with each
	// failure.
	MinPause time.Duration
	MaxPause time.Duration
	// Relist is the time after which all contracts are listed again, in case the watch
	// missed a change unnoticed.
	Relist time.Duration
	// RepairPause is the mean time between two repair writes.
	RepairPause time.Duration
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
	setDefault(&o.MinPause, DefaultMinPause)
	setDefault(&o.MaxPause, DefaultMaxPause)
	setDefault(&o.Relist, DefaultRelist)
	setDefault(&o.RepairPause, DefaultRepairPause)
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// Registry holds the contracts in force at this entry.
type Registry struct {
	opts    Options
	current atomic.Pointer[snapshot]
	// lastContact is when the store last answered.
	lastContact atomic.Pointer[time.Time]
	listed      atomic.Bool
	// failureLogged are the times at which each failure event was last logged; only the loop
	// of Run uses it.
	failureLogged map[int]time.Time

	// mu serializes changes; readers don't take it.
	mu       sync.Mutex
	onChange []func(contract.Contract)
	// unreadable are the hashes of the last unreadable values, by key.
	unreadable map[string]uint64
	repairs    repairs
	metrics    metrics
}

type metrics struct {
	contracts  tally.Gauge
	revision   tally.Gauge
	rejected   tally.Counter
	unreadable tally.Counter
	lists      tally.Counter
	watches    tally.Counter
}

// New returns an empty registry; Run fills it.
func New(opts Options) *Registry {
	opts.setDefaults()
	r := &Registry{
		opts:          opts,
		failureLogged: map[int]time.Time{},
		unreadable:    map[string]uint64{},
		repairs:       newRepairs(),
		metrics: metrics{
			contracts:  opts.Scope.Gauge("contracts_held"),
			revision:   opts.Scope.Gauge("contracts_revision"),
			rejected:   opts.Scope.Counter("contracts_refused"),
			unreadable: opts.Scope.Counter("contracts_unreadable"),
			lists:      opts.Scope.Counter("contracts_lists"),
			watches:    opts.Scope.Counter("contracts_watches"),
		},
	}
	empty, _ := newSnapshot(map[string]*heldContract{})
	r.current.Store(empty)
	return r
}

// ByToken returns the active or retired contract that lists the SHA-256 of the token.
func (r *Registry) ByToken(digest [32]byte) (contract.Contract, bool) {
	return r.current.Load().lookup(digest)
}

// ByClient returns a client's contract.
func (r *Registry) ByClient(name string) (contract.Contract, bool) {
	h, found := r.current.Load().byClient[name]
	if !found {
		return contract.Contract{}, false
	}
	return h.record.Contract, true
}

// All returns all contracts, sorted by client name.
func (r *Registry) All() []contract.Contract {
	s := r.current.Load()
	all := make([]contract.Contract, 0, len(s.byClient))
	for _, name := range slices.Sorted(maps.Keys(s.byClient)) {
		all = append(all, s.byClient[name].record.Contract)
	}
	return all
}

// History returns the kept versions of a client's contract, the one in force first.
func (r *Registry) History(client string) []Version {
	h, found := r.current.Load().byClient[client]
	if !found {
		return nil
	}
	return h.record.versions()
}

// Snapshot returns every contract with its key and the value as stored.
func (r *Registry) Snapshot() []*wirev1.ContractRecord {
	s := r.current.Load()
	all := make([]*wirev1.ContractRecord, 0, len(s.byClient))
	for _, name := range slices.Sorted(maps.Keys(s.byClient)) {
		h := s.byClient[name]
		all = append(all, &wirev1.ContractRecord{Key: h.key, Revision: h.record.Revision, Value: h.value})
	}
	return all
}

// HeldRevisions returns the revision in force of each key.
func (r *Registry) HeldRevisions() map[string]int64 {
	s := r.current.Load()
	all := make(map[string]int64, len(s.byClient))
	for _, h := range s.byClient {
		all[h.key] = h.record.Revision
	}
	return all
}

// Revision returns the highest revision held.
func (r *Registry) Revision() int64 { return r.current.Load().revision }

// Digest is equal at entries that hold the same versions.
func (r *Registry) Digest() uint64 { return r.current.Load().digest }

// HasSynced reports whether the store was read in full since the start.
func (r *Registry) HasSynced() bool { return r.listed.Load() }

// StoreAge returns the time since the store last answered, or the maximum duration if it
// never has.
func (r *Registry) StoreAge(now time.Time) time.Duration {
	at := r.lastContact.Load()
	if at == nil {
		return math.MaxInt64
	}
	return max(0, now.Sub(*at))
}

func (r *Registry) recordContact() {
	now := r.opts.Now()
	r.lastContact.Store(&now)
}

// OnChange calls f for each contract held, and then for each version that comes into
// force, in order. f must not block and must not change contracts.
func (r *Registry) OnChange(f func(contract.Contract)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = append(r.onChange, f)
	for _, c := range r.All() {
		f(c)
	}
}

// candidate is a version that the store or a peer holds, or that the writer has written.
type candidate struct {
	key   string
	value []byte
	// from names the source for the log.
	from string
}

// applyResult is the result of applying a candidate.
type applyResult int

const (
	// resultApplied: it is newer and in force now.
	resultApplied applyResult = iota
	// resultSame: it is in force already.
	resultSame
	// resultOlder: a newer one is in force.
	resultOlder
	// resultUnreadable: it can't be decoded.
	resultUnreadable
)

// applyCandidates puts the candidates that are newer in force, all at once, and returns
// a result for each.
func (r *Registry) applyCandidates(ctx context.Context, candidates []candidate) []applyResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current.Load()
	results := make([]applyResult, len(candidates))
	changed := map[string]*heldContract{}
	for i, c := range candidates {
		results[i] = r.evaluate(ctx, s, changed, c)
	}
	if len(changed) > 0 {
		r.publish(ctx, s, changed)
	}
	return results
}

func (r *Registry) evaluate(ctx context.Context, s *snapshot, changed map[string]*heldContract, c candidate) applyResult {
	rec, err := decodeRecord(c.key, c.value)
	if err != nil {
		r.metrics.unreadable.Inc(1)
		r.logUnreadable(ctx, c, err)
		return resultUnreadable
	}
	client := rec.Contract.Client
	current, found := changed[client]
	if !found {
		current, found = s.byClient[client]
	}
	update := newHeldContract(c.key, c.value, rec)
	if found && update.checksum == current.checksum {
		return resultSame
	}
	if found && !newer(update, current) {
		r.metrics.rejected.Inc(1)
		return resultOlder
	}
	changed[client] = update
	return resultApplied
}

// logUnreadable logs a value once, because peers send it again at each fetch.
func (r *Registry) logUnreadable(ctx context.Context, c candidate, cause error) {
	sum := xxhash.Sum64(c.value)
	if last, logged := r.unreadable[c.key]; logged && last == sum {
		return
	}
	r.unreadable[c.key] = sum
	eventUnreadable.Log(ctx, r.opts.Logger, slog.String("key", c.key),
		slog.String("from", c.from), slog.Any("cause", cause))
}

// newer orders two versions of one contract. Different values with equal revisions arise
// when the store was restored from a backup and an entry that had not seen the lost
// version wrote to it: all entries must then choose the same one.
func newer(a, b *heldContract) bool {
	if a.record.Revision != b.record.Revision {
		return a.record.Revision > b.record.Revision
	}
	return bytes.Compare(a.value, b.value) > 0
}

func (r *Registry) publish(ctx context.Context, s *snapshot, changed map[string]*heldContract) {
	next, conflicts := s.withChanges(changed)
	r.current.Store(next)
	r.metrics.contracts.Update(float64(len(next.byClient)))
	r.metrics.revision.Update(float64(next.revision))
	for _, c := range conflicts {
		eventTokenTwice.Log(ctx, r.opts.Logger, slog.String("used", c.used), slog.String("ignored", c.ignored))
	}
	for _, client := range slices.Sorted(maps.Keys(changed)) {
		c := changed[client].record.Contract
		eventApplied.Log(ctx, r.opts.Logger, slog.String("customer", client),
			slog.Int64("revision", changed[client].record.Revision), slog.String("state", string(c.State)))
		for _, f := range r.onChange {
			f(c)
		}
	}
}
