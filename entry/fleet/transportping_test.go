package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/task"
	"almondstand.dev/wire/wirev1"
)

// A connection stops delivering packets during a start or just before one, and no ping
// of the session is due. The HTTP/2 transport's ping ends the call after some seconds,
// and the guard, queried over another connection, reports the state of the task long
// before the deadline. In TestUnresponsiveConnectionIsReplaced the session's ping
// detects such a connection before the transport's ping could.
func TestTransportPingDetectsUnresponsiveConnection(t *testing.T) {
	for name, c := range map[string]struct {
		before bool
		ran    task.Ran
	}{
		"start lost": {before: true, ran: task.RanNo},
		"reply lost": {ran: task.RanYes},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sink := newFakeSink()
			f := newTestFleet(t, sink, func(o *Options) {
				o.Timing.ResolveAfter, o.Timing.PingAfter, o.Timing.MinIdlePingInterval = time.Hour, time.Hour, time.Hour
			})
			g := newFakeGuard(t, "g1", 7)
			g.lease = 10 * time.Hour
			r := relayGuard(t, g)
			g.run = func(_ context.Context, s *wirev1.StartRequest) *wirev1.TaskReport {
				r.Blackhole(true, true)
				return echo(s)
			}
			join(t, f, sink, g)
			if c.before {
				r.Blackhole(true, true)
			}

			o := f.Start(context.Background(), callOn(g.id(), "part 4711", time.Minute))

			// At the deadline it would be "unknown" or a refusal for being late.
			assert.Equal(t, o.Ran, c.ran, "%+v", o)
			assert.Assert(t, o.Code != task.CodeDeadline, "%+v", o)
		})
	}
}
