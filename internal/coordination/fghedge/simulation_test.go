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
	// limit is the operators' limit. It does not hold for tied sends.
	limit float64
	// fixed is the factor of the mean response time after which the second send follows.
	// Zero means the percentile of the Controller.
	fixed float64
	// tied means that the second send follows after two one-way delays, and that the one
	// that starts to run cancels the other.
	tied, never bool
	// unguarded means that the candidate's load is not regarded.
	unguarded bool
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
	seed       uint64
	controller Controller
	upstreams  []*simUpstream

	mu                sync.Mutex
	mean              float64
	times             []time.Duration
	useful, extra     time.Duration
	seconds, roomless int
}

// simulate runs a policy at an offered load, as a part of the slots.
func simulate(policy simPolicy, load float64, seed uint64) simResult {
	s := &simulation{policy: policy, seed: seed}
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
	arrivals := rand.New(rand.NewPCG(seed, 2))
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
	random := rand.New(rand.NewPCG(s.seed<<32, uint64(i)))
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
		// Otherwise both would start at the same time at idle upstreams, and cancel each other.
		timer = time.After(2 * simOneWay)
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
	if s.policy.tied {
		s.count(i, &s.seconds)
		return true
	}
	if !s.controller.Take("g") {
		return false
	}
	c := Candidate{LoadPerSlot: float64(u.reported.Load()) / simSlots, Known: true}
	if s.policy.unguarded {
		c.LoadPerSlot = 0
	}
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

// simulateSeeds returns the means of simulate over several seeds.
func simulateSeeds(t *testing.T, policy simPolicy, load float64) simResult {
	const seeds = 4
	var sum simResult
	for seed := range uint64(seeds) {
		synctest.Test(t, func(*testing.T) {
			r := simulate(policy, load, seed)
			sum.p50, sum.p95, sum.p99 = sum.p50+r.p50/seeds, sum.p95+r.p95/seeds, sum.p99+r.p99/seeds
			sum.inTime, sum.seconds, sum.roomless = sum.inTime+r.inTime/seeds, sum.seconds+r.seconds/seeds, sum.roomless+r.roomless/seeds
			sum.extraWork += r.extraWork / seeds
		})
	}
	t.Logf("| %.2f | %s | %d | %d | %d | %.3f | %.3f | %.3f | %.3f |", load, policy.name,
		sum.p50.Milliseconds(), sum.p95.Milliseconds(), sum.p99.Milliseconds(), sum.inTime, sum.seconds, sum.roomless, sum.extraWork)
	return sum
}

// Guards against second sends that do not shorten the tail while there is room, that take
// more than the limit, or that go on in a group that is too loaded for them.
func TestPoliciesSideBySide(t *testing.T) {
	const limit = 0.05
	none, percentile := simPolicy{name: "none", never: true}, simPolicy{name: "percentile", limit: limit}
	others := []simPolicy{
		{name: "fixed factor 3", limit: limit, fixed: 3},
		{name: "tied", tied: true},
		{name: "percentile, load not regarded", limit: limit, unguarded: true},
		{name: "percentile, limit 0.2, load not regarded", limit: MaxLimit, unguarded: true},
	}
	loads := []float64{0.3, 0.6, 0.9}
	if testing.Verbose() {
		loads = []float64{0.3, 0.5, 0.6, 0.65, 0.7, 0.75, 0.8, 0.9, 1.1}
	}
	for _, load := range loads {
		before, r := simulateSeeds(t, none, load), simulateSeeds(t, percentile, load)
		if testing.Verbose() {
			for _, p := range others {
				simulateSeeds(t, p, load)
			}
		}
		if r.seconds > limit+burst/float64(simRequests-simWarmup) {
			t.Errorf("load %.2f: second sends are %.4f of the requests, want at most %.2f", load, r.seconds, limit)
		}
		// The second send begins at the 95th percentile, so that it hardly changes that one.
		if load <= 0.6 && (r.p99 > before.p99*97/100 || r.p95 > before.p95*103/100) {
			t.Errorf("load %.2f: p95 and p99 are %v and %v, without second sends %v and %v", load, r.p95, r.p99, before.p95, before.p99)
		}
		if load >= 0.9 && (r.seconds > 0.01 || r.p50 > before.p50*105/100) {
			t.Errorf("load %.2f: %.3f second sends, p50 %v; want below 0.01, and %v as without them", load, r.seconds, r.p50, before.p50)
		}
	}
}
