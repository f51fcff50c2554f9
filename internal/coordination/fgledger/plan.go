package fgledger

import (
	"maps"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/state/fgshare"
)

// plan holds the inputs and the result of one attempt to move the ledger
// towards its targets.
type plan struct {
	revision   uint64
	ledger     fgshare.Ledger
	members    uint64
	set        *fgmember.Set
	targets    map[string]fgshare.Target
	reductions []fgshare.Reduction
	promised   map[string]map[string]int64
}

func (r *Rebalancer) plan(members uint64, set *fgmember.Set) *plan {
	revision, ledger, d := r.options.Holder.snapshot()
	p := &plan{
		revision: revision, ledger: ledger, members: members, set: set,
		targets: map[string]fgshare.Target{}, promised: map[string]map[string]int64{},
	}
	terminated := r.terminated(p)
	for name, l := range d.limits {
		p.setTarget(name, d.generation, l.limit, r.claims(p, name, l), r.fixedUnits(p, name, terminated))
	}
	for name := range ledger.Limits {
		if _, ok := d.limits[name]; !ok {
			// The limit was withdrawn: its holders return their units.
			p.setTarget(name, d.generation, fgshare.Limit{}, nil, r.fixedUnits(p, name, terminated))
		}
	}
	return p
}

// alive reports whether a member can be asked for a promise.
func (r *Rebalancer) alive(incarnation string) bool {
	return incarnation == r.self || r.options.Fleet.Alive(incarnation)
}

// fixedUnits returns the units that cannot move now: their holders do not
// respond but are not proved to have ended.
func (r *Rebalancer) fixedUnits(p *plan, name string, terminated func(string) bool) map[string]int64 {
	units := map[string]int64{}
	for h, u := range p.ledger.Limits[name].Units {
		if _, registered := p.set.ByIncarnation(h); !(registered && r.alive(h)) && !terminated(h) {
			units[h] = u
		}
	}
	return units
}

func (r *Rebalancer) claims(p *plan, name string, l DeclaredLimit) []fgshare.Claim {
	var claims []fgshare.Claim
	for _, m := range p.set.All() {
		current := p.ledger.Limits[name].Units[m.Incarnation]
		eligible := l.region == "" || l.region == m.Region
		if !eligible || !r.alive(m.Incarnation) || current == 0 && m.Leaving {
			continue
		}
		demand := r.demands[demandKey{m.Incarnation, name}]
		claims = append(claims, fgshare.NewClaim(m.Incarnation, current, demand.units, !demand.lastUsed.IsZero()))
	}
	return claims
}

func (p *plan) setTarget(name string, generation uint64, l fgshare.Limit, claims []fgshare.Claim, fixed map[string]int64) {
	share := p.ledger.Limits[name]
	if generation < share.Generation {
		return
	}
	units := maps.Clone(fixed)
	maps.Copy(units, fgshare.Distribute(l, claims, fgshare.Share{Units: fixed}.Sum()))
	if share.Total == l.Units() && share.Sum() == l.Units() && withinTolerance(l, share, units) {
		return
	}
	t := fgshare.NewTarget(l.Units(), generation, units)
	if share.Total == l.Units() && equal(share.Units, units) {
		return
	}
	p.targets[name] = t
	p.reductions = append(p.reductions, share.LimitReductions(t, share.Reductions(name, t))...)
}

// withinTolerance reports whether the difference between a share and its
// target is too small for a write.
func withinTolerance(l fgshare.Limit, share fgshare.Share, units map[string]int64) bool {
	for h, u := range share.Units {
		if _, ok := units[h]; !ok && u > 0 {
			return false
		}
	}
	for h, u := range units {
		current := share.Units[h]
		if difference := max(u-current, current-u); difference > l.Units()/toleranceDivisor || current < min(u, fgshare.MinActiveUnits) || u <= fgshare.MinActiveUnits && difference > 0 {
			return false
		}
	}
	return true
}

func equal(a, b map[string]int64) bool {
	for _, pair := range [][2]map[string]int64{{a, b}, {b, a}} {
		for h, u := range pair[0] {
			if pair[1][h] != u {
				return false
			}
		}
	}
	return true
}

// nothingToWrite reports whether the ledger is at its targets, or no write
// could move units now.
func (p *plan) nothingToWrite(r *Rebalancer) bool {
	if r.forceWrite && p.revision > 0 {
		return false
	}
	terminated := r.terminated(p)
	for name, t := range p.targets {
		share := p.ledger.Limits[name]
		promised := map[string]int64{}
		for _, reduction := range share.Reductions(name, t) {
			promised[reduction.Holder()] = reduction.Units()
		}
		if next := share.Next(t, promised, terminated); next.Total != share.Total || !equal(next.Units, share.Units) {
			return false
		}
	}
	return true
}

func (p *plan) next(terminated func(string) bool) fgshare.Ledger {
	limits := maps.Clone(p.ledger.Limits)
	if limits == nil {
		limits = map[string]fgshare.Share{}
	}
	for name, t := range p.targets {
		limits[name] = limits[name].Next(t, p.promised[name], terminated)
		if limits[name].Total == 0 {
			delete(limits, name)
		}
	}
	holders := map[string]fgshare.Registration{}
	for _, s := range limits {
		for h := range s.Units {
			if old, ok := p.ledger.Holders[h]; ok {
				holders[h] = old
			} else if m, ok := p.set.ByIncarnation(h); ok {
				holders[h] = fgshare.Registration{VM: m.VM, Members: p.members}
			}
		}
	}
	return fgshare.Ledger{Holders: holders, Limits: limits}
}
