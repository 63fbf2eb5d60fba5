package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"almondstand.dev/entry/fleet/attach"
	"almondstand.dev/entry/task"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// An idle guard stops responding, on new connections too. It is withdrawn; when it
// responds again and announces itself, it is published again.
func TestUnresponsiveIdleGuardIsWithdrawnAndReturns(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	r := relayGuard(t, g)
	join(t, f, sink, g)

	dropTraffic(t, r)
	eventually(t, func() bool { _, ok := sink.get(g.id()); return !ok }, "guard is withdrawn")
	eventually(t, func() bool { return len(f.Endpoints()) == 0 }, "guard is removed")
	passTraffic(t, r)
	join(t, f, sink, g)

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))
	assert.Assert(t, o.OK(), "%+v", o)
}

// A guard drops the session, for example because its lease lapsed. The next ping
// reveals that, and the entry opens a new session without an announcement.
func TestLostSessionIsReplaced(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	join(t, f, sink, g)

	g.locked(func() { g.session = "dropped by the lease" })
	eventually(t, func() bool { n := 0; g.locked(func() { n = g.sessions }); return n == 2 }, "second session")
	eventually(t, func() bool { _, ok := sink.get(g.id()); return ok }, "guard is published again")

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))
	assert.Assert(t, o.OK(), "%+v", o)
}

// A guard announces that it is leaving. The sink is notified before the announcement is
// answered, an older report doesn't make the endpoint available again, and the running
// start still gets its result. The guard does not exit before it knows that the result
// has arrived, so that is acknowledged immediately, long before the next idle ping.
func TestLeavingGuardFinishesItsWork(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, func(o *Options) { o.Timing.MinIdlePingInterval = time.Hour })
	g := newFakeGuard(t, "g1", 7)
	g.lease = 10 * time.Hour
	leave := make(chan struct{})
	running := make(chan struct{})
	g.run = func(_ context.Context, r *wirev1.StartRequest) *wirev1.TaskReport {
		close(running)
		<-leave
		return echo(r)
	}
	join(t, f, sink, g)
	done := make(chan task.Outcome, 1)
	go func() { done <- f.Start(context.Background(), callOn(g.id(), "part 4711", budget)) }()
	<-running

	notice := g.announcement()
	notice.Leaving = true
	_, err := f.Announce(context.Background(), notice)
	assert.NilError(t, err)
	e, ok := sink.get(g.id())
	assert.Assert(t, ok && e.Draining)
	close(leave)
	o := <-done

	assert.Assert(t, o.OK(), "%+v", o)
	e, _ = sink.get(g.id())
	assert.Assert(t, e.Draining, "a later load must not make the endpoint available again")
	eventually(t, func() bool { low := uint64(0); g.locked(func() { low = g.lowWatermark }); return low == 2 }, "guard learns that its result arrived")
}

// A newer incarnation announces itself while the older one still finishes a task, as in
// a rolling update. New starts go to the newer one only, the older one's task is not
// interrupted, and a late announcement of the older one changes nothing.
func TestNewerIncarnationTakesOver(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	older, newer := newFakeGuard(t, "g1", 7), newFakeGuard(t, "g1", 8)
	replaced := make(chan struct{})
	running := make(chan struct{})
	older.run = func(_ context.Context, r *wirev1.StartRequest) *wirev1.TaskReport {
		close(running)
		<-replaced
		return echo(r)
	}
	join(t, f, sink, older)
	done := make(chan task.Outcome, 1)
	go func() { done <- f.Start(context.Background(), callOn(older.id(), "part 4711", budget)) }()
	<-running

	join(t, f, sink, newer)
	_, err := f.Announce(context.Background(), older.announcement())
	assert.NilError(t, err)
	e, ok := sink.get(older.id())
	assert.Assert(t, !ok || e.Draining)
	close(replaced)

	o := <-done
	assert.Assert(t, o.OK(), "%+v", o)
	e, ok = sink.get(newer.id())
	assert.Assert(t, ok && !e.Draining)
}

// A guard whose runner is absent gets no starts until the runner is present.
func TestGuardWithoutRunnerGetsNoWork(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	g.load.RunnerPresent = false
	join(t, f, sink, g)
	e, _ := sink.get(g.id())
	assert.Assert(t, e.Draining)

	g.locked(func() { g.load.RunnerPresent = true })
	eventually(t, func() bool { e, _ := sink.get(g.id()); return !e.Draining }, "runner is present")
}

// Loads may arrive out of order: an older one must not overwrite a newer one. An
// announcement counts all open tasks, so this entry's own are subtracted.
func TestOlderLoadIsIgnored(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, func(o *Options) { o.Timing.MinIdlePingInterval = time.Hour; o.Timing.PingAfter = time.Hour })
	g := newFakeGuard(t, "g1", 7)
	g.lease = 10 * time.Hour
	join(t, f, sink, g)
	announce := func(version uint64, slots, open uint32) {
		a := g.announcement()
		a.Load = &wirev1.Load{Version: version, Slots: slots, OthersOpen: open, RunnerPresent: true}
		_, err := f.Announce(context.Background(), a)
		assert.NilError(t, err)
	}

	announce(100, 4, 3)
	announce(99, 9, 0)
	e, _ := sink.get(g.id())
	assert.Equal(t, e.Slots, 4)

	added := (*f.endpoints.Load())[g.id()].(*guard)
	added.session.Load().window.Open()
	announce(101, 4, 3)
	assert.Equal(t, sink.report(g.id()).OthersInFlight, 2)
}

// Checks the announcement RPC: the cluster secret, the rejection of malformed requests,
// and the interval in the response, which grows with the fleet.
func TestAnnounceOverTheWire(t *testing.T) {
	sink := newFakeSink()
	self := []*wirev1.EntryInfo{{Id: "e1", Address: "127.0.0.1:1"}}
	f := newTestFleet(t, sink, func(o *Options) {
		o.Secret = "s3cret"
		o.LiveEntries = func() []*wirev1.EntryInfo { return self }
	})
	mux := http.NewServeMux()
	mux.Handle(f.Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	client := wirev1connect.NewEntryServiceClient(server.Client(), server.URL)
	g := newFakeGuard(t, "g1", 7)
	send := func(a *wirev1.AnnounceRequest, secret string) (*wirev1.AnnounceResponse, error) {
		req := connect.NewRequest(a)
		req.Header().Set("Authorization", "Bearer "+secret)
		resp, err := client.Announce(context.Background(), req)
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}

	_, err := send(g.announcement(), "wrong")
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	for _, invalidate := range []func(*wirev1.AnnounceRequest){
		func(a *wirev1.AnnounceRequest) { a.GuardId = "" },
		func(a *wirev1.AnnounceRequest) { a.GuardIncarnation = 0 },
		func(a *wirev1.AnnounceRequest) { a.Service = "" },
		func(a *wirev1.AnnounceRequest) { a.Address = "localhost:80" },
	} {
		a := g.announcement()
		invalidate(a)
		_, err = send(a, "s3cret")
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	}
	resp, err := send(g.announcement(), "s3cret")
	assert.NilError(t, err)
	assert.Equal(t, resp.GetEntryId(), "e1")
	assert.Equal(t, len(resp.GetAttach()), 1)
	assert.Equal(t, resp.GetNextMs(), uint32(1000))
	f.guards.Add(100)
	resp, err = send(g.announcement(), "s3cret")
	f.guards.Add(-100)
	assert.NilError(t, err)
	assert.Assert(t, resp.GetNextMs() > 10_000, "%d", resp.GetNextMs())
}

// A load balancer routes guards to any entry. Guards that should attach to other
// entries are told so and are not added here; otherwise every entry would eventually
// hold a session with every guard.
func TestGuardOfOtherEntriesIsNotAdded(t *testing.T) {
	entries := []*wirev1.EntryInfo{{Id: "e1", Address: "127.0.0.1:1"}, {Id: "e2", Address: "127.0.0.1:2"}}
	policy := attach.Policy{AttachAllLimit: 1, AttachCount: 1}
	sink := newFakeSink()
	f := newTestFleet(t, sink, func(o *Options) {
		o.LiveEntries = func() []*wirev1.EntryInfo { return entries }
		o.AttachPolicy = policy
	})
	added := 0
	for i := range 20 {
		r := &wirev1.AnnounceRequest{
			GuardId:          fmt.Sprintf("g%d", i),
			GuardIncarnation: 1,
			Address:          "127.0.0.1:9",
			Service:          "teardown",
		}
		answer, err := f.Announce(context.Background(), r)
		assert.NilError(t, err)
		if answer.GetAttach()[0].GetId() == "e1" {
			added++
		}
	}
	assert.Assert(t, added > 0 && added < 20)
	assert.Equal(t, int(f.guards.Load()), added)
}
