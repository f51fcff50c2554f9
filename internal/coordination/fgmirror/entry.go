package fgmirror

import (
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Codec decodes the entries of the store.
type Codec interface {
	// Policy decodes a policy. It reports false if the key does not hold one.
	Policy(key string, data []byte) (*fgsteer.Policy, bool, error)
	// DrainedZone returns the availability zone that the key marks as draining.
	DrainedZone(key string) (zone string, ok bool)
	// Upstream decodes an upstream. It reports false if the key does not hold
	// one. The time that the upstream stays cold counts from now.
	Upstream(key string, data []byte, now time.Time) (fgsteer.UpstreamSpec, bool, error)
	// Member decodes a gateway. It reports false if the key does not hold one.
	Member(key string, data []byte) (fgsteer.MemberSpec, bool, error)
}

// entry is a stored value with its decoded form.
type entry struct {
	value fgstore.Value
	// era is the era of the store in which value was read.
	era uint64
	// deleteAt is when a deleted entry leaves the view. It is zero unless the
	// deletion may be a consequence of an outage.
	deleteAt time.Time
	// hiddenUntil is when an entry is in the view that was deleted before the store was
	// restored, or that was written late.
	hiddenUntil time.Time
	// outdatedSince is since when all reports of the upstream were older than the one in
	// the view.
	outdatedSince time.Time
	// At most one of the following is set, and none if the value is invalid. zone is
	// an availability zone that is draining.
	policy   *fgsteer.Policy
	upstream *fgsteer.UpstreamSpec
	member   *fgsteer.MemberSpec
	zone     string
}

// position returns the position at which the entry was written.
func (e *entry) position() fgstore.Position {
	return fgstore.Position{Era: e.era, Revision: e.value.Revision}
}

// isLeased reports whether the entry expires when its owner does not renew it.
func (e *entry) isLeased() bool { return e.upstream != nil || e.member != nil }

// decode decodes a value. A value that cannot be decoded contributes nothing to
// the view; after an invalid policy the previous one stays in force.
func (m *Mirror) decode(v fgstore.Value, era uint64) *entry {
	e := &entry{value: v, era: era}
	c := m.options.Codec
	if zone, ok := c.DrainedZone(v.Key); ok {
		e.zone = zone
		m.options.Logger.Info("availability zone is draining", "availabilityZone", zone, "revision", v.Revision)
	}
	policy, ok, err := c.Policy(v.Key, v.Data)
	if ok && err == nil {
		e.policy = policy
		if m.policy != nil && policy.Version() < m.policy.Version() {
			m.options.Logger.Info("older policy ignored", "version", policy.Version(), "inForce", m.policy.Version(), "era", era, "revision", v.Revision)
		}
	}
	m.logInvalid(v, err)
	upstream, ok, err := c.Upstream(v.Key, v.Data, time.Now())
	if ok && err == nil {
		e.upstream = &upstream
		m.options.Logger.Info("upstream registered", "upstream", upstream.ID, "group", upstream.Group, "address", upstream.Address,
			"draining", upstream.Draining, "coldUntil", upstream.ColdUntil, "revision", v.Revision)
	}
	m.logInvalid(v, err)
	member, ok, err := c.Member(v.Key, v.Data)
	if ok && err == nil {
		e.member = &member
		m.options.Logger.Info("member registered", "vm", member.VM, "incarnation", member.Incarnation, "revision", v.Revision)
	}
	m.logInvalid(v, err)
	return e
}

// logInvalid logs that a value cannot be decoded, if err is not nil.
func (m *Mirror) logInvalid(v fgstore.Value, err error) {
	if err != nil {
		m.options.Logger.Info("entry cannot be decoded, ignoring it", "key", v.Key, "revision", v.Revision, "error", err.Error())
	}
}
