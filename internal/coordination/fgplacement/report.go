package fgplacement

import "slices"

// Capacity is the state of one group on this VM.
type Capacity struct {
	Group string
	// Total is the number of requests that may be in flight now.
	Total int64
	// Free is the part of Total that is not in use.
	Free int64
	// Queued is the number of requests that wait.
	Queued int64
}

// Capacities returns the state of each group that has upstreams in this VM's
// region or requests waiting, by name.
func (p *Placer) Capacities() []Capacity {
	now := p.now()
	v := p.view.Load()
	out := make([]Capacity, 0, len(v.groups))
	for name, g := range v.groups {
		c := Capacity{Group: name, Queued: g.state.queued.Load()}
		for _, u := range *g.state.candidates.Load() {
			limit := u.limitAt(now)
			c.Total += limit
			c.Free += max(0, limit-u.inFlight.Load())
		}
		if len(g.locals) > 0 || c.Queued > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Capacity) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	return out
}

// Report returns what this VM tells its peers. Free capacity for which
// requests wait here is not offered, nor is any while this VM stops.
func (p *Placer) Report() ([]Load, []string) {
	if p.stopping.Load() {
		return nil, p.leaving()
	}
	var loads []Load
	for _, c := range p.Capacities() {
		loads = append(loads, Load{Group: c.Group, Free: max(0, c.Free-c.Queued), Queued: c.Queued})
	}
	return loads, p.leaving()
}

// leaving returns the upstreams that this VM itself found leaving, by name.
// What peers reported is left out, so that no report outlives its cause.
func (p *Placer) leaving() []string {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name, u := range p.upstreams {
		if u.isLeaving(now) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Stop makes this VM offer nothing to peers and leave itself out of look-ups,
// so that peers know also while the platform is down. Requests that arrive are
// still placed.
func (p *Placer) Stop() { p.stopping.Store(true) }
