package fghedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// delayPercentile of the response times is the time after which a response is slower
	// than usual.
	delayPercentile = 95
	// minDelay is the shortest delay: below it, the time of the scheduler and the network
	// decides which response is slow.
	minDelay = 20 * time.Millisecond
	// Response times are kept for windows x windowLength. Upstreams that become slow change
	// within seconds, and gateways with 6 requests/s still have 100 samples.
	windows      = 4
	windowLength = 5 * time.Second
	// minSamples is the number of response times from which the percentile is used. Two of
	// 40 lie above it.
	minSamples = 40
	// refreshInterval is how often the percentile is computed.
	refreshInterval = 250 * time.Millisecond
	// Times are recorded in milliseconds with two significant digits, up to maxMillis. One
	// histogram takes 9 KiB.
	maxMillis         = 60_000
	significantDigits = 2
	// maxTimes bounds the memory of all histograms to 3 MiB.
	maxTimes = 64
)

// timesKey names whose response times are alike.
type timesKey struct{ group, route string }

// responseTimes are the recent response times of a route in a group.
type responseTimes struct {
	histogram *hdrhistogram.WindowedHistogram
	// started is when the current window began.
	started time.Time
	// refreshed is when cached was computed. usable means that there were enough samples.
	refreshed time.Time
	cached    time.Duration
	usable    bool
}

// timesOf returns the response times of a key. It returns nil if there are too many keys.
func (c *Controller) timesOf(key timesKey, now time.Time) *responseTimes {
	if t := c.times[key]; t != nil {
		return t
	}
	if c.times == nil {
		c.times = map[timesKey]*responseTimes{}
	}
	if len(c.times) >= maxTimes {
		// Drops what the policy no longer names.
		for k, t := range c.times {
			if now.Sub(t.started) > windows*windowLength {
				delete(c.times, k)
			}
		}
		if len(c.times) >= maxTimes {
			return nil
		}
	}
	t := &responseTimes{histogram: hdrhistogram.NewWindowed(windows, 1, maxMillis, significantDigits), started: now}
	c.times[key] = t
	return t
}

// rotate drops the windows that have passed.
func (t *responseTimes) rotate(now time.Time) {
	passed := int(now.Sub(t.started) / windowLength)
	if passed <= 0 {
		return
	}
	for range min(passed, windows) {
		t.histogram.Rotate()
	}
	t.started = t.started.Add(time.Duration(passed) * windowLength)
}

func (t *responseTimes) record(took time.Duration, now time.Time) {
	t.rotate(now)
	// Values within the range never fail.
	_ = t.histogram.Current.RecordValue(min(max(1, took.Milliseconds()), maxMillis))
}

// delay returns the percentile. It returns false if there are too few samples.
func (t *responseTimes) delay(now time.Time) (time.Duration, bool) {
	if !t.refreshed.IsZero() && now.Sub(t.refreshed) < refreshInterval {
		return t.cached, t.usable
	}
	t.rotate(now)
	merged := t.histogram.Merge()
	t.refreshed, t.usable = now, merged.TotalCount() >= minSamples
	t.cached = max(time.Duration(merged.ValueAtPercentile(delayPercentile))*time.Millisecond, minDelay)
	return t.cached, t.usable
}
