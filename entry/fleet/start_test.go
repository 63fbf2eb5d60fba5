package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/task"
	"almondstand.dev/standin/relay"
	"almondstand.dev/wire/wirev1"
)

// budget is much longer than any timeout in fastTiming, so that no outcome results from
// the deadline.
const budget = 20 * time.Second

// relayGuard puts a relay in front of the guard and returns it.
func relayGuard(t *testing.T, g *fakeGuard) *relay.Relay {
	t.Helper()
	r := relay.New(g.address)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return r
}

// budgetBelowTransportPing ends before the transport's own slow ping would detect an
// unresponsive connection.
const budgetBelowTransportPing = 4 * time.Second

func dropTraffic(t *testing.T, r *relay.Relay) {
	t.Helper()
	assert.NilError(t, r.Set(relay.State{ToTarget: relay.Drop, ToClient: relay.Drop}))
}

func passTraffic(t *testing.T, r *relay.Relay) {
	t.Helper()
	assert.NilError(t, r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}))
}

func TestStartCompletes(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	g.load.OthersOpen = 5
	join(t, f, sink, g)

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))

	assert.Assert(t, o.OK(), "%+v", o)
	assert.Equal(t, o.Ran, task.RanYes)
	assert.Equal(t, string(o.Payload), "part 4711")
	assert.Equal(t, sink.report(g.id()).OthersInFlight, 5)
	assert.Equal(t, g.resolves, 0)
}

// The guard ran the task, but its reply is lost: never delivered, failed, or belonging
// to another start. The entry must drop a mismatched reply, query the same guard over
// another connection, and return the one result to the caller.
func TestLostReplyIsResolved(t *testing.T) {
	breakages := map[string]func(context.Context, *wirev1.StartRequest, *wirev1.StartResponse) error{
		"held back": func(ctx context.Context, _ *wirev1.StartRequest, _ *wirev1.StartResponse) error {
			<-ctx.Done()
			return ctx.Err()
		},
		"failed": func(context.Context, *wirev1.StartRequest, *wirev1.StartResponse) error {
			return errors.New("cut")
		},
		"other number": func(_ context.Context, _ *wirev1.StartRequest, reply *wirev1.StartResponse) error {
			reply.Seq += 7
			reply.Report = wholeResult("part 0815")
			return nil
		},
		"other session": func(_ context.Context, _ *wirev1.StartRequest, reply *wirev1.StartResponse) error {
			reply.Session = "another"
			reply.Report = wholeResult("part 0815")
			return nil
		},
		"another task's payload": func(_ context.Context, _ *wirev1.StartRequest, reply *wirev1.StartResponse) error {
			result := reply.Report.Result
			reply.Report = &wirev1.TaskReport{State: reply.Report.State, Result: &wirev1.Result{
				Ok: true, Payload: []byte("part 0815"), Length: result.Length, Digest: result.Digest,
			}}
			return nil
		},
	}
	for name, breakReply := range breakages {
		t.Run(name, func(t *testing.T) {
			sink := newFakeSink()
			f := newTestFleet(t, sink)
			g := newFakeGuard(t, "g1", 7)
			g.afterStart = breakReply
			join(t, f, sink, g)

			o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))

			assert.Assert(t, o.OK(), "%+v", o)
			assert.Equal(t, string(o.Payload), "part 4711")
			most, _ := g.startCounts()
			assert.Equal(t, most, 1)
		})
	}
}

// A result arrives corrupt twice, in the reply and in the Resolve response. The task
// ran, and the caller gets a failure, never the corrupt bytes.
func TestCorruptResultFails(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	g.run = func(_ context.Context, r *wirev1.StartRequest) *wirev1.TaskReport {
		report := echo(r)
		report.Result.Payload = report.Result.Payload[1:]
		return report
	}
	join(t, f, sink, g)

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))

	assert.Equal(t, o.Code, task.CodeTruncated)
	assert.Equal(t, o.Ran, task.RanYes)
	assert.Equal(t, len(o.Payload), 0)
}

// A Start is delayed before it reaches the guard's ledger. The entry sends Resolve, the
// guard records a tombstone for the sequence number and reports "never started", and
// the entry returns that. When the delayed Start arrives, the tombstone must prevent it
// from running.
func TestDelayedStartIsRefusedAfterResolve(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	release := make(chan struct{})
	arrived := make(chan struct{})
	g.beforeStart = func(*wirev1.StartRequest) { <-release; defer close(arrived) }
	g.afterStart = nil
	join(t, f, sink, g)

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))
	close(release)
	<-arrived

	assert.Equal(t, o.Code, task.CodeRefused)
	assert.Equal(t, o.Ran, task.RanNo)
	eventually(t, func() bool { n := 0; g.locked(func() { n = g.arrived[1] }); return n == 1 }, "start arrives")
	_, total := g.startCounts()
	assert.Equal(t, total, 0)
}

// The guard answers the Resolve of a lost start with an inconclusive report: another
// session or incarnation, or a number that is settled. An earlier copy may have
// started, so the outcome is unknown and final.
func TestInconclusiveReportsEndUnknown(t *testing.T) {
	taskStates := []wirev1.TaskState{
		wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION,
		wirev1.TaskState_TASK_STATE_WRONG_INCARNATION,
		wirev1.TaskState_TASK_STATE_SETTLED,
	}
	for _, taskState := range taskStates {
		t.Run(taskState.String(), func(t *testing.T) {
			sink := newFakeSink()
			f := newTestFleet(t, sink)
			g := newFakeGuard(t, "g1", 7)
			g.afterStart = func(context.Context, *wirev1.StartRequest, *wirev1.StartResponse) error { return errors.New("cut") }
			g.onResolve = func(r *wirev1.ResolveRequest) *wirev1.ResolveResponse {
				return &wirev1.ResolveResponse{Session: r.Session, Seq: r.Seq, Report: state(taskState)}
			}
			join(t, f, sink, g)

			o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))

			assert.Equal(t, o.Code, task.CodeLost)
			assert.Equal(t, o.Ran, task.RanUnknown)
			assert.Equal(t, g.resolves, 1)
		})
	}
}

// The guard stops responding after the Start was sent, on new connections too. It can't
// be determined whether the task ran: the caller gets "unknown" at its deadline, before
// the guard responds again, and the endpoint is withdrawn.
func TestUnresponsiveGuardEndsUnknownAtTheDeadline(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	r := relayGuard(t, g)
	g.run = func(ctx context.Context, _ *wirev1.StartRequest) *wirev1.TaskReport {
		dropTraffic(t, r)
		<-ctx.Done()
		return refused(wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	}
	join(t, f, sink, g)

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", time.Second))

	assert.Equal(t, o.Code, task.CodeLost)
	assert.Equal(t, o.Ran, task.RanUnknown)
	eventually(t, func() bool { _, ok := sink.get(g.id()); return !ok }, "guard is withdrawn")
}

// The open connection permanently stops delivering packets while new connections work.
// The ping of the session goroutine detects that, the link is replaced, and the start's
// result is fetched over a new connection; the endpoint stays published throughout.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	directions := map[string]struct{ target, client bool }{
		"both ways": {true, true}, "to the guard": {true, false}, "to the entry": {false, true},
	}
	for name, d := range directions {
		t.Run(name, func(t *testing.T) {
			sink := newFakeSink()
			// Resolve is never sent in time, so only the ping can detect the fault.
			f := newTestFleet(t, sink, func(o *Options) { o.Timing.ResolveAfter = budget })
			g := newFakeGuard(t, "g1", 7)
			r := relayGuard(t, g)
			g.run = func(_ context.Context, s *wirev1.StartRequest) *wirev1.TaskReport {
				if s.GetSeq() == 1 {
					r.Blackhole(d.target, d.client)
				}
				return echo(s)
			}
			join(t, f, sink, g)

			first := f.Start(context.Background(), callOn(g.id(), "part 4711", budgetBelowTransportPing))

			assert.Assert(t, first.OK(), "%+v", first)
			_, known := sink.get(g.id())
			assert.Assert(t, known)
			// A start that was sent over the dead link before its replacement gets a
			// tombstone.
			eventually(t, func() bool {
				next := f.Start(context.Background(), callOn(g.id(), "part 4712", budget))
				assert.Assert(t, next.OK() || next.Ran == task.RanNo, "%+v", next)
				return next.OK()
			}, "new link works")
			most, _ := g.startCounts()
			assert.Equal(t, most, 1)
		})
	}
}

// The open connection stops delivering packets and no ping has detected that yet. The
// Resolve for the lost reply must not use the same connection; otherwise it would be
// lost too, and the outcome would be unknown although the guard holds the result.
func TestResolveUsesSeparateConnection(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, func(o *Options) { o.Timing.PingAfter = time.Hour; o.Timing.MinIdlePingInterval = time.Hour })
	g := newFakeGuard(t, "g1", 7)
	g.lease = 10 * time.Hour
	r := relayGuard(t, g)
	g.run = func(_ context.Context, s *wirev1.StartRequest) *wirev1.TaskReport {
		r.Blackhole(true, true)
		return echo(s)
	}
	join(t, f, sink, g)

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budgetBelowTransportPing))

	assert.Assert(t, o.OK(), "%+v", o)
}

// A guard's process dies during a start, and nothing listens on its address any more.
// Its ledger is lost, so the outcome is unknown; the caller is told well before its
// deadline. A later start finds no endpoint and certainly did not run.
func TestDeadGuardEndsUnknownEarly(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	g.run = func(ctx context.Context, _ *wirev1.StartRequest) *wirev1.TaskReport {
		go func() { _ = g.server.Close() }()
		<-ctx.Done()
		return refused(wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	}
	join(t, f, sink, g)
	c := callOn(g.id(), "part 4711", time.Hour)

	o := f.Start(context.Background(), c)
	later := f.Start(context.Background(), c)

	assert.Equal(t, o.Code, task.CodeLost)
	assert.Equal(t, o.Ran, task.RanUnknown)
	assert.Equal(t, later.Code, task.CodeRefused)
	assert.Equal(t, later.Ran, task.RanNo)
	eventually(t, func() bool { return len(f.Endpoints()) == 0 }, "guard is removed")
}

// The caller cancels. A task that the guard has not started is prevented from starting:
// not run. A task that was handed to the runner is stopped, and it is unknown whether
// execution had started; a finished one returns its result.
func TestCancel(t *testing.T) {
	t.Run("before it starts", func(t *testing.T) {
		sink := newFakeSink()
		f := newTestFleet(t, sink)
		g := newFakeGuard(t, "g1", 7)
		ctx, cancel := context.WithCancel(context.Background())
		release := make(chan struct{})
		g.beforeStart = func(*wirev1.StartRequest) { cancel(); <-release }
		join(t, f, sink, g)

		o := f.Start(ctx, callOn(g.id(), "part 4711", budget))
		close(release)

		assert.Equal(t, o.Code, task.CodeCancelled)
		assert.Equal(t, o.Ran, task.RanNo)
		eventually(t, func() bool { n := 0; g.locked(func() { n = g.arrived[1] }); return n == 1 }, "start arrives")
		_, total := g.startCounts()
		assert.Equal(t, total, 0)
	})
	t.Run("while it runs", func(t *testing.T) {
		sink := newFakeSink()
		f := newTestFleet(t, sink)
		g := newFakeGuard(t, "g1", 7)
		ctx, cancel := context.WithCancel(context.Background())
		release := make(chan struct{})
		g.run = func(_ context.Context, r *wirev1.StartRequest) *wirev1.TaskReport {
			cancel()
			<-release
			return echo(r)
		}
		join(t, f, sink, g)

		o := f.Start(ctx, callOn(g.id(), "part 4711", budget))
		close(release)

		assert.Equal(t, o.Code, task.CodeCancelled)
		assert.Equal(t, o.Ran, task.RanUnknown)
		assert.Equal(t, g.cancels, 1)
	})
	// The response to another start's Cancel says "never started". If it were accepted
	// for this start, the caller of a running task would be told "not run".
	t.Run("and the answer is another's", func(t *testing.T) {
		sink := newFakeSink()
		f := newTestFleet(t, sink)
		g := newFakeGuard(t, "g1", 7)
		ctx, cancel := context.WithCancel(context.Background())
		release := make(chan struct{})
		g.run = func(_ context.Context, r *wirev1.StartRequest) *wirev1.TaskReport {
			cancel()
			<-release
			return echo(r)
		}
		g.misdirectedCancels = 1
		join(t, f, sink, g)

		o := f.Start(ctx, callOn(g.id(), "part 4711", budget))
		close(release)

		assert.Equal(t, o.Code, task.CodeCancelled)
		assert.Equal(t, o.Ran, task.RanUnknown)
		assert.Equal(t, g.cancels, 2)
	})
	t.Run("when it has ended", func(t *testing.T) {
		sink := newFakeSink()
		f := newTestFleet(t, sink)
		g := newFakeGuard(t, "g1", 7)
		ctx, cancel := context.WithCancel(context.Background())
		g.afterStart = func(stream context.Context, _ *wirev1.StartRequest, _ *wirev1.StartResponse) error {
			cancel()
			<-stream.Done()
			return stream.Err()
		}
		join(t, f, sink, g)

		o := f.Start(ctx, callOn(g.id(), "part 4711", budget))

		assert.Assert(t, o.OK(), "%+v", o)
		assert.Equal(t, o.Ran, task.RanYes)
		assert.Equal(t, g.cancels, 1)
	})
	t.Run("before it is sent", func(t *testing.T) {
		f := newTestFleet(t, newFakeSink())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		o := f.Start(ctx, callOn("g1#7", "part 4711", budget))
		assert.Equal(t, o.Code, task.CodeCancelled)
		assert.Equal(t, o.Ran, task.RanNo)
	})
}

// The budget runs out while the guard is reachable. The rest of it is spent on asking
// the guard to stop the task, so the caller learns whether it certainly did not run. If
// the task was handed to the runner, which has not answered, the outcome can only be
// "unknown".
func TestDeadlineReportsWhetherTaskRan(t *testing.T) {
	for name, ran := range map[string]task.Ran{"waits": task.RanNo, "runs": task.RanUnknown} {
		t.Run(name, func(t *testing.T) {
			sink := newFakeSink()
			f := newTestFleet(t, sink, func(o *Options) { o.Timing.ResolveAfter = budget; o.Timing.CancelMargin = time.Second })
			g := newFakeGuard(t, "g1", 7)
			release := make(chan struct{})
			defer close(release)
			if ran == task.RanNo {
				g.beforeStart = func(*wirev1.StartRequest) { <-release }
			}
			g.run = func(ctx context.Context, r *wirev1.StartRequest) *wirev1.TaskReport {
				<-ctx.Done()
				<-release
				return echo(r)
			}
			join(t, f, sink, g)

			o := f.Start(context.Background(), callOn(g.id(), "part 4711", time.Second))

			assert.Equal(t, o.Code, task.CodeDeadline)
			assert.Equal(t, o.Ran, ran)
		})
	}
}

// A task runs for longer than the resolve delay: its guard is queried over the fallback
// link until the task ends, and the result arrives.
func TestLongTaskIsResolvedRepeatedly(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	g.run = func(_ context.Context, r *wirev1.StartRequest) *wirev1.TaskReport {
		eventually(t, func() bool { n := 0; g.locked(func() { n = g.resolves }); return n >= 2 }, "entry sends Resolve")
		return echo(r)
	}
	join(t, f, sink, g)

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))

	assert.Assert(t, o.OK(), "%+v", o)
}

// The entry was paused beyond the session's lease. The guard would answer "unknown
// session", which ends as unknown although nothing ran. So the Start is held until a
// new session is open, and is sent nowhere in the meantime.
func TestPausedEntryRenewsBeforeItStarts(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	join(t, f, sink, g)
	kept := (*f.endpoints.Load())[g.id()].(*guard)
	g.locked(func() { g.session = "dropped by the lease" })
	kept.session.Load().renewedAt.Store(int64(monotonic() - time.Hour))

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))

	assert.Equal(t, o.Ran, task.RanNo)
	_, total := g.startCounts()
	assert.Equal(t, total, 0)
	eventually(t, func() bool {
		o = f.Start(context.Background(), callOn(g.id(), "part 4711", budget))
		return o.OK()
	}, "new session")
}

// Connections break at arbitrary moments during many concurrent starts. Each Start must
// reach the guard at most once per sequence number, "not run" must never be reported
// for a task that started, and each caller must get its own payload.
func TestBrokenConnectionsNeverDuplicateAStart(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	r := relayGuard(t, g)
	var mu sync.Mutex
	ranOnGuard := map[string]int{}
	g.run = func(_ context.Context, s *wirev1.StartRequest) *wirev1.TaskReport {
		mu.Lock()
		ranOnGuard[string(s.GetTask().GetPayload())]++
		mu.Unlock()
		time.Sleep(time.Duration(s.GetSeq()%5) * time.Millisecond)
		return echo(s)
	}
	join(t, f, sink, g)
	stop := make(chan struct{})
	var resetter sync.WaitGroup
	resetter.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(n%7) * time.Millisecond):
			}
			if n%3 == 0 {
				r.Blackhole(n%2 == 0, true)
			} else {
				r.Reset()
			}
		}
	})

	const callers, each = 8, 40
	outcomes := make([]task.Outcome, callers*each)
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			for i := range each {
				n := caller*each + i
				outcomes[n] = f.Start(context.Background(), callOn(g.id(), fmt.Sprint("part ", n), budget))
			}
		})
	}
	all.Wait()
	close(stop)
	resetter.Wait()
	// A Start whose call failed may still reach the guard, so wait for it.
	quiet, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = g.server.Shutdown(quiet)

	mu.Lock()
	defer mu.Unlock()
	counts := map[task.Ran]int{}
	for n, o := range outcomes {
		name := fmt.Sprint("part ", n)
		counts[o.Ran]++
		assert.Assert(t, ranOnGuard[name] <= 1, "%s started %d times", name, ranOnGuard[name])
		assert.Assert(t, o.Ran != task.RanNo || ranOnGuard[name] == 0, "%s started but was reported as not run: %+v", name, o)
		assert.Assert(t, !o.OK() || string(o.Payload) == name, "%s got %s", name, o.Payload)
	}
	most, total := g.startCounts()
	assert.Equal(t, most, 1)
	g.locked(func() {
		for seq, n := range g.arrived {
			assert.Check(t, n == 1, "start %d arrived %d times", seq, n)
		}
	})
	t.Logf("%d starts reached the guard; outcomes %v", total, counts)
}

// A contract without a run limit must not be sent as the shortest limit that the
// protocol can express: the guard would stop every task immediately.
func TestMissingRunLimitIsSentAsZero(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	limits := make(chan uint32, 1)
	g.run = func(_ context.Context, r *wirev1.StartRequest) *wirev1.TaskReport {
		limits <- r.GetRunLimitMs()
		return echo(r)
	}
	join(t, f, sink, g)
	c := callOn(g.id(), "part 4711", budget)
	c.RunLimit = 0

	o := f.Start(context.Background(), c)

	assert.Assert(t, o.OK(), "%+v", o)
	assert.Equal(t, <-limits, uint32(0))
}

// A task runs for longer than the usual resolve delay, as was expected: nothing is
// lost, and no Resolve is sent. For a task that was expected to be short, Resolve is
// sent.
func TestExpectedLongTasksAreNotResolved(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	g.run = func(context.Context, *wirev1.StartRequest) *wirev1.TaskReport {
		time.Sleep(2 * f.opts.Timing.ResolveAfter)
		return wholeResult("part 4711")
	}
	join(t, f, sink, g)
	resolvesSent := func(expected time.Duration) int {
		c := callOn(g.id(), "part 4711", budget)
		c.Assignment.Expected = expected
		before := g.resolves
		assert.Assert(t, f.Start(context.Background(), c).OK())
		return g.resolves - before
	}
	assert.Equal(t, resolvesSent(budget/4), 0)
	assert.Assert(t, resolvesSent(0) > 0)
}
