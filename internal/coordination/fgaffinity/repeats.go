package fgaffinity

import (
	"sync"
	"time"
)

// repeatPart is the part of the fleet's bound of repeats that is used. The rest
// covers requests whose arrival the fleet learns late.
const repeatPart = 0.45

// Repeats bounds the requests that are sent to a further upstream, for each
// group, to this VM's part of a bound that counts all VMs.
type Repeats struct {
	mu sync.Mutex
	// ratio is the number of repeats for each request. extra more are allowed in
	// a window by all VMs together.
	ratio   float64
	extra   int
	window  time.Duration
	members int
	groups  map[string]*repeatBucket
}

type repeatBucket struct {
	tokens float64
	last   time.Time
}

// SetBounds sets the fleet's bound: a number of repeats for each request, and
// some more in each window.
func (r *Repeats) SetBounds(ratio float64, extra int, window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio, r.extra, r.window = ratio, extra, window
}

// SetMembers tells how many VMs share the bound.
func (r *Repeats) SetMembers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = max(1, n)
}

// Earn counts a request of a group.
func (r *Repeats) Earn(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(group)
	b.tokens = min(b.tokens+repeatPart*r.ratio, r.most())
}

// Take spends a repeat, if there is one.
func (r *Repeats) Take(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(group)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// most is how many repeats may be saved up: what may come at once at the end of
// a window without them.
func (r *Repeats) most() float64 {
	return max(1, repeatPart*float64(r.extra)/float64(max(1, r.members)))
}

// bucket returns a group's bucket with the repeats that time has brought.
func (r *Repeats) bucket(group string) *repeatBucket {
	if r.groups == nil {
		r.groups = map[string]*repeatBucket{}
	}
	now := time.Now()
	b := r.groups[group]
	if b == nil {
		b = &repeatBucket{last: now}
		r.groups[group] = b
	}
	if r.window > 0 {
		b.tokens = min(b.tokens+r.most()*now.Sub(b.last).Seconds()/r.window.Seconds(), max(b.tokens, r.most()))
	}
	b.last = now
	return b
}
