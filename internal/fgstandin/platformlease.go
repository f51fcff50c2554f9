package fgstandin

import (
	"context"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

// lease expires unless it is renewed in time.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Grant creates a lease and returns its id.
func (p *Platform) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if _, err := p.startCall(ctx, writeCall); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leases == nil {
		p.leases = map[uint64]*lease{}
	}
	p.lastID++
	p.leases[p.lastID] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return p.lastID, nil
}

// KeepAlive renews a lease. It returns fgstore.ErrNotFound if the lease has
// expired.
func (p *Platform) KeepAlive(ctx context.Context, id uint64) error {
	if _, err := p.startCall(ctx, writeCall); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[id]
	if !ok || !time.Now().Before(l.expiresAt) {
		delete(p.leases, id)
		return fgstore.ErrNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}
