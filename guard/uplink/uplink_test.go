package uplink

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// silentEntry completes the handshake and then sends nothing more.
type silentEntry struct {
	wirev1connect.UnimplementedFleetServiceHandler
	attached atomic.Int64
}

func (e *silentEntry) Attach(ctx context.Context, st *connect.BidiStream[wirev1.AttachRequest, wirev1.AttachResponse]) error {
	if _, err := st.Receive(); err != nil {
		return err
	}
	e.attached.Add(1)
	if err := st.Send(&wirev1.AttachResponse{Handshake: &wirev1.EntryHandshake{Entry: "e", Incarnation: 1}}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// serveEntry serves an entry on its own port until the test ends.
func serveEntry(t *testing.T, e wirev1connect.FleetServiceHandler) (address string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wirev1connect.NewFleetServiceHandler(e))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := fleetwire.NewServer(mux)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

type noHost struct{}

func (noHost) Capacity() runs.Capacity                                      { return runs.Capacity{} }
func (noHost) HasCapacity() bool                                            { return false }
func (noHost) SetCordon(int64, bool)                                        {}
func (noHost) EntryAlive(runs.Owner, time.Duration)                         {}
func (noHost) LateStarts(uint64) ([]runs.LateStart, uint64)                 { return nil, 0 }
func (noHost) HasLateStarts() bool                                          { return false }
func (noHost) Progress(runs.Owner) []runs.Progress                          { return nil }
func (noHost) Reconcile(runs.Owner, []work.RunID) []runs.Report             { return nil }
func (noHost) Submit(time.Duration, runs.Owner, []runs.Order, []work.RunID) {}

// Guards against an entry that permanently has no runners after its connection went silent.
// The guard closes the silent session after 3 s and must reconnect; cancelling the stream's
// context alone leaves it blocked in a receive.
func TestSilentSessionIsClosed(t *testing.T) {
	entry := &silentEntry{}
	address := serveEntry(t, entry)
	up := New(Options{Guard: "g", Seeds: func() []string { return []string{address} }, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))}, noHost{})
	ctx, cancel := context.WithTimeout(t.Context(), listenFor+2*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- up.Run(ctx) }()
	<-ctx.Done()
	assert.Assert(t, errors.Is(ctx.Err(), context.DeadlineExceeded))
	assert.Equal(t, entry.attached.Load(), int64(2))
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the uplink did not stop when its context ended")
	}
}

// Guards against rejected jobs after a power loss, when guards are back a moment before the
// entries: until the guards connect there are no runners. A dial sent while the entry's host
// was down hangs, so a guard must not wait for it. Whenever the entry is back within the first
// half second, the next attempt must follow soon.
func TestRestartedEntryIsReconnectedSoon(t *testing.T) {
	for unreachableFor := time.Duration(0); unreachableFor < 500*time.Millisecond; unreachableFor += 10 * time.Millisecond {
		dial, retry := backoff(unreachableFor)
		assert.Assert(t, dial+retry <= 200*time.Millisecond, "after %s: %s and %s", unreachableFor, dial, retry)
		assert.Assert(t, dial >= 50*time.Millisecond, "establishing a connection takes some milliseconds")
	}
	dial, retry := backoff(time.Minute)
	assert.Equal(t, retry, maxRetry, "an entry that is permanently gone costs little")
	assert.Equal(t, dial, fleetwire.DialTimeout)
}
