package fgmirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	// memberLeaseTTL is how long a VM stays registered after its last renewal. A
	// dead VM must disappear from look-up responses within seconds.
	memberLeaseTTL = 4 * time.Second
	// renewInterval fits three times into memberLeaseTTL, so that two renewals in
	// a row may fail.
	renewInterval = 1300 * time.Millisecond
	// registrationTime is the time that the store needs for the two writes of a
	// registration. After the store was restored, all gateways register: without a spread,
	// most of their calls end at their timeouts, and the store carries them out in vain.
	registrationTime = 4 * time.Millisecond
	// revokeTimeout bounds the call that removes the entry of a stopping VM.
	revokeTimeout = 500 * time.Millisecond
)

// Announce writes a value to the store under a lease and renews the lease until
// ctx is done. It then revokes the lease, which removes the key. A lease that
// has expired is replaced by a new one.
func (m *Mirror) Announce(ctx context.Context, key string, data []byte) error {
	var lease fgstore.Lease
	registered := false
	for ctx.Err() == nil {
		var err error
		if registered {
			err = m.options.Feed.Renew(ctx, lease)
		} else if lease, err = m.register(ctx, key, data); err == nil {
			registered = true
			m.notifyRegistered()
			m.options.Logger.Info("entry registered under a lease", "key", key, "lease", lease.ID, "ttl", lease.TTL.String())
		}
		wait := renewInterval
		switch {
		case err == nil:
			m.RecordSuccess()
		case ctx.Err() != nil:
		case errors.Is(err, fgstore.ErrLeaseEnded):
			m.options.Logger.Info("lease expired, registering the entry again", "key", key, "lease", lease.ID)
			wait = m.registrationWait()
			if !registered {
				wait += retryDelay
			}
			registered = false
		default:
			m.RecordFailure(err)
			m.options.Logger.Info("registering or renewing the entry failed", "key", key, "error", err.Error())
			wait = retryDelay
			if !registered {
				wait += m.registrationWait()
			}
		}
		_ = fgtimer.Wait(ctx, wait)
	}
	if registered {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
		defer cancel()
		if err := m.options.Feed.Revoke(revokeCtx, lease); err != nil {
			m.options.Logger.Info("revoking the lease failed", "lease", lease.ID, "error", err.Error())
		}
	}
	return ctx.Err()
}

// registrationSpread returns the time over which the gateways of the fleet spread their
// registrations when all of them register again.
func (m *Mirror) registrationSpread() time.Duration {
	v := m.View()
	if v == nil {
		return 0
	}
	return registrationTime * time.Duration(len(v.Members()))
}

// registrationWait returns how long this gateway waits before it registers again.
func (m *Mirror) registrationWait() time.Duration {
	return time.Duration(rand.Float64() * float64(m.registrationSpread()))
}

func (m *Mirror) notifyRegistered() {
	if m.options.Registered != nil {
		m.options.Registered()
	}
}

// register obtains a lease and writes the value under it.
func (m *Mirror) register(ctx context.Context, key string, data []byte) (fgstore.Lease, error) {
	lease, err := m.options.Feed.Grant(ctx, memberLeaseTTL)
	if err != nil {
		return lease, err
	}
	return lease, m.options.Feed.PutLeased(ctx, key, data, lease)
}
