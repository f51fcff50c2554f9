package fgaffinity

import (
	"sync"
	"time"
)

// retryFraction is the fraction of the fleet's retry budget that is used. The rest
// covers requests whose arrival becomes known late.
const retryFraction = 0.45

// RetryBudget limits, for each group, how many requests this VM sends to another
// upstream after a send has failed. The limit is its share of a budget for all VMs.
type RetryBudget struct {
	mu sync.Mutex
	// ratio is the number of retries for each request. All VMs together may send
	// extra more in each window.
	ratio   float64
	extra   int
	window  time.Duration
	members int
	groups  map[string]*retryBucket
}

type retryBucket struct {
	tokens   float64
	refilled time.Time
}

// SetBounds sets the budget of the fleet: ratio retries for each request, and extra
// more in each window.
func (r *RetryBudget) SetBounds(ratio float64, extra int, window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio, r.extra, r.window = ratio, extra, window
}

// SetMembers sets the number of VMs that share the budget.
func (r *RetryBudget) SetMembers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = max(1, n)
}

// CountRequest counts a request of a group, which adds to the retries available.
func (r *RetryBudget) CountRequest(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(group)
	b.tokens = min(b.tokens+retryFraction*r.ratio, r.capacity())
}

// TakeRetry takes a retry from the budget of a group, if one is available.
func (r *RetryBudget) TakeRetry(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(group)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// capacity returns how many retries a bucket may hold. They may all be sent at once
// at the end of a window without retries.
func (r *RetryBudget) capacity() float64 {
	return max(1, retryFraction*float64(r.extra)/float64(max(1, r.members)))
}

// bucket returns a group's bucket after adding the retries for the time since the
// last call.
func (r *RetryBudget) bucket(group string) *retryBucket {
	if r.groups == nil {
		r.groups = map[string]*retryBucket{}
	}
	now := time.Now()
	b := r.groups[group]
	if b == nil {
		b = &retryBucket{refilled: now}
		r.groups[group] = b
	}
	if r.window > 0 {
		b.tokens = min(b.tokens+r.capacity()*now.Sub(b.refilled).Seconds()/r.window.Seconds(), max(b.tokens, r.capacity()))
	}
	b.refilled = now
	return b
}
