package fghedge

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

func testRequest() Request {
	return Request{Group: "g", Route: "r", Idempotent: true, Sends: 1, MaxAttempts: 2, Deadline: epoch.Add(time.Second)}
}

// Guards against second sends that may run a request more often than it allows, go to an
// upstream that can't take them, or end after the deadline.
func TestAccepts(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Request, *Candidate)
		// other and anywhere are the results in the two steps of Zones.
		other, anywhere bool
	}{
		{"free upstream", func(*Request, *Candidate) {}, true, true},
		{"not idempotent", func(r *Request, _ *Candidate) { r.Idempotent = false }, false, false},
		{"suspected", func(r *Request, _ *Candidate) { r.Suspected = true }, false, false},
		{"one attempt", func(r *Request, _ *Candidate) { r.MaxAttempts = 1 }, false, false},
		{"no attempt left", func(r *Request, _ *Candidate) { r.Sends = 2 }, false, false},
		{"no free slot", func(_ *Request, c *Candidate) { c.LoadPerSlot = 1 }, false, false},
		{"load unknown", func(_ *Request, c *Candidate) { c.Known = false }, false, false},
		{"own load", func(_ *Request, c *Candidate) { c.Known, c.Own = false, true }, true, true},
		{"own load, no free slot", func(_ *Request, c *Candidate) { c.Known, c.Own, c.LoadPerSlot = false, true, 1.2 }, false, false},
		{"same VM", func(_ *Request, c *Candidate) { c.SameVM = true }, false, false},
		{"same zone", func(_ *Request, c *Candidate) { c.SameZone = true }, false, true},
		{"restricted", func(_ *Request, c *Candidate) { c.Restricted = true }, false, false},
		{"after the deadline", func(_ *Request, c *Candidate) { c.Expected = time.Second }, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, c := testRequest(), Candidate{LoadPerSlot: 0.9, Known: true, Expected: 100 * time.Millisecond}
			tt.change(&r, &c)
			if other, anywhere := Accepts(r, c, OtherZones, epoch), Accepts(r, c, AnyZone, epoch); other != tt.other || anywhere != tt.anywhere {
				t.Errorf("got %v, then %v; want %v, then %v", other, anywhere, tt.other, tt.anywhere)
			}
		})
	}
}

// Guards against more second sends than the operators allow, also after a time without
// any, and against groups that use each other's.
func TestLimit(t *testing.T) {
	tests := []struct {
		limit    float64
		requests int
		want     int
	}{
		{0, 1000, 0}, {0.01, 99, 0}, {0.05, 21, 1}, {0.2, 10, 2}, {0.2, 1000, burst}, {5, 6, 1},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.limit, tt.requests), func(t *testing.T) {
			var c Controller
			c.SetLimit(tt.limit)
			for range tt.requests {
				c.CountRequest("g")
			}
			taken := 0
			for c.Take("g") {
				taken++
			}
			if taken != tt.want || c.Take("other") {
				t.Errorf("took %d, want %d, and none of another group", taken, tt.want)
			}
			c.Refund("g")
			if got := c.Take("g"); got != (tt.limit > 0) {
				t.Errorf("after a refund, got %v", got)
			}
		})
	}
}

// Guards against second sends before the percentile is known or below the floor, a
// percentile that does not follow slower and faster upstreams, and memory that grows with
// the number of routes.
func TestDelay(t *testing.T) {
	var c Controller
	c.SetLimit(0.1)
	now := epoch
	r := testRequest()
	record := func(n int, slow, usual time.Duration) {
		for i := range n {
			now = now.Add(50 * time.Millisecond)
			took := usual
			if i%10 == 0 {
				took = slow
			}
			c.Record(r, took, now)
		}
	}
	check := func(name string, low, high time.Duration) {
		t.Helper()
		now = now.Add(refreshInterval)
		r.Deadline = now.Add(time.Minute)
		if d, ok := c.Plan(r, now); ok != (high > 0) || ok && (d < low || d > high) {
			t.Errorf("%s: got %v %v, want %v to %v", name, d, ok, low, high)
		}
	}
	record(minSamples-1, 400*time.Millisecond, 100*time.Millisecond)
	check("too few samples", 0, 0)
	record(100, 400*time.Millisecond, 100*time.Millisecond)
	check("usual", 395*time.Millisecond, 410*time.Millisecond)
	record(400, 2*time.Second, 500*time.Millisecond)
	check("slower", 1980*time.Millisecond, 2050*time.Millisecond)
	record(600, time.Millisecond, time.Millisecond)
	check("below the floor", minDelay, minDelay)
	now = now.Add(windows * windowLength)
	check("no requests for a while", 0, 0)
	for i := range 2 * maxTimes {
		other := r
		other.Route = fmt.Sprint(i)
		c.Record(other, time.Second, now)
	}
	if n := len(c.times); n > maxTimes {
		t.Errorf("times of %d routes are kept, want at most %d", n, maxTimes)
	}
	record(100, 400*time.Millisecond, 100*time.Millisecond)
	r.Deadline = now.Add(300 * time.Millisecond)
	if d, ok := c.Plan(r, now); ok {
		t.Errorf("got a second send after %v, which is after the deadline", d)
	}
	r.Deadline = now.Add(time.Minute)
	c.SetLimit(0)
	if d, ok := c.Plan(r, now); ok || c.Enabled() {
		t.Errorf("got a second send after %v with the limit 0", d)
	}
}
