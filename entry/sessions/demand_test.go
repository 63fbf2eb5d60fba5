package sessions

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/entry/lag"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// TestGuardsWithoutARunHearDemand guards against an entry that gets no capacity and whose demand is
// missing at the guards for four fifths of the time. Without shared demand no message is added.
func TestGuardsWithoutARunHearDemand(t *testing.T) {
	for _, shared := range []bool{true, false} {
		logger := slog.New(slog.DiscardHandler)
		e := jobs.New(jobs.Options{Logger: logger, Scope: tally.NoopScope, Planner: planner.Options{Disabled: planner.Features{SharedDemand: !shared}}})
		mux := http.NewServeMux()
		mux.Handle(fleetwire.NewHandler(attachService{Server: New(Options{Logger: logger, Lag: lag.New(tally.NoopScope, logger, 0)}, e, &fakeMembers{})}))
		l, err := fleetwire.Listen(t.Context(), "127.0.0.1:0")
		assert.NilError(t, err)
		server := fleetwire.NewServer(mux)
		go func() { _ = server.Serve(l) }()
		transport := fleetwire.NewTransport(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		st := fleetwire.NewClient(&http.Client{Transport: transport}, l.Addr().String()).Attach(ctx)
		full := fleetwire.ToAmounts(work.Amounts{CPUMilli: 4000})
		assert.NilError(t, st.Send(&wirev1.AttachRequest{Handshake: &wirev1.GuardHandshake{Guard: "g", Incarnation: 1}, ClockUs: 1}))
		capacity := &wirev1.Capacity{Service: "s", Runner: "r", Open: true, Total: full, Allocated: full}
		assert.NilError(t, st.Send(&wirev1.AttachRequest{ClockUs: 2, Capacity: capacity}))
		go func() {
			job := work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: work.Amounts{CPUMilli: 1000}, Declared: 900 * time.Millisecond}}}
			e.Submit(ctx, job, planner.Terms{Contract: "c", Service: "s", MaxAttempts: 2, TargetFactor: 3, TargetMargin: time.Second}, uptime.Now()+5*time.Second)
		}()
		heard, received := 0, 0
		for {
			m, err := st.Receive()
			if err != nil {
				break
			}
			received++
			if len(m.GetDemand()) > 0 {
				heard++
			}
		}
		t.Logf("shared demand %v: %d messages, %d with demand", shared, received, heard)
		if shared {
			assert.Check(t, heard >= 5 && received <= 14, "%d of %d messages", heard, received)
		} else {
			assert.Check(t, heard == 0 && received <= 5, "%d of %d messages", heard, received)
		}
		cancel()
		transport.Close()
		_ = server.Close()
	}
}
