package fgplacement

import (
	"sync"
	"time"
)

const (
	// requestsPerRetry is the number of recent requests that allow one retry.
	requestsPerRetry = 10
	// minRetries is the number of retries per window that a VM may make even
	// if it has few requests.
	minRetries = 3
	// budgetWindowSeconds is the length of the sliding window.
	budgetWindowSeconds = 10
)

// retryBudget counts the requests and retries of the last
// budgetWindowSeconds.
type retryBudget struct {
	mu       sync.Mutex
	second   int64
	requests counter
	retries  counter
}

// counter counts events per second in a ring buffer.
type counter struct {
	total     int64
	perSecond [budgetWindowSeconds]int64
}

func (c *counter) add(second int64) {
	c.perSecond[second%budgetWindowSeconds]++
	c.total++
}

func (c *counter) expire(second int64) {
	c.total -= c.perSecond[second%budgetWindowSeconds]
	c.perSecond[second%budgetWindowSeconds] = 0
}

// advance moves the window to the given time and drops older counts.
func (b *retryBudget) advance(now instant) {
	second := int64(now) / int64(time.Second)
	b.second = max(b.second, second-budgetWindowSeconds)
	for b.second < second {
		b.second++
		b.requests.expire(b.second)
		b.retries.expire(b.second)
	}
}

func (b *retryBudget) countRequest(now instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests.add(b.second)
}

func (b *retryBudget) take(now instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.retries.total >= max(minRetries, b.requests.total/requestsPerRetry) {
		return false
	}
	b.retries.add(b.second)
	return true
}
