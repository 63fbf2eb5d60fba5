package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Verifies that time during which this process did not run does not count as an
// unresponsive guard, and that a process that is stalled all the time does not wait
// forever.
func TestTimeoutExcludesStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stalled atomic.Int64
		f := &Fleet{opts: Options{StalledTime: func() time.Duration { return time.Duration(stalled.Load()) }}}
		began := time.Now()
		ctx, stop := f.withTimeout(t.Context(), 200*time.Millisecond)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		stalled.Store(int64(50 * time.Millisecond))
		<-ctx.Done()
		assert.Equal(t, time.Since(began), 250*time.Millisecond)
		assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)

		began = time.Now()
		f.opts.StalledTime = func() time.Duration { return time.Since(began) }
		ctx, stop = f.withTimeout(t.Context(), 200*time.Millisecond)
		defer stop()
		<-ctx.Done()
		assert.Equal(t, time.Since(began), (1+maxExtension)*200*time.Millisecond)
	})
}
