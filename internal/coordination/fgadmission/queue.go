package fgadmission

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxWaiting bounds the requests that wait in a group.
	maxWaiting = 128
	// maxWait bounds how long a request waits.
	maxWait = time.Second
	// expiryMargin is the time after the longest wait at which a request leaves the queue
	// even if it was not tried.
	expiryMargin = 50 * time.Millisecond
	// maxTries is how many waiting requests of a group are tried when there may be room.
	maxTries = 16
	// wakeInterval is the interval at which waiting requests are tried, as loads also fall
	// by their age, and minWakeInterval the shortest time between two rounds.
	wakeInterval    = 20 * time.Millisecond
	minWakeInterval = 2 * time.Millisecond
)

// Outcome is what became of a waiting request when it was tried.
type Outcome int

// The outcomes of a try.
const (
	// Waits means that the request waits on.
	Waits Outcome = iota
	// Placed means that it has an upstream.
	Placed
	// Refused means that it can't get an upstream in time.
	Refused
	// Ended means that it need not wait, for another reason.
	Ended
)

// waiter is a waiting request.
type waiter struct {
	attempt *Attempt
	bytes   int64
	// try tries to place the request.
	try func() Outcome
	// ended is closed when the request waits no longer.
	ended chan struct{}

	mu    sync.Mutex
	isEnd bool
	// refused is the refusal of a request that the queue itself ended.
	refused error
}

// finish ends the wait unless it has ended. mu is held.
func (w *waiter) finish(refused error) {
	if !w.isEnd {
		w.isEnd, w.refused = true, refused
		close(w.ended)
	}
}

// compare orders waiting requests by urgency and time left.
func (a *Attempt) compare(b *Attempt) int {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority - b.request.Priority
	}
	return a.request.due().Compare(b.request.due())
}

// due returns when the response must be there to be in time.
func (r Request) due() time.Time {
	if due := r.Start.Add(r.Objective); r.Objective > 0 && due.Before(r.Deadline) {
		return due
	}
	return r.Deadline
}

// queue holds the waiting requests of a group in order.
type queue struct {
	waiters []*waiter
	bytes   int64
}

// ahead returns how many waiting requests go before a request.
func (q *queue) ahead(a *Attempt) int {
	i := slices.IndexFunc(q.waiters, func(w *waiter) bool { return w.attempt == a || w.attempt.compare(a) > 0 })
	if i < 0 {
		return len(q.waiters)
	}
	return i
}

func (q *queue) add(w *waiter) {
	q.waiters = slices.Insert(q.waiters, q.ahead(w.attempt), w)
	q.bytes += w.bytes
}

func (q *queue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		q.bytes -= w.bytes
	}
}

// isFull reports whether no further request can wait.
func (c *Controller) isFull(q *queue) bool {
	return c.stopped || len(q.waiters) >= maxWaiting || c.maxBytes > 0 && q.bytes >= c.maxBytes
}

// SetMaxBytes bounds the bytes of the bodies of waiting requests in each group. Zero means
// no bound.
func (c *Controller) SetMaxBytes(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxBytes = n
}

// Wait blocks a request of a number of bytes, about which wait was decided, until try has
// placed it, or has found that it need not wait on. try is called by one goroutine at a
// time, when there may be room and the requests before it were tried. Wait returns a Refuse
// if the request must leave the queue for another reason, and the error of ctx if its caller
// has left.
func (c *Controller) Wait(ctx context.Context, a *Attempt, wait Wait, bytes int64, try func() Outcome) error {
	w := &waiter{attempt: a, bytes: bytes, try: try, ended: make(chan struct{})}
	c.mu.Lock()
	g := c.group(a.request.Group, time.Now())
	switch {
	case c.stopped:
		c.mu.Unlock()
		return Refuse{Cause: Stopped, RetryAfter: minRetryAfter}
	case c.isFull(&g.queue), c.maxBytes > 0 && g.queue.bytes+bytes > c.maxBytes:
		c.mu.Unlock()
		return Refuse{Cause: QueueFull, RetryAfter: a.RetryAfter()}
	}
	g.queue.add(w)
	a.waits = true
	c.mu.Unlock()
	c.Wake()
	// Usually a try refuses the request before.
	timer := time.NewTimer(min(wait.Longest, maxWait) + expiryMargin)
	defer timer.Stop()
	var refused error
	select {
	case <-w.ended:
	case <-ctx.Done():
		refused = ctx.Err()
	case <-timer.C:
		refused = Refuse{Cause: Expired, RetryAfter: minRetryAfter}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(refused)
	c.mu.Lock()
	defer c.mu.Unlock()
	g.queue.remove(w)
	a.waits = false
	return w.refused
}

// Wake lets the waiting requests be tried.
func (c *Controller) Wake() {
	select {
	case c.wakeups() <- struct{}{}:
	default:
	}
}

func (c *Controller) wakeups() chan struct{} {
	c.once.Do(func() { c.wake = make(chan struct{}, 1) })
	return c.wake
}

// Run tries waiting requests when there may be room, until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		var tick <-chan time.Time
		if c.waiting() > 0 {
			tick = time.After(wakeInterval)
		}
		select {
		case <-ctx.Done():
			c.Stop()
			return ctx.Err()
		case <-c.wakeups():
		case <-tick:
		}
		c.tryAll()
		select {
		case <-ctx.Done():
		case <-time.After(minWakeInterval):
		}
	}
}

// Stop lets no further requests wait, and refuses those that wait, which have not run.
func (c *Controller) Stop() {
	c.mu.Lock()
	c.stopped = true
	var all []*waiter
	for _, g := range c.groups {
		all = append(all, g.queue.waiters...)
	}
	c.mu.Unlock()
	for _, w := range all {
		w.mu.Lock()
		w.finish(Refuse{Cause: Stopped, RetryAfter: minRetryAfter})
		w.mu.Unlock()
	}
}

// waiting returns the number of waiting requests.
func (c *Controller) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, g := range c.groups {
		n += len(g.queue.waiters)
	}
	return n
}

// tryAll tries the first waiting requests of each group.
func (c *Controller) tryAll() {
	c.mu.Lock()
	var first []*waiter
	for _, g := range c.groups {
		first = append(first, g.queue.waiters[:min(len(g.queue.waiters), maxTries)]...)
	}
	c.mu.Unlock()
	for _, w := range first {
		w.tryOnce()
	}
}

// tryOnce tries a waiting request unless its wait has ended.
func (w *waiter) tryOnce() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isEnd {
		return
	}
	outcome := w.try()
	if outcome == Waits {
		return
	}
	w.finish(nil)
	c, now := w.attempt.controller, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(w.attempt.request.Group, now)
	g.queue.remove(w)
	switch outcome {
	case Placed:
		g.waitPlaced.add(now, recentHalfLife, 1)
	case Refused:
		g.waitRefused.add(now, recentHalfLife, 1)
	case Waits, Ended:
	}
}
