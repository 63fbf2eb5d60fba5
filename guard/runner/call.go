package runner

import (
	"context"
	"net"
	"sync"
	"time"
)

// call is the state of one call, shared by the code that stops it and by the
// transport.
type call struct {
	grace  time.Duration
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	conn  *conn
	cause Verdict
	ended bool
	timer *time.Timer
}

// notStopped is the cause of a call that has not been stopped.
const notStopped Verdict = -1

func newCall(grace time.Duration) *call {
	ctx, cancel := context.WithCancel(context.Background())
	return &call{grace: grace, ctx: ctx, cancel: cancel, cause: notStopped}
}

// gotConn records the connection that the transport assigned to the call.
func (k *call) gotConn(raw net.Conn) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn = c
	c.assign(k)
	if k.cause != notStopped {
		c.closeOwned(k)
	}
}

// stop ends the call for the given reason; only the first reason counts. It first
// closes the connection for writing only: a runner that then stops the task
// closes its side, so the slot is freed once the work has really stopped.
func (k *call) stop(cause Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || k.cause != notStopped {
		return
	}
	k.cause = cause
	if k.conn == nil {
		k.cancel()
		return
	}
	k.conn.closeWrite(k)
	k.timer = time.AfterFunc(k.grace, k.cancel)
}

// stopped reports whether the call was stopped, and why.
func (k *call) stopped() (Verdict, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cause, k.cause != notStopped
}

// failedOutcome returns the outcome of a call that got no response.
func (k *call) failedOutcome(err error) Outcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	// The transport may still be about to write when it reports the error.
	// Closing the connection first ensures that nothing can be sent after
	// writeAttempted was read.
	sent := k.conn != nil && k.conn.closeOwned(k)
	switch {
	case !sent && k.cause == Cancelled:
		return Outcome{Verdict: CancelledBeforeSend, Message: "cancelled before it was sent"}
	case !sent && k.cause == RunLimit:
		return Outcome{Verdict: NoConnection, Message: "no connection was free within the run limit"}
	case !sent && k.conn != nil:
		k.conn = nil
		return Outcome{Verdict: notSent, Message: err.Error()}
	case !sent:
		return Outcome{Verdict: Unreachable, Message: err.Error()}
	case k.cause != notStopped:
		return Outcome{Verdict: k.cause, Message: stopMessage(k.cause)}
	default:
		return Outcome{Verdict: ConnectionLost, Message: err.Error()}
	}
}

// end releases the call's resources. A connection that was closed for writing
// can't be used for another call.
func (k *call) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	if k.timer != nil {
		k.timer.Stop()
	}
	if k.cause != notStopped && k.conn != nil {
		k.conn.closeOwned(k)
	}
	k.cancel()
}
