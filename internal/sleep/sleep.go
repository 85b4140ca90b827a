// Package sleep waits for a duration or until a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, whichever comes first, and reports whether
// d has passed. If both happen at the same time, the result may be either.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
