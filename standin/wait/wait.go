// Package wait provides a sleep that ends with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d and reports true. It reports false as soon as ctx ends
// first.
func Sleep(ctx context.Context, d time.Duration) bool {
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
