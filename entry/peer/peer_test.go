package peer

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/contract"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/entry/member"
	"almondstand.dev/entry/quota"
	"almondstand.dev/platform"
	"almondstand.dev/platform/etcd"
	"almondstand.dev/standin/relay"
	"almondstand.dev/standin/store"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

const secret = "shared by the processes"

// cuttable is one entry's connection to the store, which a test can cut.
type cuttable struct {
	platform.Store
	cut   atomic.Bool
	mu    sync.Mutex
	watch []context.CancelFunc
}

func (c *cuttable) cutOff() {
	c.cut.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.watch {
		cancel()
	}
}

func (c *cuttable) err() error {
	if c.cut.Load() {
		return platform.ErrUnavailable
	}
	return nil
}

func (c *cuttable) Get(ctx context.Context, key string) (*platform.KeyValue, int64, error) {
	if err := c.err(); err != nil {
		return nil, 0, err
	}
	return c.Store.Get(ctx, key)
}

func (c *cuttable) List(ctx context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	if err := c.err(); err != nil {
		return nil, 0, err
	}
	return c.Store.List(ctx, prefix)
}

func (c *cuttable) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := c.err(); err != nil {
		return err
	}
	return c.Store.KeepAlive(ctx, id)
}

func (c *cuttable) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := c.err(); err != nil {
		return 0, err
	}
	return c.Store.Grant(ctx, ttl)
}

func (c *cuttable) Watch(ctx context.Context, prefix string, revision int64, handle func(platform.WatchBatch)) error {
	if err := c.err(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.watch = append(c.watch, cancel)
	c.mu.Unlock()
	if err := c.Store.Watch(ctx, prefix, revision, handle); ctx.Err() == nil {
		return err
	}
	return platform.ErrUnavailable
}

// fakeBare is a fleet that only stores the bare endpoints it receives.
type fakeBare struct {
	mu  sync.Mutex
	all []*wirev1.BareEndpoint
}

func (b *fakeBare) BareEndpoints() []*wirev1.BareEndpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all
}

func (b *fakeBare) ApplyBareEndpoints(got []*wirev1.BareEndpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, got...)
}

func (b *fakeBare) BareUsage() []*wirev1.BareUse             { return nil }
func (b *fakeBare) ApplyBareUsage(string, []*wirev1.BareUse) {}

// entry is one entry without the job engine.
type entry struct {
	info     member.Info
	store    *cuttable
	members  *member.Table
	registry *contracts.Registry
	quota    *quota.Table
	bare     BareSource
	relay    *relay.Relay
	peers    *Peers
	// stalled is the value of Options.StalledTime, and stalls what each reading adds to it, in
	// nanoseconds.
	stalled, stalls atomic.Int64
	server          *http.Server
	stop            context.CancelFunc
	done            sync.WaitGroup
}

type options struct {
	seeds   []string
	noStore bool
	forward ForwardHandler
	// relayed entries are reached through a relay.
	relayed bool
	// bare is the entry's fleet; interval is the time between regular rounds.
	bare     func(*entry) BareSource
	interval time.Duration
	// guards is the part of the entry's fleet used for joining; nil for none.
	guards Guards
}

var incarnations atomic.Uint64

func newEntry(t *testing.T, s *store.Server, id string, o options) *entry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	client, err := etcd.New(etcd.Options{Addresses: []string{s.Address}, Timeout: time.Second})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	e := &entry{
		info: member.Info{
			ID: id, Incarnation: uint64(time.Now().UnixNano()) + incarnations.Add(1),
			Address: l.Addr().String(), DataCentre: "zagreb",
		},
		store: &cuttable{Store: client},
		bare:  &fakeBare{},
	}
	if o.bare != nil {
		e.bare = o.bare(e)
	}
	e.quota = quota.New(quota.Options{Self: peerID(e.info.Wire()).String()})
	if o.relayed {
		e.info.Address = e.throughRelay(t)
	}
	e.store.cut.Store(o.noStore)
	e.members = member.New(member.Options{Self: e.info})
	registrar := member.NewRegistrar(member.RegistrarOptions{Store: e.store, Table: e.members, TTL: 3 * time.Second})
	e.registry = contracts.New(contracts.Options{Store: e.store})
	e.registry.OnChange(func(c contract.Contract) { e.quota.SetContracts(time.Now(), c) })
	e.peers = New(Options{
		Members: e.members, Lease: registrar, Contracts: e.registry, Quota: e.quota, Bare: e.bare, Guards: o.guards,
		Forward: o.forward, Seeds: o.seeds, Secret: secret,
		Interval: cmp.Or(o.interval, 200*time.Millisecond), Isolation: 2 * time.Second,
		StalledTime: func() time.Duration { return time.Duration(e.stalled.Add(e.stalls.Load())) },
	})
	mux := http.NewServeMux()
	mux.Handle(e.peers.Handler())
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	e.server = &http.Server{Handler: mux, Protocols: protocols}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.done.Go(func() { _ = e.server.Serve(l) })
	e.done.Go(func() { _ = registrar.Run(ctx) })
	e.done.Go(func() { _ = e.registry.Run(ctx) })
	e.done.Go(func() { _ = e.peers.Run(ctx) })
	t.Cleanup(e.kill)
	return e
}

// throughRelay returns an address that relays to the entry's own.
func (e *entry) throughRelay(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.relay = relay.New(e.info.Address)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = e.relay.Serve(ctx, l) }()
	return l.Addr().String()
}

// kill stops the entry at once, like a crash.
func (e *entry) kill() {
	e.stop()
	_ = e.server.Close()
	e.done.Wait()
}

func newStore(t *testing.T) *store.Server {
	t.Helper()
	s, err := store.Serve()
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.SetProgressInterval(100 * time.Millisecond)
	return s
}

func sample(rate float64) contract.Contract {
	digest := sha256.Sum256([]byte("token"))
	return contract.Contract{
		Client: "karlovac", State: contract.Active, Rate: rate, Burst: 100, InFlight: 100, Priority: 5,
		AnswerTime: contract.Duration(2 * time.Second), RunLimit: contract.Duration(time.Second),
		Objective: 0.99, Services: []string{"teardown"}, TokenDigests: []string{hex.EncodeToString(digest[:])},
	}
}

func apply(t *testing.T, e *entry, c contract.Contract) {
	t.Helper()
	w := contracts.NewWriter(contracts.WriterOptions{Store: e.store, Registry: e.registry, Timeout: 3 * time.Second})
	_, err := w.Apply(t.Context(), c, contracts.Precondition{AnyRevision: true})
	assert.NilError(t, err)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(30*time.Second))
}

func (e *entry) serves() bool {
	ok, _ := e.peers.MayServe(time.Now())
	return ok
}

func (e *entry) rate() float64 {
	c, _ := e.registry.ByClient("karlovac")
	return c.Rate
}

// share is the entry's own rate of the only contract.
func (e *entry) share() float64 {
	all := e.quota.Statuses(time.Now())
	if len(all) == 0 {
		return 0
	}
	return all[0].Rate
}

// One of three entries is cut off from the store when a contract changes. It must learn
// from the gossip that its configuration differs, fetch the change from a peer, and keep
// serving.
func TestChangeReachesAnEntryCutOffFromTheStore(t *testing.T) {
	s := newStore(t)
	a, b, c := newEntry(t, s, "a", options{}), newEntry(t, s, "b", options{}), newEntry(t, s, "c", options{})
	for _, e := range []*entry{a, b, c} {
		eventually(t, "serving", e.serves)
	}
	apply(t, a, sample(90))
	for _, e := range []*entry{a, b, c} {
		eventually(t, "first version", func() bool { return e.rate() == 90 })
		eventually(t, "a third of the rate", func() bool { return e.share() == 30 })
	}
	c.store.cutOff()
	apply(t, a, sample(60))
	eventually(t, "second version", func() bool { return c.rate() == 60 })
	assert.Assert(t, c.serves())
	assert.Equal(t, c.registry.Digest(), a.registry.Digest())
}

// A new entry starts while the store is down. It finds one entry through its seed
// address, receives the contracts and the list of entries from it, and takes its share
// once all of them have confirmed it.
func TestNewEntryWithoutTheStore(t *testing.T) {
	s := newStore(t)
	a, b := newEntry(t, s, "a", options{}), newEntry(t, s, "b", options{})
	eventually(t, "serving", func() bool { return a.serves() && b.serves() })
	apply(t, a, sample(90))
	eventually(t, "in force", func() bool { return b.rate() == 90 })
	a.store.cutOff()
	b.store.cutOff()
	c := newEntry(t, s, "c", options{noStore: true, seeds: []string{a.info.Address}})
	eventually(t, "serving", c.serves)
	assert.Equal(t, c.rate(), 90.0)
	for _, e := range []*entry{a, b, c} {
		eventually(t, "a third of the rate", func() bool { return e.share() == 30 })
	}
}

// An entry reaches neither the store nor the only other entry, which has crashed. It
// must stop serving, since it might be the one that is cut off.
func TestIsolatedEntryStopsServing(t *testing.T) {
	s := newStore(t)
	a, b := newEntry(t, s, "a", options{}), newEntry(t, s, "b", options{})
	eventually(t, "serving", func() bool { return a.serves() && b.serves() })
	a.store.cutOff()
	b.kill()
	eventually(t, "not serving", func() bool { return !a.serves() })
	a.store.cut.Store(false)
	eventually(t, "serving again", a.serves)
}

// Guards against an entry that rejects new work as isolated because it was suspended while
// it waited for its peers' answers.
func TestRecheckOutlastsSuspension(t *testing.T) {
	s := newStore(t)
	a, b := newEntry(t, s, "a", options{}), newEntry(t, s, "b", options{relayed: true})
	eventually(t, "serving", func() bool { return a.serves() && b.serves() })
	a.store.cutOff()
	assert.NilError(t, b.relay.Set(relay.State{ToTarget: relay.Stall, ToClient: relay.Stall}))
	eventually(t, "not serving", func() bool { return !a.serves() })
	a.stalls.Store(int64(time.Minute))
	result := make(chan bool, 1)
	go func() {
		ok, _ := a.peers.AwaitServing(t.Context())
		result <- ok
	}()
	eventually(t, "a recheck", a.peers.recheckInProgress)
	time.Sleep(2 * recheckLimit)
	assert.NilError(t, b.relay.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}))
	assert.Assert(t, <-result)
}

func (p *Peers) recheckInProgress() bool {
	p.recheck.mu.Lock()
	defer p.recheck.mu.Unlock()
	if p.recheck.done == nil {
		return false
	}
	select {
	case <-p.recheck.done:
		return false
	default:
		return true
	}
}

// A request is forwarded to its owner. When the owner crashes, the forwarding entry must
// report at once that it does not answer. When a newer incarnation takes the owner's id,
// a request addressed to the old incarnation must not be delivered to it.
func TestForward(t *testing.T) {
	s := newStore(t)
	echo := func(_ context.Context, r *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error) {
		return &wirev1.ForwardResponse{Status: 200, Body: r.GetBody()}, nil
	}
	a, b := newEntry(t, s, "a", options{}), newEntry(t, s, "b", options{forward: echo})
	eventually(t, "b known", func() bool { return a.members.Status("b", b.info.Incarnation) == member.Live })
	req := &wirev1.ForwardRequest{Submission: "s", Body: []byte("job")}
	resp, err := a.peers.Forward(t.Context(), "b", req)
	assert.NilError(t, err)
	assert.Equal(t, string(resp.GetBody()), "job")

	b.kill()
	_, err = a.peers.Forward(t.Context(), "b", req)
	assert.Assert(t, errors.Is(err, ErrPeerUnresponsive), "%v", err)
	eventually(t, "b silent", func() bool { return a.members.Status("b", b.info.Incarnation) == member.Silent })

	newer := newEntry(t, s, "b", options{forward: echo})
	eventually(t, "b gone", func() bool { return a.members.Status("b", b.info.Incarnation) == member.Gone })
	_, err = a.peers.Forward(t.Context(), "b", &wirev1.ForwardRequest{ToIncarnation: b.info.Incarnation})
	assert.Assert(t, errors.Is(err, ErrPeerGone), "%v", err)
	_, err = a.peers.Forward(t.Context(), "nobody", req)
	assert.Assert(t, errors.Is(err, ErrPeerUnresponsive), "%v", err)
	_, err = a.peers.Forward(t.Context(), "b", &wirev1.ForwardRequest{ToIncarnation: newer.info.Incarnation})
	assert.NilError(t, err)
}

// An entry leaves gracefully. The other one must take the whole share at once, without
// waiting for the lease to expire.
func TestLeavingEntryReleasesItsShare(t *testing.T) {
	s := newStore(t)
	a, b := newEntry(t, s, "a", options{}), newEntry(t, s, "b", options{})
	eventually(t, "serving", func() bool { return a.serves() && b.serves() })
	apply(t, a, sample(90))
	eventually(t, "half of the rate", func() bool { return a.share() == 45 && b.share() == 45 })
	b.peers.Drain()
	eventually(t, "shown as draining", func() bool {
		p, known := a.members.Peer("b")
		return known && p.Info.Draining
	})
	assert.NilError(t, b.peers.Leave(t.Context()))
	assert.Equal(t, b.share(), 0.0)
	eventually(t, "whole rate", func() bool { return a.share() == 90 })
	assert.Equal(t, a.members.Status("b", b.info.Incarnation), member.Gone)
}

// A network device between two entries drops the state of their open connection: the
// connection hangs while new ones work. The HTTP/2 ping detects this and a new
// connection replaces it; a forwarded request that hung on the old one must end as
// unanswered, not at its deadline.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s := newStore(t)
	hang := func(ctx context.Context, _ *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, b := newEntry(t, s, "a", options{}), newEntry(t, s, "b", options{forward: hang, relayed: true})
	known := func() bool {
		return a.members.Status("b", b.info.Incarnation) == member.Live && a.peers.lastAnswered.Load() != nil
	}
	eventually(t, "b known", known)
	failed := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() {
		_, err := a.peers.Forward(ctx, "b", &wirev1.ForwardRequest{})
		failed <- err
	}()
	// The call has been sent once the connection has carried a later response.
	began := *a.peers.lastAnswered.Load()
	eventually(t, "an exchange after the call", func() bool { return a.peers.lastAnswered.Load().Sub(began) > time.Second })
	b.relay.Blackhole(true, true)
	forgotten := time.Now()
	err := <-failed
	assert.Assert(t, errors.Is(err, ErrPeerUnresponsive), "%v", err)
	assert.NilError(t, ctx.Err())
	eventually(t, "an answer on the new connection", func() bool { return a.peers.lastAnswered.Load().After(forgotten) })
}

// A process without the cluster secret calls the internal interface: the call is
// rejected and its content ignored.
func TestCallWithoutSecretIsRejected(t *testing.T) {
	s := newStore(t)
	a := newEntry(t, s, "a", options{})
	for _, wrong := range []string{"", "guess"} {
		client := newPool(Options{Secret: wrong}).client(a.info.Address)
		_, err := client.Exchange(t.Context(), connect.NewRequest(&wirev1.ExchangeRequest{
			From: &wirev1.EntryInfo{Id: "x", Incarnation: 1, Address: "127.0.0.1:1"},
		}))
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	}
	assert.Equal(t, len(a.members.Peers()), 0)
}

// brokenPeer omits records from its response, or claims to hold more.
type brokenPeer struct {
	wirev1connect.PeerServiceClient
	corrupt func(*wirev1.FetchContractsResponse)
	from    *contracts.Registry
}

func (b brokenPeer) FetchContracts(_ context.Context, req *connect.Request[wirev1.FetchContractsRequest]) (*connect.Response[wirev1.FetchContractsResponse], error) {
	resp := proto.CloneOf(b.from.BuildResponse(req.Msg))
	b.corrupt(resp)
	return connect.NewResponse(resp), nil
}

// A new entry without the store fetches contracts from a peer, and the response lacks a
// record or has modified bytes. Nothing of it may be used: the entry stays without
// contracts and does not serve until it gets a complete response.
func TestPartialContractsAreRejected(t *testing.T) {
	s := newStore(t)
	a := newEntry(t, s, "a", options{})
	eventually(t, "serving", a.serves)
	apply(t, a, sample(90))
	other := sample(30)
	other.Client, other.TokenDigests = "osijek", nil
	apply(t, a, other)
	c := newEntry(t, s, "c", options{noStore: true})
	for name, corrupt := range map[string]func(*wirev1.FetchContractsResponse){
		"record missing": func(r *wirev1.FetchContractsResponse) { r.Records = r.Records[:1] },
		"count too high": func(r *wirev1.FetchContractsResponse) { r.Total++ },
		"value changed":  func(r *wirev1.FetchContractsResponse) { r.Records[0].Value[0] ^= 1 },
	} {
		err := c.peers.fetchContracts(t.Context(), brokenPeer{corrupt: corrupt, from: a.registry})
		assert.Assert(t, errors.Is(err, contracts.ErrIncomplete), "%s: %v", name, err)
		assert.Assert(t, !c.peers.hasContracts(), name)
		assert.Equal(t, len(c.registry.All()), 0, name)
	}
	assert.NilError(t, c.peers.fetchContracts(t.Context(), brokenPeer{corrupt: func(*wirev1.FetchContractsResponse) {}, from: a.registry}))
	assert.Assert(t, c.peers.hasContracts())
	assert.Equal(t, len(c.registry.All()), 2)
}

// All load of a client arrives at one of three entries. The others must lease it the
// rate they do not use, by gossip.
func TestQuotaLeasesOverTheWire(t *testing.T) {
	s := newStore(t)
	a, b, c := newEntry(t, s, "a", options{}), newEntry(t, s, "b", options{}), newEntry(t, s, "c", options{})
	apply(t, a, sample(900))
	for _, e := range []*entry{a, b, c} {
		eventually(t, "a third of the rate", func() bool { return e.share() == 300 })
	}
	eventually(t, "nine tenths of the rate", func() bool {
		for range 10 {
			if d := a.quota.Admit(time.Now(), "karlovac", 10); d.OK {
				d.Release()
			}
		}
		return a.share() >= 810
	})
	assert.Assert(t, b.share()+c.share() <= 90)
}
