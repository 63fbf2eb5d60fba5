package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/task"
	"almondstand.dev/standin/relay"
	"almondstand.dev/wire/wirev1"
)

// bareFixture is a fleet with a controllable clock and one runner.
type bareFixture struct {
	fleet  *Fleet
	sink   *fakeSink
	now    atomic.Int64
	runner *httptest.Server
	bare   BareAnnouncement
	id     scheduler.EndpointID
}

func newBareFixture(t *testing.T, runner http.HandlerFunc, change ...func(*Options)) *bareFixture {
	t.Helper()
	b := &bareFixture{sink: newFakeSink(), runner: httptest.NewServer(runner)}
	t.Cleanup(b.runner.Close)
	b.now.Store(time.Now().UnixNano())
	b.fleet = newTestFleet(t, b.sink, append(change, func(o *Options) { o.Now = b.clock })...)
	address := b.runner.Listener.Addr().String()
	b.bare = BareAnnouncement{Service: "teardown", Address: address, DataCentre: "zagreb", Slots: 8, Connections: 64, TTL: 10 * time.Second}
	b.id = scheduler.EndpointID("bare@" + address)
	return b
}

func (b *bareFixture) clock() time.Time { return time.Unix(0, b.now.Load()) }

func (b *bareFixture) announce(t *testing.T, change ...func(*BareAnnouncement)) {
	t.Helper()
	a := b.bare
	for _, c := range change {
		c(&a)
	}
	_, err := b.fleet.AnnounceBare(b.clock(), a)
	assert.NilError(t, err)
}

func leaving(b *BareAnnouncement) { b.Leaving = true }

func echoRunner(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

func TestBareOutcomes(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	answer := func(status int, ran string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Almond-Ran", ran)
			w.WriteHeader(status)
		}
	}
	for _, c := range []struct {
		name   string
		runner http.HandlerFunc
		code   task.Code
		ran    task.Ran
		// replies is the expected count of replies, including refusals.
		replies int64
	}{
		{"completed", echoRunner, "", task.RanYes, 1},
		{"lost reply", abort, task.CodeLost, task.RanUnknown, 0},
		{"true refusal", answer(http.StatusTooManyRequests, "no"), task.CodeRefused, task.RanNo, 1},
		{"failure", answer(http.StatusInternalServerError, ""), task.CodeFailed, task.RanYes, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			counters := tally.NewTestScope("", nil)
			b := newBareFixture(t, c.runner, func(o *Options) { o.Scope = counters })
			b.announce(t)
			o := b.fleet.Start(context.Background(), callOn(b.id, "part 4711", budget))
			assert.Equal(t, o.Code, c.code, o.Message)
			assert.Equal(t, o.Ran, c.ran)
			assert.Equal(t, counters.Snapshot().Counters()["messages+kind=reply"].Value(), c.replies)
			assert.Assert(t, !o.OK() || string(o.Payload) == "part 4711")
		})
	}
}

// A bare runner accepts the call and never answers. At the deadline the outcome is
// unknown and final, because it can't be queried.
func TestBareUnresponsiveRunnerEndsUnknown(t *testing.T) {
	b := newBareFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	b.announce(t)
	o := b.fleet.Start(context.Background(), callOn(b.id, "part 4711", 100*time.Millisecond))
	assert.Equal(t, o.Code, task.CodeDeadline)
	assert.Equal(t, o.Ran, task.RanUnknown)
}

// A device between the entry and the runner drops the state of every open connection,
// while new connections work. The first start on such a connection ends as unknown; the
// starts that follow must not each use up another dead connection.
func TestBareDeadConnectionFailsOneStart(t *testing.T) {
	var bothCalls sync.WaitGroup
	bothCalls.Add(2)
	var calls atomic.Int64
	b := newBareFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= 2 {
			bothCalls.Done()
			bothCalls.Wait()
		}
		echoRunner(w, r)
	})
	r := relay.New(b.bare.Address)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = r.Serve(ctx, l) }()
	b.bare.Address = l.Addr().String()
	b.id = scheduler.EndpointID("bare@" + b.bare.Address)
	b.announce(t)
	var first sync.WaitGroup
	for range 2 {
		first.Go(func() { b.fleet.Start(context.Background(), callOn(b.id, "first", budget)) })
	}
	first.Wait()
	r.Blackhole(true, true)

	lostCall := b.fleet.Start(context.Background(), callOn(b.id, "part 4711", 100*time.Millisecond))
	next := b.fleet.Start(context.Background(), callOn(b.id, "part 4712", budget))

	assert.Equal(t, lostCall.Ran, task.RanUnknown)
	assert.Assert(t, next.OK(), "%+v", next)
}

// A runner dies. The refused connections prove that its tasks did not run, and after a
// few of them the endpoint is withdrawn until it announces itself again.
func TestBareDeadRunnerIsWithdrawn(t *testing.T) {
	b := newBareFixture(t, echoRunner)
	b.announce(t)
	b.runner.Close()
	for range maxDialFailures {
		o := b.fleet.Start(context.Background(), callOn(b.id, "part 4711", budget))
		assert.Equal(t, o.Code, task.CodeRefused)
		assert.Equal(t, o.Ran, task.RanNo)
	}
	_, ok := b.sink.get(b.id)
	assert.Assert(t, !ok)
	b.announce(t)
	_, ok = b.sink.get(b.id)
	assert.Assert(t, ok)
}

func live(n int) []*wirev1.EntryInfo {
	all := []*wirev1.EntryInfo{{Id: "e1", Zone: "zagreb"}}
	for i := 1; i < n; i++ {
		all = append(all, &wirev1.EntryInfo{Id: fmt.Sprint("other", i), Zone: "zagreb"})
	}
	return all
}

// Each of n entries uses one nth of the connections, but at least one. The entry
// enforces this itself, regardless of the scheduler.
func TestBareConnections(t *testing.T) {
	release := make(chan struct{})
	b := newBareFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echoRunner(w, r)
	})
	b.announce(t)
	for _, c := range []struct{ entries, limit int }{{1, 8}, {3, 8}, {100, 1}, {16, 4}, {64, 1}} {
		b.fleet.SetEntries(live(c.entries))
		e, _ := b.sink.get(b.id)
		assert.Equal(t, e.EntryLimit, c.limit)
		assert.Equal(t, e.Slots, 8)
	}
	done := make(chan task.Outcome, 1)
	go func() { done <- b.fleet.Start(context.Background(), callOn(b.id, "first", budget)) }()
	eventually(t, func() bool { return b.fleet.Endpoints()[0].InFlight == 1 }, "first task runs")
	second := b.fleet.Start(context.Background(), callOn(b.id, "second", budget))
	close(release)
	assert.Equal(t, second.Ran, task.RanNo)
	first := <-done
	assert.Assert(t, first.OK(), "%+v", first)
}

// slotLimit is the number of this entry's starts that was reported to the scheduler.
func (b *bareFixture) slotLimit() int { return b.bare.Slots - b.sink.report(b.id).OthersInFlight }

// A peer with all the work gets nearly all slots while its tasks wait, and returns them
// when they don't. A refusal immediately stops this entry's starts.
func TestBareSlotsFollowDemand(t *testing.T) {
	const spare = 2
	b := newBareFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Almond-Ran", "no")
		w.WriteHeader(http.StatusTooManyRequests)
	}, func(o *Options) { o.SpareSlots = spare })
	b.announce(t)
	b.fleet.SetEntries(live(2))
	assert.Assert(t, b.slotLimit() >= 5, "%d", b.slotLimit())
	digest := b.fleet.BareUsage()[0].GetEndpoints()
	tell := func(waiting bool, demand uint32) {
		b.fleet.ApplyBareUsage("other1", []*wirev1.BareUse{{
			Service: "teardown", DemandTenths: demand, Waiting: waiting, Endpoints: digest, Open: []uint32{0},
		}})
	}
	tell(true, 700)
	assert.Equal(t, b.slotLimit(), 1)
	tell(false, 0)
	assert.Equal(t, b.slotLimit(), 8-spare)

	o := b.fleet.Start(context.Background(), callOn(b.id, "part 4711", budget))
	assert.Equal(t, o.Ran, task.RanNo)
	assert.Assert(t, b.slotLimit() <= 1, "%d", b.slotLimit())
}

// A report of the slot allocation that is in progress when the runner leaves must not
// follow the leaving notification, because a report of an endpoint that is not leaving
// undoes it.
func TestBareLeavingIsNotUndoneByAllocation(t *testing.T) {
	b := newBareFixture(t, echoRunner)
	b.announce(t)
	b.announce(t, leaving)
	before := b.sink.report(b.id).Version
	b.fleet.SetEntries(live(2))
	b.fleet.bare.rebalance()
	assert.Equal(t, b.sink.report(b.id).Version, before)
}

// A runner leaves, then an earlier announcement of it arrives late through a peer. The
// runner must not come back before it announces itself again.
func TestBareLeavingIsNotUndoneByAPeer(t *testing.T) {
	b := newBareFixture(t, echoRunner)
	b.announce(t)
	before := b.fleet.BareEndpoints()
	b.announce(t, leaving)
	e, _ := b.sink.get(b.id)
	assert.Assert(t, e.Draining)

	b.now.Add(int64(b.bare.TTL + time.Second))
	eventually(t, func() bool { _, ok := b.sink.get(b.id); return !ok }, "record expires")
	b.fleet.ApplyBareEndpoints(before)
	_, ok := b.sink.get(b.id)
	assert.Assert(t, !ok)

	b.announce(t)
	e, ok = b.sink.get(b.id)
	assert.Assert(t, ok && !e.Draining)
}

// Entries forward a leaving record to each other. If each of them kept it for the full
// TTL, it would circulate for as long as entries come and go.
func TestBareLeavingRecordExpires(t *testing.T) {
	first, second := newBareFixture(t, echoRunner), newBareFixture(t, echoRunner)
	first.announce(t, leaving)
	first.now.Add(int64(maxBareTTL / 2))
	second.now.Store(first.now.Load())
	second.fleet.ApplyBareEndpoints(first.fleet.BareEndpoints())
	assert.Equal(t, len(second.fleet.BareEndpoints()), 1)
	second.now.Add(int64(maxBareTTL/2 + time.Second))
	assert.Equal(t, len(second.fleet.BareEndpoints()), 0)
}

// An entry whose clock is behind learns of a runner from a peer whose clock is ahead,
// and then receives the runner's leaving announcement. The latest announcement must win
// at every entry.
func TestBareStampsWithDifferingClocks(t *testing.T) {
	ahead, behind := newBareFixture(t, echoRunner), newBareFixture(t, echoRunner)
	behind.bare, behind.id = ahead.bare, ahead.id
	ahead.now.Add(int64(time.Hour))
	ahead.announce(t)
	behind.fleet.ApplyBareEndpoints(ahead.fleet.BareEndpoints())
	_, ok := behind.sink.get(behind.id)
	assert.Assert(t, ok)

	behind.announce(t, leaving)
	ahead.fleet.ApplyBareEndpoints(behind.fleet.BareEndpoints())

	e, _ := ahead.sink.get(ahead.id)
	assert.Assert(t, e.Draining)
}

func TestBareRecordExpires(t *testing.T) {
	b := newBareFixture(t, echoRunner)
	b.announce(t)
	assert.Equal(t, b.fleet.BareEndpoints()[0].GetTtlMs(), uint32(10_000))
	b.now.Add(int64(b.bare.TTL + time.Millisecond))
	eventually(t, func() bool { _, ok := b.sink.get(b.id); return !ok }, "record expires")
	assert.Equal(t, len(b.fleet.BareEndpoints()), 0)
	o := b.fleet.Start(context.Background(), callOn(b.id, "part 4711", budget))
	assert.Equal(t, o.Ran, task.RanNo)
}

func TestBareAnnouncementOverHTTP(t *testing.T) {
	b := newBareFixture(t, echoRunner)
	good := `{"service":"teardown","address":"` + b.bare.Address + `","slots":8,"connections":64,"zone":"zagreb","ttl":"9s","leaving":false}`
	post := func(body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		b.fleet.BareHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
		return w
	}

	w := post(good)
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	var answer bareAnnounceResponse
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	next, err := time.ParseDuration(answer.Next)
	assert.NilError(t, err)
	assert.Assert(t, next > 0 && next <= 3*time.Second)
	_, ok := b.sink.get(b.id)
	assert.Assert(t, ok)

	for _, replacement := range [][2]string{
		{`"slots":8`, `"slots":0`}, {`"slots":8`, `"slots":-1`}, {`"ttl":"9s"`, `"ttl":"9"`}, {`"ttl":"9s"`, `"ttl":"1h"`},
		{`"connections":64`, `"connections":0`}, {`"service":"teardown"`, `"service":""`}, {`"leaving"`, `"leaves"`},
		{b.bare.Address, "localhost:1"}, {`{`, ``},
	} {
		w := post(strings.Replace(good, replacement[0], replacement[1], 1))
		assert.Equal(t, w.Code, http.StatusBadRequest, "%v", replacement)
	}
}

// Records from peers are validated like announcements from runners.
func TestApplyBareRejectsInvalidRecords(t *testing.T) {
	b := newBareFixture(t, echoRunner)
	b.fleet.ApplyBareEndpoints([]*wirev1.BareEndpoint{
		{Service: "teardown", Address: "nowhere", Slots: 1, Connections: 1, TtlMs: 1000, Stamp: 1},
		{Service: "teardown", Address: b.bare.Address, Slots: 0, Connections: 1, TtlMs: 1000, Stamp: 1},
		{Service: "teardown", Address: b.bare.Address, Slots: 1, Connections: 1, TtlMs: 0, Stamp: 1},
	})
	assert.Equal(t, len(b.fleet.Endpoints()), 0)
}
