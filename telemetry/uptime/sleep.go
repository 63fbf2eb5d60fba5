package uptime

import (
	"context"
	"time"
)

// Sleep pauses for a span; false when the context ended first. Without a span it
// returns at once.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
