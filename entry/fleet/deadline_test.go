package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against taking the time for which this process did not run for the silence of a
// guard, and against a process that never runs in time and waits for ever.
func TestDeadlineLeavesOutStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stalled atomic.Int64
		f := &Fleet{o: Options{Stalled: func() time.Duration { return time.Duration(stalled.Load()) }}}
		began := time.Now()
		ctx, stop := f.withTimeout(t.Context(), 200*time.Millisecond)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		stalled.Store(int64(50 * time.Millisecond))
		<-ctx.Done()
		assert.Equal(t, time.Since(began), 250*time.Millisecond)
		assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)

		began = time.Now()
		f.o.Stalled = func() time.Duration { return time.Since(began) }
		ctx, stop = f.withTimeout(t.Context(), 200*time.Millisecond)
		defer stop()
		<-ctx.Done()
		assert.Equal(t, time.Since(began), (1+maxExtension)*200*time.Millisecond)
	})
}
