package fgshare

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that runs can be repeated, and raises the
// number of checks and steps: the defaults did not detect a missing promise.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "2000", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

type storedLedger struct {
	revision uint64
	ledger   Ledger
}

type process struct {
	vm         string
	holder     *Holder
	terminated bool
}

type reductionMessage struct {
	Reduction
	rebalancer int
	revision   uint64
	promised   int64
}

type testRebalancer struct {
	base     storedLedger
	members  uint64
	target   Target
	promised map[string]int64
}

// fleet models holders and rebalancers without clocks: any message may be
// delayed, lost or duplicated.
type fleet struct {
	history     []storedLedger
	members     []map[string]string
	running     map[string]*process
	rebalancers [3]testRebalancer
	requests    []reductionMessage
	promises    []reductionMessage
}

const (
	limitName  = "limit"
	limitTotal = 10
)

func newFleet() *fleet {
	f := &fleet{history: []storedLedger{{}}, members: []map[string]string{{}}, running: map[string]*process{}}
	for i := range 4 {
		f.start(fmt.Sprint("vm", i))
	}
	return f
}

func (f *fleet) start(vm string) {
	name := fmt.Sprintf("%s-%d", vm, len(f.members))
	next := maps.Clone(f.members[len(f.members)-1])
	if old, ok := next[vm]; ok {
		f.running[old].terminated = true
	}
	next[vm] = name
	f.members = append(f.members, next)
	f.running[name] = &process{vm: vm, holder: NewHolder(name)}
}

func (f *fleet) terminated(rebalancer *testRebalancer) func(string) bool {
	return func(h string) bool {
		r, ok := rebalancer.base.ledger.Holders[h]
		return ok && rebalancer.members >= r.Members && f.members[rebalancer.members][r.VM] != h
	}
}

// startRound lets a rebalancer read a ledger and a member set, both possibly
// stale, and send its reductions.
func (f *fleet) startRound(t *rapid.T) {
	i := rapid.IntRange(0, len(f.rebalancers)-1).Draw(t, "keeper")
	rebalancer := &f.rebalancers[i]
	rebalancer.base = f.history[max(0, len(f.history)-rapid.IntRange(1, 3).Draw(t, "age"))]
	rebalancer.members = uint64(max(0, len(f.members)-rapid.IntRange(1, 2).Draw(t, "membersAge")))
	rebalancer.promised = map[string]int64{}
	units, remaining := map[string]int64{}, int64(limitTotal)
	for _, vm := range slices.Sorted(maps.Keys(f.members[rebalancer.members])) {
		n := rapid.Int64Range(0, remaining).Draw(t, "units")
		units[f.members[rebalancer.members][vm]] = n
		remaining -= n
	}
	rebalancer.target = NewTarget(limitTotal, 1, units)
	for _, reduction := range rebalancer.base.ledger.Limits[limitName].Reductions(limitName, rebalancer.target) {
		f.requests = append(f.requests, reductionMessage{Reduction: reduction, rebalancer: i, revision: rebalancer.base.revision})
	}
}

func (f *fleet) deliverRequest(t *rapid.T) {
	if len(f.requests) == 0 {
		return
	}
	m := rapid.SampledFrom(f.requests).Draw(t, "request")
	r := f.running[m.holder]
	if r.terminated || !r.holder.Promise(m.limit, m.units, m.revision) {
		return
	}
	m.promised = m.units
	f.promises = append(f.promises, m)
}

func (f *fleet) deliverPromise(t *rapid.T) {
	if len(f.promises) == 0 {
		return
	}
	m := rapid.SampledFrom(f.promises).Draw(t, "answer")
	if rebalancer := &f.rebalancers[m.rebalancer]; rebalancer.promised != nil && m.revision >= rebalancer.base.revision {
		rebalancer.promised[m.holder] = m.promised
	}
}

func (f *fleet) writeLedger(t *rapid.T) {
	rebalancer := &f.rebalancers[rapid.IntRange(0, len(f.rebalancers)-1).Draw(t, "keeper")]
	last := f.history[len(f.history)-1]
	if rebalancer.promised == nil || rebalancer.base.revision != last.revision {
		return
	}
	next := rebalancer.base.ledger.Limits[limitName].Next(rebalancer.target, rebalancer.promised, f.terminated(rebalancer))
	l := Ledger{Holders: map[string]Registration{}, Limits: map[string]Share{limitName: next}}
	for h := range next.Units {
		l.Holders[h] = Registration{VM: f.running[h].vm, Members: rebalancer.members}
		if old, ok := rebalancer.base.ledger.Holders[h]; ok {
			l.Holders[h] = old
		}
	}
	f.history = append(f.history, storedLedger{revision: last.revision + uint64(rapid.IntRange(1, 3).Draw(t, "step")), ledger: l})
}

func (f *fleet) deliverLedger(t *rapid.T) {
	name := rapid.SampledFrom(slices.Sorted(maps.Keys(f.running))).Draw(t, "holder")
	s := f.history[max(0, len(f.history)-rapid.IntRange(1, 3).Draw(t, "age"))]
	f.running[name].holder.Advance(s.revision, s.ledger)
}

func (f *fleet) checkUsableUnits(t *rapid.T) {
	var usable int64
	for _, r := range f.running {
		if !r.terminated {
			usable += r.holder.Units(limitName, limitTotal)
		}
	}
	if usable > limitTotal {
		t.Fatalf("holders can use %d of %d units", usable, limitTotal)
	}
	if err := f.history[len(f.history)-1].ledger.Check(); err != nil {
		t.Fatal(err)
	}
}

// Guards against overspending a limit because of stale or paused rebalancers,
// delayed or duplicated messages, or replaced processes.
func TestUsableUnitsNeverExceedTheLimit(t *testing.T) {
	var writes, promises int
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(map[string]func(*rapid.T){
			"begin": f.startRound, "request": f.deliverRequest, "answer": f.deliverPromise, "swap": f.writeLedger, "learn": f.deliverLedger,
			"learnAgain": f.deliverLedger, "swapAgain": f.writeLedger,
			"replace": func(t *rapid.T) {
				if len(f.members) < 12 {
					f.start(fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm")))
				}
			},
			"": f.checkUsableUnits,
		})
		writes += len(f.history) - 1
		promises += len(f.promises)
	})
	t.Logf("%d ledger writes, %d promises", writes, promises)
	if writes == 0 || promises == 0 {
		t.Error("no run wrote a ledger or gave a promise")
	}
}

// Guards against spending more than the burst plus the refill when tokens are
// lent while units move and processes are replaced.
func TestStoredAndLentTokensNeverExceedTheBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Rate(rapid.Int64Range(1, 200).Draw(t, "rate"), rapid.Int64Range(1, 30).Draw(t, "burst"))
		// The reference is one bucket with the whole limit. Whatever the fleet
		// spends must also be available there.
		var now time.Duration
		var reference Bucket
		reference.Resize(0, l, RateUnits)
		buckets := make([]Bucket, 4)
		free := RateUnits
		freeAt := make(map[int]time.Duration) // when units of a replaced process are reclaimed
		lost := make(map[int]int64)
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(buckets)-1).Draw(t, "bucket") }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(1, int64(300*time.Millisecond)).Draw(t, "wait"))
			},
			"raise": func(t *rapid.T) {
				i := pick(t)
				n := rapid.Int64Range(0, free).Draw(t, "units")
				free -= n
				buckets[i].Resize(now, l, buckets[i].Units()+n)
			},
			"lower": func(t *rapid.T) {
				i := pick(t)
				to := max(buckets[i].MinUnits(now), rapid.Int64Range(0, buckets[i].Units()).Draw(t, "units"))
				free += max(0, buckets[i].Units()-to)
				buckets[i].Resize(now, l, min(to, buckets[i].Units()))
			},
			"replace": func(t *rapid.T) {
				i := pick(t)
				if _, pending := freeAt[i]; pending {
					return
				}
				freeAt[i], lost[i] = now+LoanValidity, buckets[i].Units()
				buckets[i] = Bucket{}
			},
			"reclaim": func(t *rapid.T) {
				if i := pick(t); freeAt[i] > 0 && freeAt[i] <= now {
					free += lost[i]
					delete(freeAt, i)
				}
			},
			"borrow": func(t *rapid.T) {
				from, to, sent := pick(t), pick(t), now
				now += time.Duration(rapid.Int64Range(0, int64(250*time.Millisecond)).Draw(t, "delay"))
				amount := buckets[from].Lend(now, rapid.Int64Range(0, 5*Token).Draw(t, "amount"))
				now += time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "delay"))
				buckets[to].Receive(now, sent, amount)
			},
			"take": func(t *rapid.T) {
				taken := buckets[pick(t)].TakeUpTo(now, rapid.Int64Range(1, 10*Token).Draw(t, "amount"))
				// The reference rounds down by less than one thousandth in each
				// step.
				if missing := reference.Missing(now, taken); missing > 1 {
					t.Fatalf("the fleet spent %d thousandths of a token more than the limit", missing)
				}
				reference.TakeUpTo(now, taken)
			},
			"": func(t *rapid.T) {
				var held int64
				for i := range buckets {
					buckets[i].advance(now)
					held += buckets[i].stored + totalAmount(buckets[i].borrowed)
				}
				if held > l.Capacity(RateUnits) {
					t.Fatalf("the fleet holds %d thousandths of a token, the limit is %d", held, l.Capacity(RateUnits))
				}
			},
		})
	})
}

// Guards against losing refill to rounding when a bucket is called often.
func TestFrequentCallsLoseNoRefill(t *testing.T) {
	var b Bucket
	b.Resize(0, Rate(10, 5), 300)
	for now := time.Duration(0); now <= 400*time.Millisecond; now += 10 * time.Microsecond {
		b.Stored(now)
	}
	if got := b.Stored(400 * time.Millisecond); got != 1200 {
		t.Errorf("3 tokens/s over 400 ms gave %d thousandths of a token, want 1200", got)
	}
}

// Guards against creating tokens when the units of a share are raised.
func TestRaiseAddsNoTokens(t *testing.T) {
	var b Bucket
	b.Resize(0, Rate(10, 10), 100)
	b.Resize(time.Second, Rate(10, 10), 1000)
	if got := b.Stored(time.Second); got != Token {
		t.Errorf("the bucket holds %d after its units were raised, want %d", got, Token)
	}
}

// Guards against allocations on the request path.
func TestTakeAllocatesNothing(t *testing.T) {
	var b Bucket
	b.Resize(0, Rate(1000, 1000), RateUnits)
	now := time.Second
	if n := testing.AllocsPerRun(1000, func() { now += time.Millisecond; b.Take(now, Token) }); n != 0 {
		t.Errorf("Take allocates %v times", n)
	}
}

// Guards against a distribution that grants too much, starves an active
// holder, or gives to one holder what another demands.
func TestDistribute(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	t.Log("seed 7,7")
	for range 2000 {
		l := Rate(100, 100)
		if random.IntN(2) == 0 {
			l = Slots(random.Int64N(9))
		}
		claims := make([]Claim, 1+random.IntN(6))
		left := l.Units()
		for i := range claims {
			current := random.Int64N(left + 1)
			left -= current
			claims[i] = NewClaim(fmt.Sprint(i), current, random.Int64N(2)*random.Int64N(l.Units()+1), random.IntN(2) == 0)
		}
		units := Distribute(l, claims, 0)
		if got := sumUnits(units); got != l.Units() {
			t.Fatalf("%+v: %d of %d units were distributed", claims, got, l.Units())
		}
		for _, c := range claims {
			fair := l.Units() / int64(len(claims))
			if units[c.holder] < min(c.demand, fair) {
				t.Fatalf("%+v: holder %s got %d", claims, c.holder, units[c.holder])
			}
		}
	}
}

// Guards against refilling the capacity of an expired loan from the start of
// the loan: the borrower may have spent it just before it expired.
func TestExpiredLoanFreesCapacityAtItsExpiry(t *testing.T) {
	var b Bucket
	b.Resize(0, Rate(10, 5), RateUnits)
	b.Lend(time.Second, 5*Token)
	if got := b.Stored(time.Second + LoanValidity); got != 0 {
		t.Errorf("the bucket holds %d when the loan expires, want 0", got)
	}
}

// Guards against moving a whole limit in one step: its units are unusable
// while the outcome of the write is unknown.
func TestReductionsPerStepAreLimited(t *testing.T) {
	share := Share{Total: 1000, Generation: 1, Units: map[string]int64{"a": 600, "b": 390, "c": 10}}
	slots := Share{Total: 3, Generation: 1, Units: map[string]int64{"a": 3}}
	cases := []struct {
		name   string
		share  Share
		target Target
		want   map[string]int64
	}{
		{"all to another holder", share, NewTarget(1000, 1, map[string]int64{"d": 1000}), map[string]int64{"a": 400}},
		{"less than one step", share, NewTarget(1000, 1, map[string]int64{"a": 500, "b": 350, "c": 150}), map[string]int64{"a": 500, "b": 350}},
		{"one step of two holders", share, NewTarget(1000, 1, map[string]int64{"a": 450, "b": 200, "c": 350}), map[string]int64{"a": 450, "b": 340}},
		{"at least one unit", slots, NewTarget(3, 1, map[string]int64{"b": 3}), map[string]int64{"a": 2}},
		{"a limit whose total decreases", share, NewTarget(100, 2, map[string]int64{"a": 60, "b": 39, "c": 1}), map[string]int64{"a": 60, "b": 39, "c": 1}},
	}
	for _, c := range cases {
		got := map[string]int64{}
		for _, reduction := range c.share.LimitReductions(c.target, c.share.Reductions("l", c.target)) {
			got[reduction.Holder()] = reduction.Units()
		}
		if !maps.Equal(got, c.want) {
			t.Errorf("%s: reduced to %v, want %v", c.name, got, c.want)
		}
	}
}
