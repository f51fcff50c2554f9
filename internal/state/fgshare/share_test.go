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

// TestMain fixes rapid's seed, so that a run can be repeated, and makes the runs
// long enough: with rapid's defaults a missing promise was not found.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "2000", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

type stored struct {
	revision uint64
	ledger   Ledger
}

type process struct {
	vm     string
	holder *Holder
	gone   bool
}

type lowerMessage struct {
	Lowering
	keeper   int
	revision uint64
	answer   int64
}

type testKeeper struct {
	base     stored
	members  uint64
	target   Target
	promised map[string]int64
}

// protocol is a fleet without clocks: any message may be late, lost or repeated.
type protocol struct {
	history  []stored
	members  []map[string]string
	running  map[string]*process
	keepers  [3]testKeeper
	requests []lowerMessage
	answers  []lowerMessage
}

const (
	limitName  = "limit"
	limitTotal = 10
)

func newProtocol() *protocol {
	p := &protocol{history: []stored{{}}, members: []map[string]string{{}}, running: map[string]*process{}}
	for i := range 4 {
		p.start(fmt.Sprint("vm", i))
	}
	return p
}

func (p *protocol) start(vm string) {
	name := fmt.Sprintf("%s-%d", vm, len(p.members))
	next := maps.Clone(p.members[len(p.members)-1])
	if old, ok := next[vm]; ok {
		p.running[old].gone = true
	}
	next[vm] = name
	p.members = append(p.members, next)
	p.running[name] = &process{vm: vm, holder: NewHolder(name)}
}

func (p *protocol) gone(k *testKeeper) func(string) bool {
	return func(h string) bool {
		r, ok := k.base.ledger.Holders[h]
		return ok && k.members >= r.Members && p.members[k.members][r.VM] != h
	}
}

// begin lets a keeper read an older ledger and an older member set, and ask.
func (p *protocol) begin(t *rapid.T) {
	i := rapid.IntRange(0, len(p.keepers)-1).Draw(t, "keeper")
	k := &p.keepers[i]
	k.base = p.history[max(0, len(p.history)-rapid.IntRange(1, 3).Draw(t, "age"))]
	k.members = uint64(max(0, len(p.members)-rapid.IntRange(1, 2).Draw(t, "membersAge")))
	k.promised = map[string]int64{}
	units, left := map[string]int64{}, int64(limitTotal)
	for _, vm := range slices.Sorted(maps.Keys(p.members[k.members])) {
		n := rapid.Int64Range(0, left).Draw(t, "units")
		units[p.members[k.members][vm]] = n
		left -= n
	}
	k.target = NewTarget(limitTotal, 1, units)
	for _, l := range k.base.ledger.Limits[limitName].Lowerings(limitName, k.target) {
		p.requests = append(p.requests, lowerMessage{Lowering: l, keeper: i, revision: k.base.revision})
	}
}

func (p *protocol) deliverRequest(t *rapid.T) {
	if len(p.requests) == 0 {
		return
	}
	m := rapid.SampledFrom(p.requests).Draw(t, "request")
	r := p.running[m.holder]
	if r.gone || !r.holder.Promise(m.limit, m.units, m.revision) {
		return
	}
	m.answer = m.units
	p.answers = append(p.answers, m)
}

func (p *protocol) deliverAnswer(t *rapid.T) {
	if len(p.answers) == 0 {
		return
	}
	m := rapid.SampledFrom(p.answers).Draw(t, "answer")
	if k := &p.keepers[m.keeper]; k.promised != nil && m.revision >= k.base.revision {
		k.promised[m.holder] = m.answer
	}
}

func (p *protocol) swap(t *rapid.T) {
	k := &p.keepers[rapid.IntRange(0, len(p.keepers)-1).Draw(t, "keeper")]
	last := p.history[len(p.history)-1]
	if k.promised == nil || k.base.revision != last.revision {
		return
	}
	next := k.base.ledger.Limits[limitName].Next(k.target, k.promised, p.gone(k))
	l := Ledger{Holders: map[string]Registration{}, Limits: map[string]Share{limitName: next}}
	for h := range next.Units {
		l.Holders[h] = Registration{VM: p.running[h].vm, Members: k.members}
		if old, ok := k.base.ledger.Holders[h]; ok {
			l.Holders[h] = old
		}
	}
	p.history = append(p.history, stored{revision: last.revision + uint64(rapid.IntRange(1, 3).Draw(t, "step")), ledger: l})
}

func (p *protocol) learn(t *rapid.T) {
	name := rapid.SampledFrom(slices.Sorted(maps.Keys(p.running))).Draw(t, "holder")
	s := p.history[max(0, len(p.history)-rapid.IntRange(1, 3).Draw(t, "age"))]
	p.running[name].holder.Advance(s.revision, s.ledger)
}

func (p *protocol) check(t *rapid.T) {
	var usable int64
	for _, r := range p.running {
		if !r.gone {
			usable += r.holder.Units(limitName, limitTotal)
		}
	}
	if usable > limitTotal {
		t.Fatalf("holders can use %d of %d units", usable, limitTotal)
	}
	if err := p.history[len(p.history)-1].ledger.Check(); err != nil {
		t.Fatal(err)
	}
}

// Guards against overspending a limit through stale or paused keepers, late or
// repeated messages, and processes that were replaced.
func TestUsableUnitsNeverExceedTheLimit(t *testing.T) {
	var writes, grants int
	rapid.Check(t, func(t *rapid.T) {
		p := newProtocol()
		t.Repeat(map[string]func(*rapid.T){
			"begin": p.begin, "request": p.deliverRequest, "answer": p.deliverAnswer, "swap": p.swap, "learn": p.learn,
			"learnAgain": p.learn, "swapAgain": p.swap,
			"replace": func(t *rapid.T) {
				if len(p.members) < 12 {
					p.start(fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm")))
				}
			},
			"": p.check,
		})
		writes += len(p.history) - 1
		grants += len(p.answers)
	})
	t.Logf("%d ledger writes, %d promises", writes, grants)
	if writes == 0 || grants == 0 {
		t.Error("the runs never changed a ledger")
	}
}

// Guards against spending more than the burst plus the refill when tokens are
// lent while shares move and processes are replaced.
func TestStoredAndLentTokensNeverExceedTheBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Rate(rapid.Int64Range(1, 200).Draw(t, "rate"), rapid.Int64Range(1, 30).Draw(t, "burst"))
		// The reference is one bucket with the whole limit: whatever the fleet
		// spends must be there.
		var now time.Duration
		var reference Bucket
		reference.Resize(0, l, RateUnits)
		fleet := make([]Bucket, 4)
		free := RateUnits
		freeAt := make(map[int]time.Duration) // when units of a replaced process are reclaimed
		lost := make(map[int]int64)
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(fleet)-1).Draw(t, "bucket") }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(1, int64(300*time.Millisecond)).Draw(t, "wait"))
			},
			"raise": func(t *rapid.T) {
				i := pick(t)
				n := rapid.Int64Range(0, free).Draw(t, "units")
				free -= n
				fleet[i].Resize(now, l, fleet[i].Units()+n)
			},
			"lower": func(t *rapid.T) {
				i := pick(t)
				to := max(fleet[i].Pledged(now), rapid.Int64Range(0, fleet[i].Units()).Draw(t, "units"))
				free += max(0, fleet[i].Units()-to)
				fleet[i].Resize(now, l, min(to, fleet[i].Units()))
			},
			"replace": func(t *rapid.T) {
				i := pick(t)
				if _, pending := freeAt[i]; pending {
					return
				}
				freeAt[i], lost[i] = now+LoanValidity, fleet[i].Units()
				fleet[i] = Bucket{}
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
				amount := fleet[from].Lend(now, rapid.Int64Range(0, 5*Token).Draw(t, "amount"))
				now += time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "delay"))
				fleet[to].Receive(now, sent, amount)
			},
			"take": func(t *rapid.T) {
				taken := fleet[pick(t)].TakeUpTo(now, rapid.Int64Range(1, 10*Token).Draw(t, "amount"))
				// The reference rounds down, by less than one thousandth a step.
				if missing := reference.Missing(now, taken); missing > 1 {
					t.Fatalf("the fleet spent %d thousandths more than the limit", missing)
				}
				reference.TakeUpTo(now, taken)
			},
			"": func(t *rapid.T) {
				var held int64
				for i := range fleet {
					fleet[i].advance(now)
					held += fleet[i].stored + total(fleet[i].borrowed)
				}
				if held > l.Capacity(RateUnits) {
					t.Fatalf("the fleet holds %d of %d", held, l.Capacity(RateUnits))
				}
			},
		})
	})
}

// Guards against losing refill to rounding when a bucket is asked often.
func TestFrequentCallsLoseNoRefill(t *testing.T) {
	var b Bucket
	b.Resize(0, Rate(10, 5), 300)
	for now := time.Duration(0); now <= 400*time.Millisecond; now += 10 * time.Microsecond {
		b.Spare(now)
	}
	if got := b.Spare(400 * time.Millisecond); got != 1200 {
		t.Errorf("3 tokens/s over 400 ms gave %d thousandths, want 1200", got)
	}
}

// Guards against a raise that creates tokens.
func TestRaiseAddsNoTokens(t *testing.T) {
	var b Bucket
	b.Resize(0, Rate(10, 10), 100)
	b.Resize(time.Second, Rate(10, 10), 1000)
	if got := b.Spare(time.Second); got != Token {
		t.Errorf("bucket holds %d after the raise, want %d", got, Token)
	}
}

// Guards against allocations on the routing path.
func TestTakeAllocatesNothing(t *testing.T) {
	var b Bucket
	b.Resize(0, Rate(1000, 1000), RateUnits)
	now := time.Second
	if n := testing.AllocsPerRun(1000, func() { now += time.Millisecond; b.Take(now, Token) }); n != 0 {
		t.Errorf("Take allocates %v times", n)
	}
}

// Guards against a division that grants too much, starves an active holder or
// gives to one what another demands.
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
		if got := sumOf(units); got != l.Units() {
			t.Fatalf("%+v: %d of %d units were given", claims, got, l.Units())
		}
		for _, c := range claims {
			fair := l.Units() / int64(len(claims))
			if units[c.holder] < min(c.demand, fair) {
				t.Fatalf("%+v: holder %s got %d", claims, c.holder, units[c.holder])
			}
		}
	}
}

// Guards against refilling, from its beginning, capacity that a loan occupied:
// the borrower may have spent the loan just before its end.
func TestEndedLoanFreesCapacityFromItsEnd(t *testing.T) {
	var b Bucket
	b.Resize(0, Rate(10, 5), RateUnits)
	b.Lend(time.Second, 5*Token)
	if got := b.Spare(time.Second + LoanValidity); got != 0 {
		t.Errorf("bucket holds %d at the end of the loan, want 0", got)
	}
}

// Guards against a move that takes a limit out of use as a whole while the
// outcome of its write is unknown.
func TestStepBoundsWhatMovesAtOnce(t *testing.T) {
	share := Share{Total: 1000, Generation: 1, Units: map[string]int64{"a": 600, "b": 390, "c": 10}}
	slots := Share{Total: 3, Generation: 1, Units: map[string]int64{"a": 3}}
	cases := []struct {
		name   string
		share  Share
		target Target
		want   map[string]int64
	}{
		{"all to another holder", share, NewTarget(1000, 1, map[string]int64{"d": 1000}), map[string]int64{"a": 400}},
		{"less than a step", share, NewTarget(1000, 1, map[string]int64{"a": 500, "b": 350, "c": 150}), map[string]int64{"a": 500, "b": 350}},
		{"a step of two holders", share, NewTarget(1000, 1, map[string]int64{"a": 450, "b": 200, "c": 350}), map[string]int64{"a": 450, "b": 340}},
		{"one unit at least", slots, NewTarget(3, 1, map[string]int64{"b": 3}), map[string]int64{"a": 2}},
		{"a limit that shrinks", share, NewTarget(100, 2, map[string]int64{"a": 60, "b": 39, "c": 1}), map[string]int64{"a": 60, "b": 39, "c": 1}},
	}
	for _, c := range cases {
		got := map[string]int64{}
		for _, l := range c.share.Step(c.target, c.share.Lowerings("l", c.target)) {
			got[l.Holder()] = l.Units()
		}
		if !maps.Equal(got, c.want) {
			t.Errorf("%s: lowered to %v, want %v", c.name, got, c.want)
		}
	}
}
