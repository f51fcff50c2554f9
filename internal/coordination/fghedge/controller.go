// Package fghedge decides about second sends: when an idempotent request is sent to another
// upstream beside the first one because the first is slower than usual (request hedging),
// whether the operators' limit allows it, and which upstream gets it. It does no I/O and
// reads no clock.
package fghedge

import (
	"sync"
	"time"
)

const (
	// MaxLimit is the largest part of extra requests that operators may allow. The fleet's
	// retry budget has the same ratio.
	MaxLimit = 0.2
	// burst is how many second sends a group may save up. Slow upstreams make several
	// requests slow together.
	burst = 3
	// wholeToken is the sum of parts that counts as one, since sums of fractions are rounded.
	wholeToken = 1 - 1e-9
)

// Controller holds, for each group, how many second sends the limit still allows, and how
// long responses take. It is safe for concurrent use. The zero value allows none.
type Controller struct {
	mu     sync.Mutex
	limit  float64
	tokens map[string]float64
	times  map[timesKey]*responseTimes
}

// SetLimit sets how many second sends are allowed, as a part of the requests of a group.
// Zero means none.
func (c *Controller) SetLimit(fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = min(max(0, fraction), MaxLimit)
}

// Enabled reports whether second sends are allowed.
func (c *Controller) Enabled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit > 0
}

// CountRequest counts a request of a group, which adds to the second sends available.
func (c *Controller) CountRequest(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == 0 {
		return
	}
	if c.tokens == nil {
		c.tokens = map[string]float64{}
	}
	c.tokens[group] = min(c.tokens[group]+c.limit, burst)
}

// Take takes a second send of a group, if the limit allows one.
func (c *Controller) Take(group string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == 0 || c.tokens[group] < wholeToken {
		return false
	}
	c.tokens[group]--
	return true
}

// Refund gives back a second send that was taken and not used.
func (c *Controller) Refund(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 {
		c.tokens[group] = min(c.tokens[group]+1, burst)
	}
}

// Record records how long the first send of a request took until its response was whole.
// For one that was abandoned, it is the time until then: the percentile depends only on
// how many responses take longer than it.
func (c *Controller) Record(r Request, took time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == 0 || !r.eligible() {
		return
	}
	if t := c.timesOf(timesKey{r.Group, r.Route}, now); t != nil {
		t.record(took, now)
	}
}

// Plan returns the time from the first send to the second one of a request. It returns
// false if the request gets none, whatever happens.
func (c *Controller) Plan(r Request, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == 0 || !r.eligible() {
		return 0, false
	}
	t := c.times[timesKey{r.Group, r.Route}]
	if t == nil {
		return 0, false
	}
	delay, ok := t.delay(now)
	return delay, ok && now.Add(delay).Before(r.Deadline)
}
