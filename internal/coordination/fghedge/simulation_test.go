package fghedge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	simUpstreams = 20
	simSlots     = 4
	simQueue     = 9
	simRequests  = 6000
	// simWarmup requests are not measured.
	simWarmup    = 1000
	simCold      = 410 * time.Millisecond
	simObjective = 400 * time.Millisecond
	simDeadline  = 2500 * time.Millisecond
	simOneWay    = 500 * time.Microsecond
	// simReport is the interval at which upstreams' loads become known.
	simReport = 300 * time.Millisecond
	// A run is warm with these probabilities at the first and the second candidate.
	simWarmFirst, simWarmSecond = 0.9, 0.3
	simWarmRatio                = 0.3
	simLongRuns, simLongFactor  = 0.03, 7
	simSlowPart, simSlowFactor  = 0.15, 2.5
	simSlowPeriod               = 600 * time.Millisecond
)

// simPolicy is a policy of second sends.
type simPolicy struct {
	name string
	// limit is the operators' limit. Zero means that no limit and no load is regarded.
	limit float64
	// fixed is the factor of the mean response time after which the second send follows.
	// Zero means the percentile of the Controller.
	fixed float64
	// tied means that both sends begin at once, and that the one that starts to run
	// cancels the other.
	tied, never bool
}

type simUpstream struct {
	index    int
	slots    chan struct{}
	load     atomic.Int64
	reported atomic.Int64
}

// run runs a request in order of arrival, unless the context ends before. It returns the
// time for which it ran, and whether it ran to its end.
func (u *simUpstream) run(ctx context.Context, run time.Duration, started func()) (time.Duration, bool) {
	time.Sleep(simOneWay)
	if u.load.Add(1) > simSlots+simQueue || ctx.Err() != nil {
		u.load.Add(-1)
		return 0, false
	}
	defer u.load.Add(-1)
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, false
	}
	defer func() { <-u.slots }()
	if ctx.Err() != nil {
		return 0, false
	}
	started()
	start := time.Now()
	if u.slow(start) {
		run = time.Duration(simSlowFactor * float64(run))
	}
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
		time.Sleep(simOneWay)
		return run, true
	case <-ctx.Done():
		return time.Since(start), false
	}
}

// slow reports whether the upstream's machine is one of those that are slow at a time.
func (u *simUpstream) slow(t time.Time) bool {
	period := t.UnixNano() / int64(simSlowPeriod)
	h := xxhash.Sum64([]byte{byte(u.index), byte(period), byte(period >> 8), byte(period >> 16)})
	return float64(h%1000) < simSlowPart*1000
}

// simResult is the result of a simulated policy at a load.
type simResult struct {
	p50, p95, p99 time.Duration
	// inTime, seconds and roomless are parts of all requests: those with a response within
	// the objective, with a second send, and with one refused for lack of room.
	inTime, seconds, roomless float64
	// extraWork is the work of cancelled runs as a part of that of all others.
	extraWork float64
}

type simulation struct {
	policy     simPolicy
	controller Controller
	upstreams  []*simUpstream

	mu                sync.Mutex
	mean              float64
	times             []time.Duration
	useful, extra     time.Duration
	seconds, roomless int
}

// simulate runs a policy at an offered load, as a part of the slots.
func simulate(policy simPolicy, load float64) simResult {
	s := &simulation{policy: policy}
	s.controller.SetLimit(policy.limit)
	for i := range simUpstreams {
		s.upstreams = append(s.upstreams, &simUpstream{index: i, slots: make(chan struct{}, simSlots)})
	}
	meanRun := float64(simCold) * (simWarmFirst*simWarmRatio + 1 - simWarmFirst) * (1 + simLongRuns*(simLongFactor-1)) * (1 + simSlowPart*(simSlowFactor-1))
	interval := meanRun / (load * simUpstreams * simSlots)
	ctx, cancel := context.WithCancel(context.Background())
	var reports, requests sync.WaitGroup
	reports.Go(func() {
		for ctx.Err() == nil {
			for _, u := range s.upstreams {
				u.reported.Store(u.load.Load())
			}
			time.Sleep(simReport)
		}
	})
	arrivals := rand.New(rand.NewPCG(1, 2))
	for i := range simRequests {
		time.Sleep(time.Duration(arrivals.ExpFloat64() * interval))
		requests.Go(func() { s.request(i) })
	}
	requests.Wait()
	cancel()
	reports.Wait()
	slices.Sort(s.times)
	at := func(p float64) time.Duration { return s.times[int(p*float64(len(s.times)-1))].Round(time.Millisecond) }
	late, _ := slices.BinarySearch(s.times, simObjective)
	n := float64(len(s.times))
	return simResult{at(0.5), at(0.95), at(0.99), float64(late) / n, float64(s.seconds) / n, float64(s.roomless) / n, float64(s.extra) / float64(s.useful)}
}

// simSend is the end of one send.
type simSend struct {
	second, ok bool
	ran        time.Duration
}

// request is one request, whose random values do not depend on the policy.
func (s *simulation) request(i int) {
	random := rand.New(rand.NewPCG(3, uint64(i)))
	first := s.upstreams[random.IntN(simUpstreams)]
	second := s.upstreams[(first.index+1+random.IntN(simUpstreams-1))%simUpstreams]
	runs := [2]time.Duration{simRun(random, simWarmFirst), simRun(random, simWarmSecond)}
	if first.reported.Load() >= simSlots*3/2 && second.reported.Load() < first.reported.Load() {
		first, second = second, first
		runs[0], runs[1] = runs[1], runs[0]
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), simDeadline)
	defer cancel()
	ended := make(chan simSend, 2)
	contexts, cancels := [2]context.Context{}, [2]context.CancelFunc{}
	for j := range contexts {
		contexts[j], cancels[j] = context.WithCancel(ctx)
		defer cancels[j]()
	}
	send := func(j int, u *simUpstream) {
		go func() {
			ran, ok := u.run(contexts[j], runs[j], func() {
				if s.policy.tied {
					time.AfterFunc(simOneWay, cancels[1-j])
				}
			})
			ended <- simSend{j == 1, ok, ran}
		}()
	}
	r := Request{Group: "g", Route: "r", Idempotent: true, Sends: 1, MaxAttempts: 2, Deadline: start.Add(simDeadline)}
	s.controller.CountRequest("g")
	send(0, first)
	inFlight := 1
	var timer <-chan time.Time
	if s.policy.tied {
		send(1, second)
		inFlight++
		s.count(i, &s.seconds)
	} else if delay, ok := s.delay(r); ok {
		timer = time.After(delay)
	}
	var took time.Duration
	var firstTook time.Duration
	for inFlight > 0 {
		select {
		case <-timer:
			if s.mayFollow(i, r, second) {
				send(1, second)
				inFlight++
			}
		case e := <-ended:
			inFlight--
			timer = nil
			if !e.second {
				firstTook = time.Since(start)
			}
			s.addWork(i, e.ran, e.ok && took == 0)
			if e.ok && took == 0 {
				took = time.Since(start)
				cancels[0]()
				cancels[1]()
			}
		}
	}
	if took == 0 {
		took = simDeadline
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mean += (float64(firstTook) - s.mean) / 32
	s.controller.Record(r, firstTook, time.Now())
	if i >= simWarmup {
		s.times = append(s.times, took)
	}
}

func simRun(random *rand.Rand, warm float64) time.Duration {
	run := float64(simCold)
	if random.Float64() < warm {
		run *= simWarmRatio
	}
	if random.Float64() < simLongRuns {
		run *= simLongFactor
	}
	return time.Duration(run)
}

// delay returns the time to the second send.
func (s *simulation) delay(r Request) (time.Duration, bool) {
	if s.policy.never {
		return 0, false
	}
	if s.policy.fixed == 0 {
		return s.controller.Plan(r, time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.policy.fixed * s.mean), s.mean > 0
}

// mayFollow reports whether the second send is due and allowed.
func (s *simulation) mayFollow(i int, r Request, u *simUpstream) bool {
	if !s.controller.Take("g") {
		return false
	}
	c := Candidate{LoadPerSlot: float64(u.reported.Load()) / simSlots, Known: true}
	if !Accepts(r, c, AnyZone, time.Now()) {
		s.controller.Refund("g")
		s.count(i, &s.roomless)
		return false
	}
	s.count(i, &s.seconds)
	return true
}

func (s *simulation) count(i int, n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i >= simWarmup {
		*n++
	}
}

func (s *simulation) addWork(i int, ran time.Duration, useful bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < simWarmup {
		return
	}
	if useful {
		s.useful += ran
	} else {
		s.extra += ran
	}
}

// Guards against second sends that do not shorten the tail while there is room, that take
// more than the limit, or that make a loaded group slower.
func TestPoliciesSideBySide(t *testing.T) {
	policies := []simPolicy{
		{name: "none", never: true},
		{name: "fixed factor 3", limit: 0.05, fixed: 3},
		{name: "percentile", limit: 0.05},
		{name: "percentile, limit 0.1", limit: 0.1},
		{name: "tied", tied: true},
	}
	for _, load := range []float64{0.3, 0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1} {
		results := map[string]simResult{}
		for _, p := range policies {
			synctest.Test(t, func(*testing.T) { results[p.name] = simulate(p, load) })
			r := results[p.name]
			t.Logf("load %.1f %-22s p50 %4d p95 %4d p99 %4d ms, in time %.3f, second sends %.3f, no room %.3f, extra work %.3f",
				load, p.name, r.p50.Milliseconds(), r.p95.Milliseconds(), r.p99.Milliseconds(), r.inTime, r.seconds, r.roomless, r.extraWork)
		}
	}
}
