package handover

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/telemetry/uptime"
)

// Guards against a task that starts for a caller that has left: this entry was stalled with the job
// unsent, and has not read the end of the caller's connection.
func TestCallersAreCheckedBeforeAJobIsSent(t *testing.T) {
	address, _ := serveTaker(t, func(context.Context, Job) (planner.Answer, error) {
		t.Error("sent")
		return planner.Answer{}, ErrNotTaken
	})
	c, _ := startClient(t)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	c.opt.BeforeSend = leave
	_, err := c.HandOver(ctx, address, testJob(1))
	assert.ErrorIs(t, err, context.Canceled)
}

// Guards against a task that starts for a caller that has left: this entry was suspended between the check
// of the callers and the message, which must not appear newer than the check.
func TestJobIsNotTakenIfTheCheckOfCallersIsOld(t *testing.T) {
	var taken atomic.Int32
	address, _ := serveTaker(t, func(ctx context.Context, j Job) (planner.Answer, error) {
		taken.Add(1)
		return completes(ctx, j)
	})
	c, _ := startClient(t)
	var stalls atomic.Bool
	c.opt.BeforeSend = func() {
		if stalls.CompareAndSwap(true, false) {
			time.Sleep(silenceLimit + 2*heartbeatInterval)
		}
	}
	openStream(t, c, address)
	stalls.Store(true)
	_, err := c.HandOver(t.Context(), address, testJob(2))
	assert.Assert(t, err != nil)
	assert.Equal(t, taken.Load(), int32(0))
}

// Guards against a heartbeat that lets a job go on whose caller has left: its cancellation must be in the
// same message, once, also if the goroutine that waits for the job has not run.
func TestMessageCancelsJobsOfCallersThatLeft(t *testing.T) {
	c, _ := startClient(t)
	s := newClientStream(c, "second:1")
	ctx, leave := context.WithCancel(t.Context())
	h := &handedJob{ctx: ctx, job: testJob(1), done: make(chan result, 1)}
	now := uptime.Now()
	s.inFlight[h.job.Work.ID] = h
	s.heard.record(now)
	leave()
	m, _, err := s.next(now)
	assert.NilError(t, err)
	assert.DeepEqual(t, m.GetCancelled(), []string{h.job.Work.ID})
	s.leave(h)
	m, _, err = s.next(now)
	assert.NilError(t, err)
	assert.Equal(t, len(m.GetCancelled()), 0)
}
