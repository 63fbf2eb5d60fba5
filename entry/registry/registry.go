// Package registry makes entries known to each other and to the guards: by a key with a
// lease in the store, and by gossip with other entries while the store is unreachable.
package registry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/contract/cordon"
	"almondstand.dev/entry/registry/membership"
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
	// listInterval is the pause between reads of the list of entries. After the start it doubles
	// from firstListInterval: the first list lacks the entries that start at the same time.
	listInterval      = 3 * time.Second
	firstListInterval = 200 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = 500 * time.Millisecond
	// retryInterval is the pause after a failed call to the store.
	retryInterval = time.Second
	// publishInterval is the shortest time between two changes of the list that guards are sent,
	// and discoveryPublishInterval that during discovery, while some entries have no guard yet.
	publishInterval          = time.Second
	discoveryPublishInterval = 100 * time.Millisecond
	// jitter is the part of a pause that is random, so that entries that start together do not
	// call together.
	jitter = 0.5
)

// Intervals between gossip calls.
const (
	// gossipInterval applies while this entry and all that it knows are in contact with the store.
	gossipInterval = 4 * time.Second
	// staleGossipInterval applies while this entry cannot read the store, or while the store does
	// not list an entry that is known: a new configuration then arrives by gossip within 2 s, and
	// every entry hears of that one before it would drop it.
	staleGossipInterval = 400 * time.Millisecond
	// discoveryGossipInterval applies after the start and after an entry was added; it doubles from
	// then on.
	discoveryGossipInterval = 50 * time.Millisecond
	// maxInFlightCalls bounds concurrent gossip calls: one to an entry whose host is gone must
	// not delay the next.
	maxInFlightCalls = 2
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

	// newPeer returns a client for the gossip calls to an address, and ends its connection.
	newPeer func(address string) (peer, func())

	mu   sync.Mutex
	list *membership.List
	// published is what guards are sent, since publishedAt.
	published   membership.Snapshot
	publishedAt time.Time
	// order holds the entries still to be called in this round, in random order.
	order []string
	// listedAt is when the store last returned the list of entries, or when the registry was made.
	listedAt time.Time
	// listed is closed once the list of entries was read for the first time, or could not be.
	listed chan struct{}
}

// peer is the part of another entry's service that the registry uses.
type peer interface {
	Meet(ctx context.Context, req *connect.Request[wirev1.MeetRequest]) (*connect.Response[wirev1.MeetResponse], error)
}

// New returns a registry that knows only this entry.
func New(o Options, s Store, c Config) *Registry {
	r := &Registry{opt: o, store: s, config: c, logger: o.Logger, newPeer: dialPeer, list: membership.New(o.Address, time.Now()), listedAt: time.Now(), listed: make(chan struct{})}
	r.published = r.list.Snapshot()
	return r
}

// dialPeer uses a connection of its own for each peer and call: with connections that are kept,
// every entry would end up with one to every other.
func dialPeer(address string) (peer, func()) {
	transport := fleetwire.NewTransport(fleetwire.DialTimeout)
	return fleetwire.NewClient(&http.Client{Transport: transport}, address), transport.Close
}

// Members returns the known entries. Changes in quick succession are gathered into one.
func (r *Registry) Members() membership.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := publishInterval
	if r.published.Phase == membership.Discovering {
		interval = discoveryPublishInterval
	}
	current, now := r.list.Snapshot(), time.Now()
	if current.Version != r.published.Version && now.Sub(r.publishedAt) >= interval {
		r.published, r.publishedAt = current, now
	}
	return r.published
}

// Status describes what is known of the entries.
type Status struct {
	// Members is the number of known entries, this one included, and Unlisted is the number of
	// those that the store does not list.
	Members, Unlisted int
	// ListAge is the time since the store last returned the list of entries.
	ListAge time.Duration
}

// Status returns what is known of the entries now.
func (r *Registry) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return Status{Members: len(r.list.Addresses()), Unlisted: r.list.Unlisted(now), ListAge: now.Sub(r.listedAt)}
}

func (r *Registry) recordListed(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = at
}

// AddConfirmed adds addresses of entries that the caller reaches.
func (r *Registry) AddConfirmed(addresses []string) {
	addresses = r.validAddresses(addresses)
	r.update(func(l *membership.List, now time.Time) { l.Seen(addresses, now) })
}

// update applies what was learned to the list and logs how the list has changed.
func (r *Registry) update(apply func(l *membership.List, now time.Time)) {
	r.mu.Lock()
	now := time.Now()
	apply(r.list, now)
	before := r.list.Phase()
	change := r.list.Update(now)
	phase, known := r.list.Phase(), len(r.list.Addresses())
	r.mu.Unlock()
	if !change.IsZero() {
		eventMembers.Log(context.Background(), r.logger, slog.Int("entries", known),
			slog.Int("added", len(change.Added)), slog.Any("first_added", firstOf(change.Added)),
			slog.Int("removed", len(change.Removed)), slog.Any("first_removed", firstOf(change.Removed)))
	}
	if phase != before {
		eventSettled.Log(context.Background(), r.logger, slog.Int("entries", known))
	}
}

// maxLoggedAddresses bounds the addresses of one log line.
const maxLoggedAddresses = 5

func firstOf(addresses []string) []string { return addresses[:min(len(addresses), maxLoggedAddresses)] }

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
		uptime.Sleep(ctx, jittered(pause))
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
	next := firstListInterval
	for ctx.Err() == nil {
		var items []store.Item
		err := r.withTimeout(ctx, func(c context.Context) (err error) {
			items, err = r.store.List(c, fleetwire.EntriesPrefix)
			return err
		})
		pause := next
		if err != nil {
			pause = retryInterval
		}
		next = min(2*next, listInterval)
		if err != nil && !failing {
			eventListFailed.Log(ctx, r.logger, slog.String("error", err.Error()))
		}
		failing = err != nil
		if err == nil {
			r.recordListed(time.Now())
		}
		var values []string
		for _, i := range items {
			values = append(values, string(i.Value))
		}
		addresses := r.validAddresses(values)
		r.update(func(l *membership.List, now time.Time) { l.Listed(addresses, now) })
		if first {
			close(r.listed)
			first = false
		}
		uptime.Sleep(ctx, jittered(pause))
	}
}

// jittered returns a random pause with the given mean.
func jittered(pause time.Duration) time.Duration {
	return time.Duration(randomFactor() * float64(pause))
}

// randomFactor returns a random number with mean 1.
func randomFactor() float64 { return 1 + jitter*(rand.Float64()-0.5) }

// gossipLoop calls the other entries, in an order of this entry's own.
func (r *Registry) gossipLoop(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	inFlight := make(chan struct{}, maxInFlightCalls)
	for ctx.Err() == nil {
		r.startGossip(ctx, &calls, inFlight)
		r.awaitNextGossip(ctx)
	}
}

// awaitNextGossip waits for the interval between gossip calls, which may become shorter meanwhile.
func (r *Registry) awaitNextGossip(ctx context.Context) {
	start := time.Now()
	factor := randomFactor()
	for ctx.Err() == nil {
		interval := time.Duration(factor * float64(r.currentGossipInterval()))
		left := interval - time.Since(start)
		if left <= 0 {
			return
		}
		uptime.Sleep(ctx, min(left, staleGossipInterval))
	}
}

// startGossip calls the next entry unless maxInFlightCalls are unanswered.
func (r *Registry) startGossip(ctx context.Context, calls *sync.WaitGroup, inFlight chan struct{}) {
	select {
	case inFlight <- struct{}{}:
	default:
		return
	}
	address := r.nextPeer()
	calls.Go(func() {
		defer func() { <-inFlight }()
		if address != "" {
			r.gossipWith(ctx, address)
		}
	})
}

// currentGossipInterval returns the interval between gossip calls.
func (r *Registry) currentGossipInterval() time.Duration {
	r.update(func(*membership.List, time.Time) {})
	fresh := r.config.Fresh()
	r.mu.Lock()
	defer r.mu.Unlock()
	steady := gossipInterval
	if !fresh || r.list.Unlisted(time.Now()) > 0 {
		steady = staleGossipInterval
	}
	return r.list.GossipInterval(discoveryGossipInterval, steady)
}

// Peers returns the addresses of the other entries that were seen lately, or of the seeds if there are
// none. It waits until the store was asked for them, or ctx ends.
func (r *Registry) Peers(ctx context.Context) []string {
	select {
	case <-r.listed:
	case <-ctx.Done():
	}
	if peers := r.others(); len(peers) > 0 {
		return peers
	}
	return r.withoutSelf(r.opt.Seeds())
}

// others returns a copy of the list without this entry.
func (r *Registry) others() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.withoutSelf(slices.Clone(r.list.Addresses()))
}

// withoutSelf removes this entry's address.
func (r *Registry) withoutSelf(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(a string) bool { return a == r.opt.Address })
}

// nextPeer returns the entry to call next, or "" if none is known. Each round calls every entry
// that was known at its start once, in random order.
func (r *Registry) nextPeer() string {
	seeds := r.opt.Seeds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.order) == 0 || r.list.Phase() == membership.Discovering {
		r.order = r.withoutSelf(slices.Concat(r.list.Addresses(), seeds))
		slices.Sort(r.order)
		r.order = slices.Compact(r.order)
		rand.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
	}
	if len(r.order) == 0 {
		return ""
	}
	next := r.order[0]
	r.order = r.order[1:]
	return next
}

func (r *Registry) gossipWith(ctx context.Context, address string) {
	revision, _ := r.config.Current()
	cordons := r.config.Cordons()
	client, closeConnection := r.newPeer(address)
	defer closeConnection()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	had, digest := r.addressesAndDigest()
	res, err := client.Meet(callCtx, connect.NewRequest(&wirev1.MeetRequest{
		Entry:           r.opt.Entry,
		Address:         r.opt.Address,
		ConfigRevision:  revision,
		CordonsRevision: cordons.RevisionOrZero(),
		EntriesDigest:   digest,
	}))
	if err != nil {
		eventMeetFailed.Log(ctx, r.logger, slog.String("address", address), slog.String("error", err.Error()))
		return
	}
	answer := r.answerOf(res.Msg)
	r.update(func(l *membership.List, now time.Time) {
		l.Merge(answer, had, asked)
		l.Seen([]string{address}, now)
	})
	if res.Msg.GetConfigRevision() > revision {
		r.config.Apply(ctx, res.Msg.GetConfigRevision(), res.Msg.GetConfig())
	}
	if c := res.Msg.GetCordons(); c != nil {
		r.config.ApplyCordons(ctx, cordon.New(c.GetRevision(), c.GetDataCentres()))
	}
}

func (r *Registry) addressesAndDigest() ([]string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Addresses(), r.list.Digest()
}

// answerOf converts what another entry answered, without malformed addresses.
func (r *Registry) answerOf(m *wirev1.MeetResponse) membership.Answer {
	a := membership.Answer{SameEntries: m.GetSameEntries(), OthersAge: time.Duration(m.GetOthersAgeMs()) * time.Millisecond}
	for _, k := range m.GetKnown() {
		if valid := r.validAddresses([]string{k.GetAddress()}); len(valid) > 0 {
			a.Known = append(a.Known, membership.Known{Address: valid[0], Age: time.Duration(k.GetAgeMs()) * time.Millisecond})
		}
	}
	return a
}

// Meet serves another entry's gossip call.
func (r *Registry) Meet(_ context.Context, req *connect.Request[wirev1.MeetRequest]) (*connect.Response[wirev1.MeetResponse], error) {
	r.AddConfirmed([]string{req.Msg.GetAddress()})
	res := r.answer(req.Msg.GetEntriesDigest())
	if revision, raw := r.config.Current(); revision > req.Msg.GetConfigRevision() {
		res.ConfigRevision, res.Config = revision, raw
	}
	if set := r.config.Cordons(); set.RevisionOrZero() > req.Msg.GetCordonsRevision() {
		res.Cordons = &wirev1.Cordons{Revision: set.Revision, DataCentres: set.DataCentres()}
	}
	return connect.NewResponse(res), nil
}

// answer returns what to answer an entry whose list has the given digest.
func (r *Registry) answer(digest uint64) *wirev1.MeetResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.list.Answer(digest, time.Now())
	res := &wirev1.MeetResponse{SameEntries: a.SameEntries, OthersAgeMs: uint32(a.OthersAge.Milliseconds())}
	for _, k := range a.Known {
		res.Known = append(res.Known, &wirev1.KnownEntry{Address: k.Address, AgeMs: uint32(k.Age.Milliseconds())})
	}
	return res
}

func (r *Registry) withTimeout(ctx context.Context, f func(context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(callCtx)
}
