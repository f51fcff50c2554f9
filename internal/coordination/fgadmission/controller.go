package fgadmission

import (
	"slices"
	"strings"
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
	// sharedGroups means that the Controller decides about shared groups.
	sharedGroups bool
	// upstreams holds the number of upstreams of each group.
	upstreams map[string]int
	groups    map[string]*group
	// maxBytes bounds the bodies of waiting requests in a group.
	maxBytes int64
	stopped  bool
	// peers are the other gateways of the zone where requests wait, by VM.
	peers map[string]peer

	once sync.Once
	wake chan struct{}
}

// Update applies a view. Its policy tells which groups are shared by routes of different
// priority.
func (c *Controller) Update(v *fgsteer.View) {
	priorities, shared, upstreams := map[string]int{}, map[string]bool{}, map[string]int{}
	for name, all := range v.Groups() {
		upstreams[name] = len(all)
	}
	var routes []fgsteer.RouteSpec
	if p := v.Policy(); p != nil {
		routes = p.Routes()
	}
	for _, r := range routes {
		for _, w := range r.Groups {
			if first, ok := priorities[w.Group]; ok && first != r.Priority {
				shared[w.Group] = true
			}
			priorities[w.Group] = r.Priority
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shared, c.upstreams = shared, upstreams
	c.Wake()
}

// SetSharedGroups sets whether the Controller decides about groups that routes of different
// priority share.
func (c *Controller) SetSharedGroups(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharedGroups = on
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
	c.wakeGroup(g)
}

// wakeGroup lets the waiting requests of a group be tried.
func (c *Controller) wakeGroup(g *group) {
	if len(g.queue.waiters) > 0 {
		c.Wake()
	}
}

// enabled reports whether the Controller decides about the requests of a group: its
// upstreams tell their slowdown, or routes of different priority share it and
// SetSharedGroups is on. c.mu is held.
func (c *Controller) enabled(groupName string, now time.Time) bool {
	if c.sharedGroups && c.shared[groupName] {
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

// GroupState is what lately happened in a group about which the Controller decides.
type GroupState struct {
	Group string
	// Pressure is the part of the requests that found no room at first.
	Pressure float64
	// MeanLoad is the mean load per slot that upstreams reported, and zero if none did.
	MeanLoad float64
	// RoomRate is the rate per second at which requests found room.
	RoomRate float64
	Waiting  int
	// Refused holds the rates per second at which requests found no room at all, by
	// priority.
	Refused map[int]float64
}

// Groups returns the states of all groups, ordered by name.
func (c *Controller) Groups() []GroupState {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []GroupState
	for name, g := range c.groups {
		if !c.enabled(name, now) {
			continue
		}
		age := now.Sub(g.since)
		s := GroupState{Group: name, MeanLoad: g.meanLoad(now), Waiting: len(g.queue.waiters), Refused: map[int]float64{}}
		s.RoomRate = perSecond(g.ended.get(now, recentHalfLife), recentHalfLife, age)
		demand := 0.0
		for priority, k := range g.kinds {
			demand += k.demand.get(now, recentHalfLife)
			s.Refused[priority] = perSecond(k.blocked.get(now, recentHalfLife), recentHalfLife, age)
		}
		if demand >= minDemand {
			s.Pressure = min(1, g.noRoom.get(now, recentHalfLife)/demand)
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b GroupState) int { return strings.Compare(a.Group, b.Group) })
	return states
}

// SendEnded records that a send to an upstream of the group ended, which makes room.
func (c *Controller) SendEnded(groupName string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.groups[groupName]; g != nil {
		g.ended.add(now, recentHalfLife, 1)
		c.wakeGroup(g)
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
