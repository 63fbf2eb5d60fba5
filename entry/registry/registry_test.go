package registry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"almondstand.dev/contract/cordon"
	"almondstand.dev/entry/registry/membership"
	"almondstand.dev/platform/store"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

type noConfig struct{ Config }

func (noConfig) Current() (int64, []byte) { return 0, nil }
func (noConfig) Cordons() *cordon.Set     { return nil }

// cordonConfig is a configuration of which only the cordoned data centres are known.
type cordonConfig struct {
	noConfig
	cordons *cordon.Set
}

func (c *cordonConfig) Cordons() *cordon.Set { return c.cordons }

func (c *cordonConfig) ApplyCordons(_ context.Context, set *cordon.Set) { c.cordons = set }

func registryAt(address string) *Registry {
	return New(Options{
		Entry:   address,
		Address: address,
		Seeds:   func() []string { return nil },
		Logger:  slog.New(slog.NewJSONHandler(io.Discard, nil)),
	}, nil, noConfig{})
}

// gossip has a make one gossip call to b, as gossipLoop does.
func gossip(t *testing.T, a, b *Registry) {
	t.Helper()
	a.newPeer = func(string) (peer, func()) { return b, func() {} }
	a.gossipWith(t.Context(), b.opt.Address)
}

// known returns the entries that a registry knows.
func known(r *Registry) []string {
	r.update(func(*membership.List, time.Time) {})
	return r.list.Addresses()
}

// A host is replaced by one at another address. When entries passed on every address
// that they received, they kept the old one forever: every guard kept dialing it, and
// with 220 hosts replaced a day the list would grow without bound. An address that
// nobody has confirmed for a while must be dropped by all, however often they gossip.
func TestAddressOfAGoneEntryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := registryAt("10.0.0.1:1"), registryAt("10.0.0.2:1"), registryAt("10.0.0.3:1")
		a.AddConfirmed([]string{"10.0.0.9:1"})
		for range 20 {
			gossip(t, a, b)
			gossip(t, b, c)
			gossip(t, c, a)
			time.Sleep(2 * time.Second)
		}
		for _, r := range []*Registry{a, b, c} {
			known := known(r)
			assert.Assert(t, !slices.Contains(known, "10.0.0.9:1"), "%s: %v", r.opt.Entry, known)
			assert.Equal(t, len(known), 3, "%v", known)
		}
	})
}

// An entry that is in no settings must become known to all, through an entry that has
// confirmed its address.
func TestEntryIsDiscoveredThroughOthers(t *testing.T) {
	a, b, c := registryAt("10.0.0.1:1"), registryAt("10.0.0.2:1"), registryAt("10.0.0.3:1")
	gossip(t, c, b)
	gossip(t, a, b)
	assert.DeepEqual(t, known(a), []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
}

// peerService serves the gossip of a registry.
type peerService struct {
	wirev1connect.UnimplementedFleetServiceHandler
	*Registry
}

func (s peerService) Meet(ctx context.Context, req *connect.Request[wirev1.MeetRequest]) (*connect.Response[wirev1.MeetResponse], error) {
	return s.Registry.Meet(ctx, req)
}

// Guards against an entry that the store turns away and that starts tasks in a cordoned data
// centre: its peers tell it, and tell it nothing that is older than what it knows.
func TestCordonsArriveByGossip(t *testing.T) {
	a, b := registryAt("10.0.0.1:1"), registryAt("10.0.0.2:1")
	ours, theirs := &cordonConfig{}, &cordonConfig{cordons: cordon.New(20, []string{"north"})}
	a.config, b.config = ours, theirs
	mux := http.NewServeMux()
	mux.Handle(fleetwire.NewHandler(peerService{Registry: b}))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = fleetwire.NewServer(mux).Protocols
	server.Start()
	defer server.Close()
	gossipOnce := func() { a.gossipWith(t.Context(), server.Listener.Addr().String()) }
	gossipOnce()
	assert.Assert(t, ours.cordons.Contains("north"))
	theirs.cordons = cordon.New(19, nil)
	gossipOnce()
	assert.Equal(t, ours.cordons.Revision, int64(20))
	theirs.cordons = cordon.New(21, nil)
	gossipOnce()
	assert.Assert(t, !ours.cordons.Contains("north"))
}

// Guards against an entry that asks none of the others at its start: its settings name only itself, and the
// store's list has not been read yet.
func TestPeersAreKnownOnceTheStoreWasAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registryAt("10.0.0.1:1")
		r.opt.Seeds = func() []string { return []string{"10.0.0.1:1", "10.0.0.3:1"} }
		r.store = &slowList{delay: 100 * time.Millisecond, addresses: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.listLoop(ctx)
		assert.DeepEqual(t, r.Peers(t.Context()), []string{"10.0.0.2:1", "10.0.0.3:1"})
		hurried, done := context.WithTimeout(t.Context(), time.Millisecond)
		defer done()
		other := registryAt("10.0.0.1:1")
		assert.Equal(t, len(other.Peers(hurried)), 0)
		other.opt.Seeds = r.opt.Seeds
		assert.DeepEqual(t, other.Peers(hurried), []string{"10.0.0.3:1"})
	})
}

// slowList is a store that has only the list of entries.
type slowList struct {
	Store
	delay     time.Duration
	addresses []string
}

func (s *slowList) List(context.Context, string) ([]store.Item, error) {
	time.Sleep(s.delay)
	var items []store.Item
	for _, a := range s.addresses {
		items = append(items, store.Item{Value: []byte(a)})
	}
	return items, nil
}
