package uptime

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if the context ended first. If d is not positive, it
// returns immediately.
func Sleep(ctx context.Context, d time.Duration) bool { return SleepUntilEvent(ctx, d, nil) }

// SleepUntilEvent waits for d or until the event, whichever is first. It returns false if the
// context ended first. If d is not positive, it returns immediately.
func SleepUntilEvent(ctx context.Context, d time.Duration, event <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-event:
	}
	return true
}
