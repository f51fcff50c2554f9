package fgplacement

import (
	"sync"
	"time"
)

const (
	// retryPart is the number of requests that allow one retry.
	retryPart = 10
	// retryMinimum is the number of retries in a budget window that a VM may
	// make however few requests it gets.
	retryMinimum = 3
	// budgetSeconds is the length of the window of recent requests.
	budgetSeconds = 10
)

// retryBudget counts requests and retries of the last budgetSeconds.
type retryBudget struct {
	mu       sync.Mutex
	second   int64
	requests counter
	retries  counter
}

// counter counts events by second.
type counter struct {
	total   int64
	seconds [budgetSeconds]int64
}

func (c *counter) add(second int64) {
	c.seconds[second%budgetSeconds]++
	c.total++
}

func (c *counter) expire(second int64) {
	c.total -= c.seconds[second%budgetSeconds]
	c.seconds[second%budgetSeconds] = 0
}

// advance forgets what lies before the window.
func (b *retryBudget) advance(now instant) {
	second := int64(now) / int64(time.Second)
	b.second = max(b.second, second-budgetSeconds)
	for b.second < second {
		b.second++
		b.requests.expire(b.second)
		b.retries.expire(b.second)
	}
}

func (b *retryBudget) addRequest(now instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests.add(b.second)
}

func (b *retryBudget) spend(now instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.retries.total >= max(retryMinimum, b.requests.total/retryPart) {
		return false
	}
	b.retries.add(b.second)
	return true
}
