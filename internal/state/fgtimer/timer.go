// Package fgtimer provides waits that a context can interrupt.
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
