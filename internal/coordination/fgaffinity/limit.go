package fgaffinity

import "sync"

// namedLimit is the rate of requests that an upstream has named in its responses.
type namedLimit struct {
	mu   sync.Mutex
	rate float64
	set  bool
}

// RecordLimit records whether a response of an upstream named a limit, and its rate in
// requests per second for all VMs together. It reports whether the upstream has begun or
// ceased to name one.
func (b *Balancer) RecordLimit(u *Upstream, rate float64, named bool) (changed bool) {
	l := &u.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = named != l.set
	l.rate, l.set = rate, named
	return changed
}

// LimitedUpstreams returns the number of upstreams that name a limit.
func (b *Balancer) LimitedUpstreams() int {
	n := 0
	for _, g := range b.state.Load().groups {
		for _, u := range g.upstreams {
			if u.limit.isSet() {
				n++
			}
		}
	}
	return n
}

func (l *namedLimit) isSet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set
}
