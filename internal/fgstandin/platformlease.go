package fgstandin

import (
	"context"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

// lease is a promise that lapses unless it is renewed.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// Grant makes a lease and returns its id.
func (p *Platform) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if _, err := p.enter(ctx, writeCall); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leases == nil {
		p.leases = map[uint64]*lease{}
	}
	p.lastID++
	p.leases[p.lastID] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	return p.lastID, nil
}

// KeepAlive renews a lease. It returns fgstore.ErrNotFound for one that has
// lapsed.
func (p *Platform) KeepAlive(ctx context.Context, id uint64) error {
	if _, err := p.enter(ctx, writeCall); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[id]
	if !ok || !time.Now().Before(l.until) {
		delete(p.leases, id)
		return fgstore.ErrNotFound
	}
	l.until = time.Now().Add(l.ttl)
	return nil
}
