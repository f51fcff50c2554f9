// Package fgtimer waits on the runtime's clock.
package fgtimer

import (
	"context"
	"time"
)

// Wait returns after a time, or with the context's error when that ends first.
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
