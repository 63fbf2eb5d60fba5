// Package registry makes entries known to each other and to the guards: by a key with a
// lease in the store, and by gossip with other entries while the store is unreachable.
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

	"almondstand.dev/contract/cordon"
	"almondstand.dev/platform/store"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// Intervals and timeouts.
const (
	// leaseTTL is how long a crashed entry stays listed in the store.
	leaseTTL = 12 * time.Second
	// leaseRenewInterval is the pause between lease renewals; three may fail before the lease
	// expires.
	leaseRenewInterval = 3 * time.Second
	// listInterval is the pause between reads of the list of entries.
	listInterval = 3 * time.Second
	// gossipInterval is the pause between gossip calls while the store is reachable, and
	// staleGossipInterval while it is not: a new configuration then arrives by gossip within
	// 2 s.
	gossipInterval      = 4 * time.Second
	staleGossipInterval = 400 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = 500 * time.Millisecond
	// retryInterval is the pause after a failed call to the store.
	retryInterval = time.Second
	// addressTTL is how long an address is kept that nobody has reported again.
	addressTTL = 15 * time.Second
)

// Store is the platform's store; see platform/store.
type Store interface {
	List(ctx context.Context, prefix string) ([]store.Item, error)
	Put(ctx context.Context, key string, value []byte, lease int64) error
	GrantLease(ctx context.Context, ttl time.Duration) (store.Lease, error)
	RenewLease(ctx context.Context, id int64) error
	RevokeLease(ctx context.Context, id int64) error
}

// Config is the configuration and the cordoned data centres, which entries share by gossip; see
// entry/follower.
type Config interface {
	Current() (revision int64, raw []byte)
	Apply(ctx context.Context, revision int64, raw []byte)
	Cordons() *cordon.Set
	ApplyCordons(ctx context.Context, set *cordon.Set)
	Fresh() bool
}

// Options of a Registry.
type Options struct {
	Entry string
	// Address at which this entry serves guards and other entries.
	Address string
	// Seeds returns the entry addresses from the settings.
	Seeds  func() []string
	Logger *slog.Logger
}

// Registry maintains the list of known entries.
type Registry struct {
	opt    Options
	store  Store
	config Config
	logger *slog.Logger

	mu sync.Mutex
	// reportedAt is when an address was last reported by anybody, and confirmedAt is when it
	// was last reported by the store, by a guard that reaches it, or by the entry itself.
	// Only confirmed addresses are passed on to other entries: if two entries passed on to
	// each other every address they received, neither would ever drop that of a host that
	// is gone, and guards would dial it forever.
	reportedAt, confirmedAt map[string]time.Time
	list                    []string
	version                 uint64
	next                    int
	// listed is closed once the list of entries was read for the first time, or could not be.
	listed chan struct{}
}

// New returns a registry that knows only this entry.
func New(o Options, s Store, c Config) *Registry {
	r := &Registry{opt: o, store: s, config: c, logger: o.Logger, reportedAt: map[string]time.Time{}, confirmedAt: map[string]time.Time{}, listed: make(chan struct{})}
	r.rebuild()
	return r
}

// Addresses returns the entries' addresses and a version number that changes with them.
func (r *Registry) Addresses() ([]string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, r.version
}

// AddConfirmed adds addresses of entries that the caller reaches.
func (r *Registry) AddConfirmed(addresses []string) {
	addresses = r.validAddresses(addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range addresses {
		r.reportedAt[a], r.confirmedAt[a] = time.Now(), time.Now()
	}
	r.rebuild()
}

// addReported adds addresses of entries that another entry has confirmed.
func (r *Registry) addReported(addresses []string) {
	addresses = r.validAddresses(addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range addresses {
		r.reportedAt[a] = time.Now()
	}
	r.rebuild()
}

// validAddresses leaves out values that are no entry address, and logs them.
func (r *Registry) validAddresses(values []string) []string {
	addresses, malformed := fleetwire.EntryAddresses(values)
	if len(malformed) > 0 {
		eventMalformedAddress.Log(context.Background(), r.logger, slog.Int("values", len(malformed)), slog.String("first", truncate(malformed[0])))
	}
	return addresses
}

// maxLoggedValue bounds how much of a malformed address is logged, in bytes.
const maxLoggedValue = 100

func truncate(s string) string { return s[:min(len(s), maxLoggedValue)] }

// confirmedAddresses returns this entry's address and those that may be passed on.
func (r *Registry) confirmedAddresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []string{r.opt.Address}
	for a, at := range r.confirmedAt {
		if a != r.opt.Address && time.Since(at) <= addressTTL {
			list = append(list, a)
		}
	}
	sort.Strings(list)
	return list
}

// rebuild recomputes the list. The caller holds the lock.
func (r *Registry) rebuild() {
	list := []string{r.opt.Address}
	for a, at := range r.reportedAt {
		if time.Since(at) > addressTTL {
			delete(r.reportedAt, a)
			delete(r.confirmedAt, a)
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
		eventMembers.Log(context.Background(), r.logger, slog.Any("entries", list))
	}
}

// Run registers, lists and gossips until ctx ends; then it revokes the lease.
func (r *Registry) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { r.keepRegistered(ctx) })
	loops.Go(func() { r.listLoop(ctx) })
	loops.Go(func() { r.gossipLoop(ctx) })
	loops.Wait()
	return nil
}

// keepRegistered registers this entry's key and renews its lease.
func (r *Registry) keepRegistered(ctx context.Context) {
	var lease int64
	failing := false
	for ctx.Err() == nil {
		pause := leaseRenewInterval
		var err error
		if lease == 0 {
			lease, err = r.register(ctx)
		} else {
			err = r.withTimeout(ctx, func(c context.Context) error { return r.store.RenewLease(c, lease) })
		}
		switch {
		case errors.Is(err, store.ErrLeaseNotFound):
			lease = 0
			pause = 0
			eventLeaseLost.Log(ctx, r.logger)
		case err != nil:
			pause = retryInterval
			if !failing {
				eventRegisterFailed.Log(ctx, r.logger, slog.String("error", err.Error()), slog.Int64("lease", lease))
			}
		}
		failing = err != nil
		uptime.Sleep(ctx, pause)
	}
	if lease != 0 {
		_ = r.withTimeout(context.WithoutCancel(ctx), func(c context.Context) error { return r.store.RevokeLease(c, lease) })
	}
}

// register puts this entry's key with a new lease.
func (r *Registry) register(ctx context.Context) (lease int64, err error) {
	var granted store.Lease
	err = r.withTimeout(ctx, func(c context.Context) error {
		granted, err = r.store.GrantLease(c, leaseTTL)
		return err
	})
	if err != nil {
		return 0, err
	}
	err = r.withTimeout(ctx, func(c context.Context) error {
		return r.store.Put(c, fleetwire.EntriesPrefix+r.opt.Entry, []byte(r.opt.Address), granted.ID)
	})
	if err != nil {
		return 0, err
	}
	eventRegistered.Log(ctx, r.logger, slog.Int64("lease", granted.ID), slog.String("address", r.opt.Address))
	return granted.ID, nil
}

// listLoop reads the list of entries periodically.
func (r *Registry) listLoop(ctx context.Context) {
	failing, first := false, true
	for ctx.Err() == nil {
		var items []store.Item
		err := r.withTimeout(ctx, func(c context.Context) (err error) {
			items, err = r.store.List(c, fleetwire.EntriesPrefix)
			return err
		})
		pause := listInterval
		if err != nil {
			pause = retryInterval
		}
		if err != nil && !failing {
			eventListFailed.Log(ctx, r.logger, slog.String("error", err.Error()))
		}
		failing = err != nil
		var addresses []string
		for _, i := range items {
			addresses = append(addresses, string(i.Value))
		}
		r.AddConfirmed(addresses)
		if first {
			close(r.listed)
			first = false
		}
		uptime.Sleep(ctx, pause)
	}
}

// gossipLoop calls the other entries in turn.
func (r *Registry) gossipLoop(ctx context.Context) {
	transport := fleetwire.NewTransport(fleetwire.DialTimeout)
	defer transport.Close()
	client := &http.Client{Transport: transport}
	var last time.Time
	for ctx.Err() == nil {
		if time.Since(last) >= gossipInterval || !r.config.Fresh() {
			last = time.Now()
			if a := r.nextPeer(); a != "" {
				r.gossipWith(ctx, client, a)
			}
		}
		uptime.Sleep(ctx, staleGossipInterval)
	}
}

// Peers returns the addresses of the other entries that were reported lately, or of the seeds if there are
// none. It waits until the store was asked for them, or ctx ends.
func (r *Registry) Peers(ctx context.Context) []string {
	select {
	case <-r.listed:
	case <-ctx.Done():
	}
	if peers := r.othersOf(r.listOfEntries()); len(peers) > 0 {
		return peers
	}
	return r.othersOf(r.opt.Seeds())
}

// listOfEntries returns a copy of the list.
func (r *Registry) listOfEntries() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// othersOf removes this entry's address.
func (r *Registry) othersOf(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(a string) bool { return a == r.opt.Address })
}

func (r *Registry) nextPeer() string {
	all := r.othersOf(append(r.listOfEntries(), r.opt.Seeds()...))
	if len(all) == 0 {
		return ""
	}
	r.next++
	return all[r.next%len(all)]
}

func (r *Registry) gossipWith(ctx context.Context, client *http.Client, address string) {
	revision, _ := r.config.Current()
	cordons := r.config.Cordons()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := fleetwire.NewClient(client, address).Meet(callCtx, connect.NewRequest(&wirev1.MeetRequest{
		Entry:           r.opt.Entry,
		Address:         r.opt.Address,
		ConfigRevision:  revision,
		CordonsRevision: cordons.RevisionOrZero(),
	}))
	if err != nil {
		eventMeetFailed.Log(ctx, r.logger, slog.String("address", address), slog.String("error", err.Error()))
		client.CloseIdleConnections()
		return
	}
	r.addReported(res.Msg.GetEntries())
	r.AddConfirmed([]string{address})
	if res.Msg.GetConfigRevision() > revision {
		r.config.Apply(ctx, res.Msg.GetConfigRevision(), res.Msg.GetConfig())
	}
	if c := res.Msg.GetCordons(); c != nil {
		r.config.ApplyCordons(ctx, cordon.New(c.GetRevision(), c.GetDataCentres()))
	}
}

// Meet serves another entry's gossip call.
func (r *Registry) Meet(_ context.Context, req *connect.Request[wirev1.MeetRequest]) (*connect.Response[wirev1.MeetResponse], error) {
	r.AddConfirmed([]string{req.Msg.GetAddress()})
	res := &wirev1.MeetResponse{Entries: r.confirmedAddresses()}
	if revision, raw := r.config.Current(); revision > req.Msg.GetConfigRevision() {
		res.ConfigRevision, res.Config = revision, raw
	}
	if set := r.config.Cordons(); set.RevisionOrZero() > req.Msg.GetCordonsRevision() {
		res.Cordons = &wirev1.Cordons{Revision: set.Revision, DataCentres: set.DataCentres()}
	}
	return connect.NewResponse(res), nil
}

func (r *Registry) withTimeout(ctx context.Context, f func(context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(callCtx)
}
