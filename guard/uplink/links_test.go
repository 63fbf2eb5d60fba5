package uplink

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/guard/subset"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// manyGuards is the number of guards that the entries of these tests report: enough for
// subsets to keep their size.
const manyGuards = 100

// entry is an entry that lists the others and releases guards that ask for it.
type entry struct {
	wirev1connect.UnimplementedFleetServiceHandler
	name    string
	address string
	server  *http.Server
	named   []string
	// guards is the guard count that the entry reports.
	guards uint32
	// discovery is closed once the entry has discovered all of discovered; nil if it has
	// discovered the others from the start.
	discovery  chan struct{}
	discovered []string

	mu       sync.Mutex
	sessions int
	// attempts counts the sessions that were opened.
	attempts int
	// holds prevents the release of a guard, as open runs do.
	holds bool
	// releaseRequests counts the messages in which a guard asked to be released.
	releaseRequests int
}

func (e *entry) Attach(_ context.Context, st *connect.BidiStream[wirev1.AttachRequest, wirev1.AttachResponse]) error {
	if _, err := st.Receive(); err != nil {
		return err
	}
	e.add(1)
	defer e.add(-1)
	discovering := e.discovering()
	err := st.Send(&wirev1.AttachResponse{
		Handshake: &wirev1.EntryHandshake{Entry: e.name, Incarnation: 1}, Entries: e.named, Guards: e.guards, Discovering: discovering,
	})
	if err != nil {
		return err
	}
	retiring := false
	for {
		m, err := st.Receive()
		if err != nil {
			return connect.NewError(connect.CodeAborted, err)
		}
		if m.GetCapacity() != nil {
			retiring = m.GetCapacity().GetRetiring()
		}
		if retiring && e.releases() {
			return nil
		}
		next := &wirev1.AttachResponse{Guards: e.guards, Discovering: e.discovering()}
		if discovering && !next.GetDiscovering() {
			next.EntriesAdded = e.discovered
		}
		discovering = next.GetDiscovering()
		if err := st.Send(next); err != nil {
			return err
		}
	}
}

// discovering reports whether the entry still discovers the others.
func (e *entry) discovering() bool {
	if e.discovery == nil {
		return false
	}
	select {
	case <-e.discovery:
		return false
	default:
		return true
	}
}

func (e *entry) add(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sessions += n
	e.attempts += max(n, 0)
}

func (e *entry) attached() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sessions > 0
}

func (e *entry) releases() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseRequests++
	return !e.holds
}

func (e *entry) listen(t *testing.T, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	e.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.Handle(wirev1connect.NewFleetServiceHandler(e))
	e.server = fleetwire.NewServer(mux)
	server := e.server
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// entries starts n entries that list each other.
func entries(t *testing.T, n int) []*entry {
	t.Helper()
	all := make([]*entry, n)
	for i := range all {
		all[i] = &entry{name: fmt.Sprintf("entry-%d", i), guards: manyGuards}
		all[i].listen(t, "127.0.0.1:0")
	}
	for _, e := range all {
		e.named = addresses(all)
	}
	return all
}

func addresses(all []*entry) []string {
	var list []string
	for _, e := range all {
		list = append(list, e.address)
	}
	return list
}

// startGuard starts a guard whose settings list the first three entries.
func startGuard(t *testing.T, all []*entry, list func(context.Context) ([]string, error)) {
	t.Helper()
	seeds := addresses(all)[:3]
	up := New(Options{
		Guard:   "guard",
		Seeds:   func() []string { return seeds },
		Entries: list,
		Logger:  slog.New(slog.NewJSONHandler(io.Discard, nil)),
	}, noHost{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- up.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// deployment starts n entries and a guard that discovers them from three of them.
func deployment(t *testing.T, n int) []*entry {
	t.Helper()
	all := entries(t, n)
	startGuard(t, all, nil)
	return all
}

// chosen splits the entries into those of the guard's subset and the others.
func chosen(all []*entry) (in, out []*entry) {
	var ranked []subset.Entry
	for _, e := range all {
		ranked = append(ranked, subset.Entry{Address: e.address, Rank: subset.Rank("guard", e.address)})
	}
	selected := map[string]bool{}
	for _, a := range subset.Choose(ranked, subset.DefaultSize) {
		selected[a] = true
	}
	for _, e := range all {
		if selected[e.address] {
			in = append(in, e)
		} else {
			out = append(out, e)
		}
	}
	return in, out
}

// awaitAttached waits until exactly the wanted entries have a session.
func awaitAttached(t *testing.T, all, want []*entry) {
	t.Helper()
	selected := map[*entry]bool{}
	for _, e := range want {
		selected[e] = true
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range all {
			if e.attached() != selected[e] {
				return poll.Continue("%s: attached %t, want %t", e.name, e.attached(), selected[e])
			}
		}
		return poll.Success()
	}, poll.WithTimeout(8*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against sessions between every guard and every entry, with which CPU time and
// messages grow with the square of the deployment's size. A guard discovers all entries from
// those in its settings, connects to its subset, and leaves the others, including those in its
// settings.
func TestGuardConnectsToItsSubset(t *testing.T) {
	all := deployment(t, 20)
	in, _ := chosen(all)
	assert.Equal(t, len(in), subset.DefaultSize)
	awaitAttached(t, all, in)
}

// An entry loses power and its callers go to other entries, so the guard adds another entry to
// its subset. When the entry is back, the guard reconnects to it and leaves the other one.
func TestUnreachableEntryIsReplacedUntilItIsBack(t *testing.T) {
	all := deployment(t, 16)
	in, out := chosen(all)
	awaitAttached(t, all, in)
	lost := in[0]
	_ = lost.server.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n := 0
		for _, e := range out {
			if e.attached() {
				n++
			}
		}
		if n == 1 && !lost.attached() {
			return poll.Success()
		}
		return poll.Continue("%d others attached", n)
	}, poll.WithTimeout(8*time.Second), poll.WithDelay(10*time.Millisecond))
	lost.listen(t, lost.address)
	awaitAttached(t, all, in)
}

// Guards against callers without an answer when a guard leaves an entry that has runs there.
// Only the entry knows what it has ordered: if the guard ended the session, nothing would be
// reported on these runs any more.
func TestEntryEndsTheSessionOfAGuardThatRetires(t *testing.T) {
	all := deployment(t, 16)
	in, out := chosen(all)
	awaitAttached(t, all, in)
	out[0].mu.Lock()
	out[0].holds = true
	out[0].mu.Unlock()
	for _, e := range in {
		_ = e.server.Close()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if out[0].attached() {
			return poll.Success()
		}
		return poll.Continue("not attached")
	}, poll.WithTimeout(8*time.Second))
	for _, e := range in {
		e.listen(t, e.address)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		out[0].mu.Lock()
		defer out[0].mu.Unlock()
		if out[0].releaseRequests > 0 {
			return poll.Success()
		}
		return poll.Continue("no release request")
	}, poll.WithTimeout(8*time.Second))
	assert.Assert(t, out[0].attached(), "the session continues while the entry holds runs")
	out[0].mu.Lock()
	out[0].holds = false
	out[0].mu.Unlock()
	awaitAttached(t, all, in)
}

// Guards against a slow recovery after a power loss, when all guards start at once. If they
// all connected first to the three entries that every settings file lists, these would be busy
// with all guards' sessions, and the others would have no runners in the meantime. A guard
// that reads the list of entries connects to its subset at once, and to no other entry.
func TestGuardAttachesToItsSubsetFromTheList(t *testing.T) {
	all := entries(t, 20)
	startGuard(t, all, func(context.Context) ([]string, error) { return addresses(all), nil })
	in, _ := chosen(all)
	awaitAttached(t, all, in)
	for _, e := range all {
		e.mu.Lock()
		assert.Equal(t, e.releaseRequests, 0, "%s had a session although it is not in the subset", e.name)
		e.mu.Unlock()
	}
}

// The store is down when a guard starts: the guard must not wait for it, and discovers the
// entries from those in its settings.
func TestGuardStartsWhileTheStoreIsDown(t *testing.T) {
	all := entries(t, 5)
	startGuard(t, all, func(ctx context.Context) ([]string, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	start := time.Now()
	awaitAttached(t, all, all)
	assert.Assert(t, time.Since(start) < lookupTimeout, "attached after %s", time.Since(start))
}

// Guards against all guards widening their subsets after a restart of the whole deployment,
// when every process is busiest: each entry sees one guard for a moment, which looks like a
// deployment with few guards. If the count stays low, the subsets widen.
func TestSubsetWidensOnlyOnceSessionsHaveSettled(t *testing.T) {
	all := entries(t, 20)
	for _, e := range all {
		e.guards = 1
	}
	startGuard(t, all, func(context.Context) ([]string, error) { return addresses(all), nil })
	in, _ := chosen(all)
	awaitAttached(t, all, in)
	time.Sleep(settledAfter / 2)
	for _, e := range all {
		assert.Equal(t, e.attached(), slices.Contains(in, e), "%s", e.name)
	}
	awaitAttached(t, all, all)
}

// Guards against sessions that are opened twice after a start of all processes: a guard that finds
// few entries, which still discover the others, opens few sessions until it can choose its subset
// from all, whatever their number.
func TestGuardWaitsForEntriesThatDiscoverOthers(t *testing.T) {
	for _, n := range []int{20, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			all := entries(t, n)
			few := all[:n/4]
			discovery := make(chan struct{})
			for _, e := range few {
				e.named, e.discovered, e.discovery = addresses(few), addresses(all[n/4:]), discovery
			}
			startGuard(t, all, func(context.Context) ([]string, error) { return addresses(few), nil })
			awaitSessions(t, all, joinSize)
			time.Sleep(joinTimeout / 4)
			assert.Equal(t, count(all, (*entry).openSessions), joinSize)
			close(discovery)
			in, _ := chosen(all)
			awaitAttached(t, all, in)
			attempts := count(all, func(e *entry) int { return e.attempts })
			assert.Assert(t, attempts <= subset.DefaultSize+joinSize, "%d sessions opened", attempts)
		})
	}
}

// Guards against a guard that waits for good for entries that never discover the others.
func TestGuardJoinsWithoutDiscovery(t *testing.T) {
	all := entries(t, 16)
	for _, e := range all {
		e.discovery = make(chan struct{})
	}
	startGuard(t, all, func(context.Context) ([]string, error) { return addresses(all), nil })
	awaitSessions(t, all, joinSize)
	in, _ := chosen(all)
	awaitAttached(t, all, in)
}

// The list of entries is empty when a guard starts, because the entries are starting too. If every
// guard used the entries in its settings then, these would be attached to by all.
func TestGuardReadsAnEmptyListAgain(t *testing.T) {
	all := entries(t, 20)
	reads := 0
	startGuard(t, all, func(context.Context) ([]string, error) {
		if reads++; reads < 3 {
			return nil, nil
		}
		return addresses(all), nil
	})
	in, _ := chosen(all)
	awaitAttached(t, all, in)
	for _, e := range all {
		assert.Equal(t, e.attached(), slices.Contains(in, e), "%s", e.name)
	}
	assert.Equal(t, count(all, func(e *entry) int { return e.attempts }), subset.DefaultSize)
}

// awaitSessions waits until the entries have n sessions together.
func awaitSessions(t *testing.T, all []*entry, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open := count(all, (*entry).openSessions); open != n {
			return poll.Continue("%d sessions, want %d", open, n)
		}
		return poll.Success()
	}, poll.WithTimeout(8*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (e *entry) openSessions() int { return e.sessions }

// count adds up a value of all entries.
func count(all []*entry, value func(*entry) int) int {
	sum := 0
	for _, e := range all {
		e.mu.Lock()
		sum += value(e)
		e.mu.Unlock()
	}
	return sum
}
