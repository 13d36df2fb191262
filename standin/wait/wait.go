// Package wait holds the one wait that the stand-ins share.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports false when ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
