// Package ctxtime provides a sleep that a context can interrupt.
package ctxtime

import (
	"context"
	"time"
)

// Sleep returns after d, or earlier if ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
