package fgaffinity

import "time"

// warmLifetime is how long a response shows that an upstream is not cold, for a VM that
// doesn't learn of starts. An upstream takes longer to start again.
const warmLifetime = 2 * time.Second

// SetIsolated sets whether this VM has neither the store nor other VMs to learn from that
// an upstream has started. It then takes each upstream for cold that has not lately
// responded as a warm one.
func (b *Balancer) SetIsolated(isolated bool) { b.isolated.Store(isolated) }

// RecordWarm records that an upstream responded and is not cold.
func (b *Balancer) RecordWarm(u *Upstream) { u.warmSince.Store(int64(time.Since(b.epoch))) }

// reserveColdSend reports whether a request may be sent to an upstream that may be cold, and
// counts it. While this VM is isolated, it may send one request in coldWindow to an upstream
// that it has no quota of: the response shows whether it is cold, and what coldBoundFraction
// leaves of the bound covers a few such VMs.
func (b *Balancer) reserveColdSend(s *state, g *group, u *Upstream, wall time.Time, now int64) bool {
	switch {
	case u.isCold(wall, now):
		return wall.Sub(b.started) >= coldSendDelay && u.reserveColdSend(wall, b.coldQuota(s, g, u))
	case b.isolated.Load() && g.spec.ColdRate > 0 && now-u.warmSince.Load() >= int64(warmLifetime):
		return u.reserveColdSend(wall, max(1, b.coldQuota(s, g, u)))
	default:
		return true
	}
}
