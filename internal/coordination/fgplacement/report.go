package fgplacement

import "slices"

// Capacity is the capacity of one upstream group on this VM.
type Capacity struct {
	Group string
	// Total is the number of requests that may be in flight now.
	Total int64
	// Free is how much of Total is not in use.
	Free int64
	// Queued is the number of requests that wait for capacity.
	Queued int64
}

// Capacities returns the capacity of each group that has upstreams in this
// VM's region or queued requests, ordered by name.
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
		if len(g.localUpstreams) > 0 || c.Queued > 0 {
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

// Report returns the loads and the leaving upstreams that this VM reports to
// its peers. It does not offer capacity that its own queued requests need,
// nor any capacity while this VM is stopping.
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

// leaving returns the names of the upstreams that this VM itself found to be
// leaving. Peers' findings are not included, otherwise VMs would repeat them
// to each other after the cause has ended.
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

// Stop makes this VM offer no capacity to peers and omit itself from look-up
// responses. Peers learn this from its reports, which also arrive while the
// platform is down. Requests that arrive are still placed.
func (p *Placer) Stop() { p.stopping.Store(true) }
