// Package registry makes entries known to each other and to the guards: by a
// key under a lease in the store, and while the store can't be reached by
// asking other entries.
package registry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/platform/store"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// Timing.
const (
	// leaseTTL is how long an entry that is gone stays listed.
	leaseTTL = 12 * time.Second
	// keepEvery renews the lease: three may fail.
	keepEvery = 3 * time.Second
	// listEvery paces the reading of the list.
	listEvery = 3 * time.Second
	// meetEvery paces the exchange with another entry while the store is reached,
	// and meetSoon while it is not: a configuration then comes by it within 2 s.
	meetEvery = 4 * time.Second
	meetSoon  = 400 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = 500 * time.Millisecond
	// retryEvery is the pause after a call to the store that failed.
	retryEvery = time.Second
	// knownFor drops an address that nobody has named for so long.
	knownFor = 15 * time.Second
)

// Store is the platform's store; see platform/store.
type Store interface {
	List(ctx context.Context, prefix string) ([]store.Item, error)
	Put(ctx context.Context, key string, value []byte, lease int64) error
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
	Keep(ctx context.Context, id int64) error
	End(ctx context.Context, id int64) error
}

// Config is the configuration that entries exchange; see entry/follower.
type Config interface {
	Held() (revision int64, raw []byte)
	Take(ctx context.Context, revision int64, raw []byte)
	Fresh() bool
}

// Options of a Registry.
type Options struct {
	Entry string
	// Address at which this entry serves guards and other entries.
	Address string
	// Seeds returns addresses that the settings name.
	Seeds  func() []string
	Logger *slog.Logger
}

// Registry knows the entries.
type Registry struct {
	opt    Options
	store  Store
	config Config
	logger *slog.Logger

	mu sync.Mutex
	// named is when an address was last named by anybody, and met when it was last named
	// by the store, by a guard that reaches it, or by the entry itself. Only these are
	// passed on to other entries: of two that name to each other whatever they have
	// heard, neither ever drops the address of a host that is gone, and guards dial it
	// for good.
	named, met map[string]time.Time
	list       []string
	version    uint64
	next       int
}

// New returns a registry that knows this entry only.
func New(o Options, s Store, c Config) *Registry {
	r := &Registry{opt: o, store: s, config: c, logger: o.Logger, named: map[string]time.Time{}, met: map[string]time.Time{}}
	r.rebuild()
	return r
}

// Known returns the entries' addresses and a number that changes with them.
func (r *Registry) Known() ([]string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, r.version
}

// Hint takes addresses of entries that the caller reaches.
func (r *Registry) Hint(addresses []string) {
	addresses = r.sound(addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range addresses {
		r.named[a], r.met[a] = time.Now(), time.Now()
	}
	r.rebuild()
}

// hear takes addresses of entries that another entry has met.
func (r *Registry) hear(addresses []string) {
	addresses = r.sound(addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range addresses {
		r.named[a] = time.Now()
	}
	r.rebuild()
}

// sound leaves out what is no entry's address.
func (r *Registry) sound(values []string) []string {
	addresses, malformed := fleetwire.EntryAddresses(values)
	if len(malformed) > 0 {
		malformedAddress.Log(context.Background(), r.logger, slog.Int("values", len(malformed)), slog.String("first", clip(malformed[0])))
	}
	return addresses
}

// foreignText bounds what is written of a value that is no address, bytes.
const foreignText = 100

func clip(s string) string { return s[:min(len(s), foreignText)] }

// acquainted returns this entry's address and those that may be passed on.
func (r *Registry) acquainted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []string{r.opt.Address}
	for a, at := range r.met {
		if a != r.opt.Address && time.Since(at) <= knownFor {
			list = append(list, a)
		}
	}
	sort.Strings(list)
	return list
}

// rebuild works the list out anew. The lock is held.
func (r *Registry) rebuild() {
	list := []string{r.opt.Address}
	for a, at := range r.named {
		if time.Since(at) > knownFor {
			delete(r.named, a)
			delete(r.met, a)
			continue
		}
		if a != r.opt.Address {
			list = append(list, a)
		}
	}
	sort.Strings(list)
	if !slices.Equal(list, r.list) {
		r.list = list
		r.version++
		members.Log(context.Background(), r.logger, slog.Any("entries", list))
	}
}

// Run registers, lists and exchanges until the context ends; then the lease is ended.
func (r *Registry) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { r.keep(ctx) })
	loops.Go(func() { r.follow(ctx) })
	loops.Go(func() { r.exchange(ctx) })
	loops.Wait()
	return nil
}

// keep holds this entry's key.
func (r *Registry) keep(ctx context.Context) {
	var lease int64
	failing := false
	for ctx.Err() == nil {
		pause := keepEvery
		var err error
		if lease == 0 {
			lease, err = r.register(ctx)
		} else {
			err = r.call(ctx, func(c context.Context) error { return r.store.Keep(c, lease) })
		}
		switch {
		case errors.Is(err, store.ErrNoLease):
			lease = 0
			pause = 0
			leaseLost.Log(ctx, r.logger)
		case err != nil:
			pause = retryEvery
			if !failing {
				registerFailed.Log(ctx, r.logger, slog.String("error", err.Error()), slog.Int64("lease", lease))
			}
		}
		failing = err != nil
		uptime.Sleep(ctx, pause)
	}
	if lease != 0 {
		_ = r.call(context.WithoutCancel(ctx), func(c context.Context) error { return r.store.End(c, lease) })
	}
}

// register puts this entry's key under a new lease.
func (r *Registry) register(ctx context.Context) (lease int64, err error) {
	var granted store.Lease
	err = r.call(ctx, func(c context.Context) error {
		granted, err = r.store.Grant(c, leaseTTL)
		return err
	})
	if err != nil {
		return 0, err
	}
	err = r.call(ctx, func(c context.Context) error {
		return r.store.Put(c, fleetwire.EntriesPrefix+r.opt.Entry, []byte(r.opt.Address), granted.ID)
	})
	if err != nil {
		return 0, err
	}
	registered.Log(ctx, r.logger, slog.Int64("lease", granted.ID), slog.String("address", r.opt.Address))
	return granted.ID, nil
}

// follow reads the list of entries.
func (r *Registry) follow(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		var items []store.Item
		err := r.call(ctx, func(c context.Context) (err error) {
			items, err = r.store.List(c, fleetwire.EntriesPrefix)
			return err
		})
		pause := listEvery
		if err != nil {
			pause = retryEvery
		}
		if err != nil && !failing {
			listFailed.Log(ctx, r.logger, slog.String("error", err.Error()))
		}
		failing = err != nil
		var addresses []string
		for _, i := range items {
			addresses = append(addresses, string(i.Value))
		}
		r.Hint(addresses)
		uptime.Sleep(ctx, pause)
	}
}

// exchange meets the other entries in turn.
func (r *Registry) exchange(ctx context.Context) {
	transport := fleetwire.NewTransport(fleetwire.DialTimeout)
	defer transport.Close()
	client := &http.Client{Transport: transport}
	var last time.Time
	for ctx.Err() == nil {
		if time.Since(last) >= meetEvery || !r.config.Fresh() {
			last = time.Now()
			if a := r.nextPeer(); a != "" {
				r.meet(ctx, client, a)
			}
		}
		uptime.Sleep(ctx, meetSoon)
	}
}

func (r *Registry) nextPeer() string {
	r.mu.Lock()
	all := append([]string(nil), r.list...)
	r.mu.Unlock()
	all = append(all, r.opt.Seeds()...)
	all = slices.DeleteFunc(all, func(a string) bool { return a == r.opt.Address })
	if len(all) == 0 {
		return ""
	}
	r.next++
	return all[r.next%len(all)]
}

func (r *Registry) meet(ctx context.Context, client *http.Client, address string) {
	revision, _ := r.config.Held()
	called, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := fleetwire.NewClient(client, address).Meet(called, connect.NewRequest(&wirev1.MeetRequest{
		Entry:          r.opt.Entry,
		Address:        r.opt.Address,
		ConfigRevision: revision,
	}))
	if err != nil {
		meetFailed.Log(ctx, r.logger, slog.String("address", address), slog.String("error", err.Error()))
		client.CloseIdleConnections()
		return
	}
	r.hear(res.Msg.GetEntries())
	r.Hint([]string{address})
	if res.Msg.GetConfigRevision() > revision {
		r.config.Take(ctx, res.Msg.GetConfigRevision(), res.Msg.GetConfig())
	}
}

// Meet answers another entry.
func (r *Registry) Meet(_ context.Context, req *connect.Request[wirev1.MeetRequest]) (*connect.Response[wirev1.MeetResponse], error) {
	r.Hint([]string{req.Msg.GetAddress()})
	res := &wirev1.MeetResponse{Entries: r.acquainted()}
	if revision, raw := r.config.Held(); revision > req.Msg.GetConfigRevision() {
		res.ConfigRevision, res.Config = revision, raw
	}
	return connect.NewResponse(res), nil
}

func (r *Registry) call(ctx context.Context, f func(context.Context) error) error {
	called, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(called)
}
