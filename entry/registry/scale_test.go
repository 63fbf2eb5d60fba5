package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"almondstand.dev/entry/registry/membership"
	"almondstand.dev/platform/store"
	"almondstand.dev/wire/wirev1"
)

// small and large are the numbers of entries at which these tests count.
const (
	small = 40
	large = 160
)

const (
	// startSpread is the time within which all entries start.
	startSpread = 400 * time.Millisecond
	// listDelay is the age of the lists that the store returns.
	listDelay = 800 * time.Millisecond
)

// deployment is a store and entries that reach each other, in simulated time.
type deployment struct {
	store   *staleStore
	entries []*Registry
	byName  map[string]*Registry

	mu      sync.Mutex
	started map[*Registry]bool
	// calls and bytes are the gossip calls and the size of their answers since the last reset.
	calls, bytes int
}

// staleStore lists keys as they were listDelay ago.
type staleStore struct {
	mu sync.Mutex
	// registered and removed are the times of an entry's registration and of its key's removal.
	registered, removed map[string]time.Time
	rejected            map[string]bool
}

// storeFor is the store as one entry sees it.
type storeFor struct {
	*staleStore
	address string
}

var (
	errStoreRejects = errors.New("the store rejects this entry")
	errNotStarted   = errors.New("the entry has not started")
)

func (s storeFor) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejected[s.address] {
		return errStoreRejects
	}
	return nil
}

func (s storeFor) List(context.Context, string) ([]store.Item, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-listDelay)
	var items []store.Item
	for a, at := range s.registered {
		if removed := s.removed[a]; at.Before(asOf) && (removed.IsZero() || removed.After(asOf)) {
			items = append(items, store.Item{Value: []byte(a)})
		}
	}
	return items, nil
}

func (s storeFor) GrantLease(context.Context, time.Duration) (store.Lease, error) {
	return store.Lease{ID: 1}, s.check()
}

func (s storeFor) RenewLease(context.Context, int64) error  { return s.check() }
func (s storeFor) RevokeLease(context.Context, int64) error { return nil }

func (s storeFor) Put(context.Context, string, []byte, int64) error {
	if err := s.check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered[s.address] = time.Now()
	return nil
}

// freshConfig is a configuration that is as new as the store's unless the store rejects the entry.
type freshConfig struct {
	noConfig
	store storeFor
}

func (c freshConfig) Fresh() bool { return c.store.check() == nil }

// countedPeer counts the calls to an entry and the bytes of its answers.
type countedPeer struct {
	*Registry
	d *deployment
}

func (p countedPeer) Meet(ctx context.Context, req *connect.Request[wirev1.MeetRequest]) (*connect.Response[wirev1.MeetResponse], error) {
	time.Sleep(time.Millisecond)
	if !p.d.isStarted(p.Registry) {
		return nil, errNotStarted
	}
	res, err := p.Registry.Meet(ctx, req)
	p.d.mu.Lock()
	p.d.calls++
	p.d.bytes += proto.Size(res.Msg)
	p.d.mu.Unlock()
	return res, err
}

func (d *deployment) isStarted(r *Registry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started[r]
}

// newDeployment returns n entries that have not started.
func newDeployment(n int) *deployment {
	d := &deployment{
		store:   &staleStore{registered: map[string]time.Time{}, removed: map[string]time.Time{}, rejected: map[string]bool{}},
		byName:  map[string]*Registry{},
		started: map[*Registry]bool{},
	}
	addresses := make([]string, n)
	for i := range n {
		addresses[i] = fmt.Sprintf("10.0.%d.%d:1", i/250, 1+i%250)
	}
	for _, a := range addresses {
		s := storeFor{d.store, a}
		r := New(Options{
			Entry: a, Address: a, Seeds: func() []string { return addresses[:3:3] },
			Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)),
		}, s, freshConfig{store: s})
		r.newPeer = func(address string) (peer, func()) { return countedPeer{d.byName[address], d}, func() {} }
		d.byName[a] = r
		d.entries = append(d.entries, r)
	}
	return d
}

// run runs all entries in simulated time, in which they start within startSpread, while during is
// executed.
func (d *deployment) run(t *testing.T, during func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, r := range d.entries {
		running.Go(func() {
			time.Sleep(rand.N(startSpread))
			d.mu.Lock()
			r.list = membership.New(r.opt.Address, time.Now())
			d.started[r] = true
			d.mu.Unlock()
			_ = r.Run(ctx)
		})
	}
	during()
	cancel()
	running.Wait()
}

// reset restarts the counts and returns those before.
func (d *deployment) reset() (calls, bytes float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := float64(len(d.entries))
	calls, bytes = float64(d.calls)/n, float64(d.bytes)/n
	d.calls, d.bytes = 0, 0
	return calls, bytes
}

// incomplete counts the entries that do not know all others.
func (d *deployment) incomplete() int {
	n := 0
	for _, r := range d.entries {
		if d.isStarted(r) && len(r.Members().Addresses) < len(d.entries) {
			n++
		}
	}
	return n
}

// Guards against entries without guards after a start of all processes: the store's list is as
// old as the start, so it lacks most of them. They must find each other within a second, and an
// entry's calls must not grow with their number, nor its bytes faster than the list.
func TestEntriesThatStartTogetherFindEachOther(t *testing.T) {
	count := func(n int) (calls, bytes float64) {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(n)
			d.run(t, func() {
				time.Sleep(startSpread + time.Second)
				assert.Equal(t, d.incomplete(), 0, "of %d entries", n)
				time.Sleep(time.Second)
				for _, r := range d.entries {
					assert.Equal(t, r.Members().Phase, membership.Settled)
				}
				calls, bytes = d.reset()
			})
		})
		return calls, bytes
	}
	fewCalls, fewBytes := count(small)
	calls, bytes := count(large)
	t.Logf("per entry: %.1f and %.1f calls, %.0f and %.0f bytes", fewCalls, calls, fewBytes, bytes)
	assert.Assert(t, calls <= 1.5*fewCalls, "%.1f calls an entry at %d entries, %.1f at %d", calls, large, fewCalls, small)
	assert.Assert(t, bytes <= 1.5*fewBytes*large/small, "%.0f bytes an entry at %d entries, %.0f at %d", bytes, large, fewBytes, small)
}

// Guards against gossip that carries the whole list although nothing has changed: at rest its
// cost must not depend on the number of entries.
func TestGossipAtRestCarriesNoList(t *testing.T) {
	for _, n := range []int{small, large} {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(n)
			d.run(t, func() {
				time.Sleep(20 * time.Second)
				d.reset()
				time.Sleep(time.Minute)
				calls, bytes := d.reset()
				assert.Assert(t, bytes <= 10*calls, "%.1f bytes in %.1f calls", bytes, calls)
				shortest := (1 - jitter/2) * gossipInterval.Seconds()
				assert.Assert(t, calls <= 60/shortest+1, "%.1f calls in a minute", calls)
			})
		})
	}
}

// Guards against entries that are forgotten, and lose their guards, while the store rejects a
// third of the entries and has dropped their keys. All must stay known to all, and the cost of an
// entry must not grow faster than the number of entries that the store lacks.
func TestEntriesThatTheStoreRejectsStayKnown(t *testing.T) {
	count := func(n int) (bytes float64) {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(n)
			d.run(t, func() {
				time.Sleep(10 * time.Second)
				d.store.mu.Lock()
				for _, r := range d.entries[:n/3] {
					d.store.rejected[r.opt.Address] = true
					d.store.removed[r.opt.Address] = time.Now()
				}
				d.store.mu.Unlock()
				for range 20 {
					time.Sleep(time.Second)
					assert.Equal(t, d.incomplete(), 0, "of %d entries", n)
				}
				d.reset()
				for range 60 {
					time.Sleep(time.Second)
					assert.Equal(t, d.incomplete(), 0, "of %d entries", n)
				}
				_, bytes = d.reset()
			})
		})
		return bytes
	}
	few, many := count(small), count(large)
	t.Logf("%.0f and %.0f bytes an entry in a minute", few, many)
	assert.Assert(t, many <= 1.25*few*large/small, "%.0f bytes an entry at %d entries, %.0f at %d", many, large, few, small)
}
