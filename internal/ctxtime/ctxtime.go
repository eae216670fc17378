// Package ctxtime waits for a time or the end of a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep returns after d, or when ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
