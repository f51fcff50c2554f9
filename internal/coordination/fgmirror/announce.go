package fgmirror

import (
	"context"
	"errors"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	// memberLease is how long a VM stays listed after it stopped renewing. A
	// dead VM must leave look-up answers within seconds.
	memberLease = 4 * time.Second
	// renewEvery leaves room for two lost renewals.
	renewEvery = 1300 * time.Millisecond
	// endTimeout bounds how long a stopping VM tries to remove its entry.
	endTimeout = 500 * time.Millisecond
)

// Announce keeps a value in the store under a lease until the context ends,
// then removes it.
func (m *Mirror) Announce(ctx context.Context, key string, data []byte) error {
	var lease fgstore.Lease
	held := false
	for ctx.Err() == nil {
		var err error
		if held {
			err = m.options.Feed.Renew(ctx, lease)
		} else if lease, err = m.announceOnce(ctx, key, data); err == nil {
			held = true
			m.options.Logger.Info("entry announced", "key", key, "lease", lease.ID, "ttl", lease.TTL.String())
		}
		wait := renewEvery
		switch {
		case err == nil:
			m.Reached()
		case ctx.Err() != nil:
		case errors.Is(err, fgstore.ErrLeaseEnded):
			m.options.Logger.Info("lease ended, announcing again", "key", key, "lease", lease.ID)
			held, wait = false, 0
		default:
			m.Failed(err)
			m.options.Logger.Info("announcement not renewed", "key", key, "error", err.Error())
			wait = retryWait
		}
		_ = fgtimer.Wait(ctx, wait)
	}
	if held {
		ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
		defer cancel()
		if err := m.options.Feed.End(ending, lease); err != nil {
			m.options.Logger.Info("lease not ended", "lease", lease.ID, "error", err.Error())
		}
	}
	return ctx.Err()
}

func (m *Mirror) announceOnce(ctx context.Context, key string, data []byte) (fgstore.Lease, error) {
	lease, err := m.options.Feed.Grant(ctx, memberLease)
	if err != nil {
		return lease, err
	}
	return lease, m.options.Feed.PutLeased(ctx, key, data, lease)
}
