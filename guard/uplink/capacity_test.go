package uplink

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// pendingEntry is an entry with pending tasks that reads all messages and acknowledges them
// when the test says so.
type pendingEntry struct {
	wirev1connect.UnimplementedFleetServiceHandler
	// acknowledges is false for an entry of an older release, which sends no acknowledgements.
	acknowledges bool
	confirm      chan struct{}

	mu         sync.Mutex
	capacities int
	attached   bool
}

func (e *pendingEntry) Attach(ctx context.Context, st *connect.BidiStream[wirev1.AttachRequest, wirev1.AttachResponse]) error {
	m, err := st.Receive()
	if err != nil {
		return err
	}
	clock := m.GetClockUs()
	if !e.acknowledges {
		clock = 0
	}
	first := &wirev1.AttachResponse{Handshake: &wirev1.EntryHandshake{Entry: "e", Incarnation: 1}, ReadUs: clock, HasPending: true}
	if err := st.Send(first); err != nil {
		return err
	}
	read := make(chan int64, 1000)
	go func() {
		for {
			m, err := st.Receive()
			if err != nil {
				close(read)
				return
			}
			e.take(m)
			read <- m.GetClockUs()
		}
	}()
	if err := st.Send(&wirev1.AttachResponse{ReadUs: clock, HasPending: true}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.confirm:
		}
		if err := st.Send(&wirev1.AttachResponse{ReadUs: drained(read), HasPending: true}); err != nil {
			return err
		}
	}
}

// drained returns the latest clock that was read.
func drained(read chan int64) int64 {
	newest := int64(0)
	for {
		select {
		case c, open := <-read:
			if !open {
				return newest
			}
			newest = c
		default:
			return newest
		}
	}
}

func (e *pendingEntry) take(m *wirev1.AttachRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attached = true
	if m.GetCapacity() != nil {
		e.capacities++
	}
}

func (e *pendingEntry) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.capacities
}

// busyHost always has free capacity.
type busyHost struct{ noHost }

func (busyHost) HasCapacity() bool { return true }
func (busyHost) Capacity() runs.Capacity {
	return runs.Capacity{Process: runs.Process{Total: work.Amounts{CPUMilli: 16_000}}, AcceptsStarts: true}
}

// changeCapacity signals n changes of the guard's capacity, 5 ms apart.
func changeCapacity(up *Uplink, n int) {
	for range n {
		up.CapacityChanged()
		time.Sleep(5 * time.Millisecond)
	}
}

// attachTo starts a guard with one entry and waits for its first capacity message.
func attachTo(t *testing.T, e *pendingEntry) *Uplink {
	t.Helper()
	address := serveEntry(t, e)
	up := New(Options{Guard: "g", Seeds: func() []string { return []string{address} }, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))}, busyHost{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = up.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.count() > 0 {
			return poll.Success()
		}
		return poll.Continue("no capacity received")
	}, poll.WithTimeout(5*time.Second))
	return up
}

// Guards against flooding a slow entry on a small host that has pending tasks: the runner's
// capacity changes with every run of every entry, and with a message for each the entry would
// do nothing but read them. It is sent one message, and the latest capacity as soon as it has
// acknowledged that.
func TestSlowEntryIsSentOneMessage(t *testing.T) {
	e := &pendingEntry{acknowledges: true, confirm: make(chan struct{})}
	up := attachTo(t, e)
	changeCapacity(up, 40)
	assert.Equal(t, e.count(), 1)
	e.confirm <- struct{}{}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.count() == 2 {
			return poll.Success()
		}
		return poll.Continue("%d messages with capacity", e.count())
	}, poll.WithTimeout(time.Second))
	changeCapacity(up, 40)
	assert.Equal(t, e.count(), 2)
}

// Guards against withholding capacity during a rolling upgrade from entries of a release that
// sends no acknowledgements: their pending tasks would find no runner.
func TestEntryWithoutAcknowledgementsIsSentCapacity(t *testing.T) {
	e := &pendingEntry{confirm: make(chan struct{})}
	up := attachTo(t, e)
	changeCapacity(up, 40)
	assert.Assert(t, e.count() > 10, "%d messages with capacity", e.count())
}
