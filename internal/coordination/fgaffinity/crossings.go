package fgaffinity

import (
	"math"
	"sync"
	"time"
)

const (
	// crossingPart is the part of the requests with a key that may run in another region
	// than that of their first candidate because that one is full or slow. Weights move the
	// rest, slowly.
	crossingPart = 0.06
	// maxCrossings is how many such requests may follow each other. Small gateways get ten
	// requests a second, and two more would be a tenth of what the bound covers.
	maxCrossings = 1
	// remoteWindow is the time constant of the average demand for other regions.
	remoteWindow = time.Second
	// maxRemoteRate is the largest change per second of the part of the requests without a
	// key that run in other regions, and remoteMargin how far the part may be from that
	// level: together at most 0.15 in two seconds.
	maxRemoteRate = 0.03
	remoteMargin  = 0.025
)

// crossings bounds the requests with a key that leave the region of their first candidate at
// once. All keys of a region that suddenly fills up would else run in others within a
// second, and return as suddenly. The zero value allows the first crossing after some
// requests.
type crossings struct {
	mu     sync.Mutex
	tokens float64
}

// allowed reports whether a request may leave its region.
func (c *crossings) allowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens >= 1-crossingPart
}

// record records a request and whether it left its region.
func (c *crossings) record(crosses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += crossingPart
	if crosses {
		c.tokens--
	}
	c.tokens = min(c.tokens, maxCrossings)
}

// remotePart keeps the part of the requests without a key that run in other regions near a
// level that follows the demand slowly in both directions. The zero value is ready to use.
type remotePart struct {
	mu sync.Mutex
	// demand is the average part of the requests that ran in other regions or found no
	// room, level what may run there now.
	demand, level float64
	last          int64
	// spent is how many requests above the upper limit have run in other regions, owed how
	// many below the lower limit.
	spent, owed float64
}

// limits reports whether the next request may run in another region, and whether it has to.
func (p *remotePart) limits() (allowed, required bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spent <= 0, p.owed >= 1
}

// record records whether a request ran in another region or was refused because it had no
// room in its own.
func (p *remotePart) record(remote, refused bool, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, demanded := 0.0, 0.0
	if remote {
		x = 1
	}
	if remote || refused {
		demanded = 1
	}
	elapsed := min(now-p.last, int64(time.Second))
	p.last = now
	p.demand += (1 - math.Exp(-float64(elapsed)/float64(remoteWindow))) * (demanded - p.demand)
	step := maxRemoteRate * time.Duration(elapsed).Seconds()
	p.level = min(p.level+step, max(p.level-step, p.demand))
	p.spent = max(-1, p.spent+x-p.level-remoteMargin)
	if !refused {
		p.owed = min(max(0, p.owed+p.level-remoteMargin-x), 1)
	}
}
