package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/entry/fleet/window"
	"almondstand.dev/wire/wirev1"
)

// session holds the starts made under one successful Hello at one guard incarnation. A
// lost session never becomes valid again; it stays in memory until its open starts are
// settled.
type session struct {
	id     string
	lease  time.Duration
	window *window.Window

	// renewedAt is the send time of the latest answered call, and repliedAt the time of
	// the latest reply (both as returned by monotonic). The lease counts from
	// renewedAt: the guard counts from the arrival of the call, which can't be earlier.
	renewedAt atomic.Int64
	repliedAt atomic.Int64

	// ackedWatermark is the highest low watermark that the guard is known to have.
	ackedWatermark atomic.Uint64

	lostOnce sync.Once
	lost     chan struct{}
}

func newSession(r *wirev1.HelloResponse, sent time.Duration) *session {
	s := &session{
		id:     r.GetSession(),
		lease:  time.Duration(r.GetLeaseMs()) * time.Millisecond,
		window: window.New(),
		lost:   make(chan struct{}),
	}
	s.setAckedWatermark(s.window.Low())
	s.recordReply(sent)
	return s
}

// recordReply records that a call sent at the given time was answered.
func (s *session) recordReply(sent time.Duration) {
	s.repliedAt.Store(int64(monotonic()))
	for {
		last := s.renewedAt.Load()
		if int64(sent) <= last || s.renewedAt.CompareAndSwap(last, int64(sent)) {
			return
		}
	}
}

// setAckedWatermark records that a call with this watermark was answered. Only the
// session goroutine calls it.
func (s *session) setAckedWatermark(low uint64) { s.ackedWatermark.Store(low) }

func (s *session) ackedLow() uint64 { return s.ackedWatermark.Load() }

// leaseValid reports whether the guard certainly still holds the session. This process
// may have been paused: a Start on a session that the guard has dropped would end as
// unknown although the task never ran, so it must not be sent at all.
func (s *session) leaseValid() bool {
	if s.lease == 0 {
		return true
	}
	return s.sinceRenewal() < s.usableFor()
}

// usableFor is the time after a renewal during which starts may use the session.
func (s *session) usableFor() time.Duration { return s.lease * 3 / 4 }

func (s *session) sinceRenewal() time.Duration {
	return monotonic() - time.Duration(s.renewedAt.Load())
}

func (s *session) sinceReply() time.Duration {
	return monotonic() - time.Duration(s.repliedAt.Load())
}

// markLost ends the session for new starts.
func (s *session) markLost() {
	s.lostOnce.Do(func() { close(s.lost) })
}
