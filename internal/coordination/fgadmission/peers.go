package fgadmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerTimeout is how long a report of another gateway counts. States are sent every 0.2
	// to 0.6 s and may be lost.
	peerTimeout = 1500 * time.Millisecond
	// candidatesPerRequest is the number of upstreams that a request may wait for.
	candidatesPerRequest = 2
	// maxWaitingGroups bounds the groups in a report.
	maxWaitingGroups = 8
)

// GroupWaiting reports how many requests of a group wait at a gateway.
type GroupWaiting struct {
	// Group is the hash of the group's name.
	Group uint32
	Count int
}

// peer is the last report of another gateway of the zone.
type peer struct {
	at      time.Time
	waiting []GroupWaiting
}

// Waiting returns the groups in which most requests wait at this gateway, to report to the
// other gateways of the zone.
func (c *Controller) Waiting() []GroupWaiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waiting []GroupWaiting
	for name, g := range c.groups {
		if n := len(g.queue.waiters); n > 0 {
			waiting = append(waiting, GroupWaiting{Group: GroupHash(name), Count: n})
		}
	}
	slices.SortFunc(waiting, func(a, b GroupWaiting) int { return cmp.Compare(b.Count, a.Count) })
	return waiting[:min(len(waiting), maxWaitingGroups)]
}

// RecordPeer records the report of another gateway of the zone.
func (c *Controller) RecordPeer(vm string, waiting []GroupWaiting) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.peers {
		if now.Sub(p.at) > peerTimeout {
			delete(c.peers, name)
		}
	}
	if len(waiting) == 0 {
		delete(c.peers, vm)
		return
	}
	if c.peers == nil {
		c.peers = map[string]peer{}
	}
	c.peers[vm] = peer{at: now, waiting: waiting[:min(len(waiting), maxWaitingGroups)]}
}

// Contenders returns the number of requests that probably wait for the same upstream of a
// group, one of this gateway included.
func (c *Controller) Contenders(groupName string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contenders(groupName, time.Now())
}

// contenders returns the number of requests that probably wait for the same upstream of a
// group as one at this gateway, this one included. Requests at other gateways wait for
// other candidates: counting each gateway as a contender placed half as many waiting
// requests in replays, with as many rejected by upstreams. c.mu is held.
func (c *Controller) contenders(groupName string, now time.Time) float64 {
	n, h := 0, GroupHash(groupName)
	for _, p := range c.peers {
		if now.Sub(p.at) > peerTimeout {
			continue
		}
		for _, w := range p.waiting {
			if w.Group == h {
				n += w.Count
			}
		}
	}
	return 1 + float64(n*candidatesPerRequest)/float64(max(1, c.upstreams[groupName]))
}

// GroupHash returns the hash by which reports name a group.
func GroupHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
