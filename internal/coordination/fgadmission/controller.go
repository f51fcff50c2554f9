package fgadmission

import (
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// slowdownRetention is how long a group counts as one whose upstreams tell their slowdown
// after a response that told one.
const slowdownRetention = 30 * time.Second

// Controller decides about the requests of all groups at one gateway. The zero value
// decides about none. It is safe for concurrent use.
type Controller struct {
	mu sync.Mutex
	// shared holds the groups that routes of different priority share.
	shared map[string]bool
	groups map[string]*group
}

// SetPolicy applies a policy: it tells which groups are shared by routes of different
// priority.
func (c *Controller) SetPolicy(p *fgsteer.Policy) {
	priorities, shared := map[string]int{}, map[string]bool{}
	for _, r := range p.Routes() {
		for _, w := range r.Groups {
			if first, ok := priorities[w.Group]; ok && first != r.Priority {
				shared[w.Group] = true
			}
			priorities[w.Group] = r.Priority
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shared = shared
}

// RecordLoad records the load per slot and the slowdown that an upstream of a group told.
// A slowdown of zero means that it told none.
func (c *Controller) RecordLoad(groupName string, perSlot, slowdown float64) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if slowdown <= 0 && !c.enabled(groupName, now) {
		return
	}
	g := c.group(groupName, now)
	g.load.add(now, loadHalfLife, perSlot)
	g.reports.add(now, loadHalfLife, 1)
	if slowdown > 0 {
		g.slowdownTold = now
	}
}

// Enabled reports whether the Controller decides about the requests of a group: routes of
// different priority share it, or its upstreams tell their slowdown.
func (c *Controller) Enabled(groupName string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enabled(groupName, time.Now())
}

func (c *Controller) enabled(groupName string, now time.Time) bool {
	if c.shared[groupName] {
		return true
	}
	g := c.groups[groupName]
	return g != nil && !g.slowdownTold.IsZero() && now.Sub(g.slowdownTold) < slowdownRetention
}

// group returns the counts of a group. c.mu is held.
func (c *Controller) group(name string, now time.Time) *group {
	g := c.groups[name]
	if g == nil {
		if c.groups == nil {
			c.groups = map[string]*group{}
		}
		g = newGroup(now)
		c.groups[name] = g
	}
	return g
}

// SendEnded records that a send to an upstream of the group ended, which makes room.
func (c *Controller) SendEnded(groupName string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.groups[groupName]; g != nil {
		g.ended.add(now, recentHalfLife, 1)
	}
}

// Begin counts a request and returns its Attempt, or nil if the Controller does not decide
// about its group.
func (c *Controller) Begin(r Request) *Attempt {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.enabled(r.Group, now) {
		return nil
	}
	c.group(r.Group, now).each(r, now, func(f *flow) { f.demand.add(now, recentHalfLife, 1) })
	return &Attempt{controller: c, request: r}
}
