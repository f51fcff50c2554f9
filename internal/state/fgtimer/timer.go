// Package fgtimer provides waits that a context can interrupt, and times that include
// those in which a VM is suspended.
package fgtimer

import (
	"context"
	"time"
)

// Wait blocks for d or until ctx is done, in which case it returns ctx.Err(). If d
// is not positive, it returns ctx.Err() at once.
func Wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Since returns the time since t by the monotonic or the wall clock, whichever is
// longer. The monotonic clock stands still while a VM is suspended.
func Since(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
