package fgmirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

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

// errNewerProcess means that a later process of the same VM has registered.
var errNewerProcess = merry.Sentinel("a later process of this VM is registered")

// announcement is the entry of this process in the store.
type announcement struct {
	mirror *Mirror
	key    string
	data   []byte
	// lease was granted last. Unless registered is set, an entry may have been written
	// under it, or still be.
	lease      fgstore.Lease
	registered bool
	// written is where the entry was written. Its revision is zero if the store named none.
	written fgstore.Position
}

// Announce writes a value to the store under a lease and renews the lease until
// ctx is done. It then revokes the lease, which removes the key. A lease that
// has expired is replaced by a new one, and an entry that was lost is written again.
func (m *Mirror) Announce(ctx context.Context, key string, data []byte) error {
	a := announcement{mirror: m, key: key, data: data}
	for ctx.Err() == nil {
		wasRegistered := a.registered
		err := a.step(ctx)
		wait := renewInterval
		switch {
		case err == nil:
			m.RecordSuccess()
		case ctx.Err() != nil:
		case errors.Is(err, fgstore.ErrLeaseEnded):
			m.options.Logger.Info("lease expired, registering the entry again", "key", key, "lease", a.lease.ID)
			wait = m.registrationWait()
			if !wasRegistered {
				wait += retryDelay
			}
		case errors.Is(err, fgstore.ErrConflict), errors.Is(err, errNewerProcess):
			m.RecordSuccess()
			m.options.Logger.Info("the entry was written by another process meanwhile", "key", key, "error", err.Error())
			wait = retryDelay
		default:
			m.RecordFailure(err)
			m.options.Logger.Info("registering or renewing the entry failed", "key", key, "error", err.Error())
			wait = retryDelay
			if !a.registered {
				wait += m.registrationWait()
			}
		}
		_ = fgtimer.Wait(ctx, wait)
	}
	if a.lease.ID != 0 {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
		defer cancel()
		if err := m.options.Feed.Revoke(revokeCtx, a.lease); err != nil {
			m.options.Logger.Info("revoking the lease failed", "lease", a.lease.ID, "error", err.Error())
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

// step renews the lease, or registers the entry if it is not registered or was lost.
func (a *announcement) step(ctx context.Context) error {
	m := a.mirror
	if a.registered {
		if err := m.options.Feed.Renew(ctx, a.lease); err != nil {
			a.registered = !errors.Is(err, fgstore.ErrLeaseEnded)
			return err
		}
		if !m.lost(a.key, a.written) {
			return nil
		}
		m.options.Logger.Info("the entry was lost while its lease was renewed, registering it again", "key", a.key, "lease", a.lease.ID, "revision", a.written.Revision)
		a.registered = false
	}
	return a.register(ctx)
}

// register obtains a lease and writes the entry under it, in place of the one that is
// present. The store may execute a write seconds after the call has failed. Without the
// condition it would then replace the entry of a later call, and end with its own lease.
func (a *announcement) register(ctx context.Context) error {
	m := a.mirror
	lease, err := m.options.Feed.Grant(ctx, memberLeaseTTL)
	if err != nil {
		return err
	}
	a.lease = lease
	written, err := a.put(ctx, m.present(a.key, lease.Era))
	if errors.Is(err, fgstore.ErrConflict) {
		// The copy is not as new as the store.
		written, err = a.put(ctx, written)
	}
	if err != nil {
		return err
	}
	a.registered, a.written = true, fgstore.Position{Era: lease.Era, Revision: written.Revision}
	m.notifyRegistered()
	m.options.Logger.Info("entry registered under a lease", "key", a.key, "lease", lease.ID, "ttl", lease.TTL.String(), "revision", written.Revision)
	return nil
}

// put writes the entry in place of the one that is present, unless that is of a later
// process of this VM. With fgstore.ErrConflict it returns what is present instead.
func (a *announcement) put(ctx context.Context, present fgstore.Value) (fgstore.Value, error) {
	if a.isOlderThan(present) {
		return present, merry.Wrap(errNewerProcess)
	}
	return a.mirror.options.Feed.PutLeased(ctx, a.key, present.Revision, a.data, a.lease)
}

// isOlderThan reports whether an entry was written by a later process of this VM. The
// entry of an earlier one, whose clock was ahead, expires with its lease.
func (a *announcement) isOlderThan(present fgstore.Value) bool {
	own, ok, err := a.mirror.options.Codec.Member(a.key, a.data)
	other, otherOK, otherErr := a.mirror.options.Codec.Member(a.key, present.Data)
	return present.Revision > 0 && ok && err == nil && otherOK && otherErr == nil && other.Incarnation > own.Incarnation
}

// present returns the value of a key in an era as far as the copy knows. Its revision is
// zero if there is none.
func (m *Mirror) present(key string, era uint64) fgstore.Value {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e != nil && e.era == era && e.deleteAt.IsZero() {
		return e.value
	}
	return fgstore.Value{Key: key}
}

// lost reports whether the copy shows that an entry which was written at a position was
// deleted or replaced since.
func (m *Mirror) lost(key string, written fgstore.Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if written.Revision == 0 || m.position.Era != written.Era || m.position.Before(written) {
		return false
	}
	e := m.entries[key]
	return e == nil || !e.deleteAt.IsZero() || e.position() != written
}
