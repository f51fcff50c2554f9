package fgaffinity

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const testRoom = 1.5

type viewOption func(*fgsteer.ViewSpec)

func upstreams(n int, change ...func(i int, u *fgsteer.UpstreamSpec)) viewOption {
	return func(s *fgsteer.ViewSpec) {
		for i := range n {
			u := fgsteer.UpstreamSpec{
				ID: fmt.Sprintf("i-%d", i), Group: "g", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 4,
				Region: []string{"east", "west"}[i%2], AvailabilityZone: []string{"east-a", "west-a"}[i%2],
			}
			for _, c := range change {
				c(i, &u)
			}
			s.Upstreams = append(s.Upstreams, u)
		}
	}
}

func members(n int) viewOption {
	return func(s *fgsteer.ViewSpec) {
		for i := range n {
			s.Members = append(s.Members, fgsteer.MemberSpec{VM: fmt.Sprintf("vm-%d", i)})
		}
	}
}

func view(options ...viewOption) *fgsteer.View {
	s := fgsteer.ViewSpec{Policy: fgsteer.NewPolicy(fgsteer.PolicySpec{Groups: []fgsteer.GroupSpec{{Name: "g", ColdRate: 7.4}}})}
	for _, o := range options {
		o(&s)
	}
	return fgsteer.NewView(s)
}

func balancer(vm string, v *fgsteer.View) *Balancer {
	b := New(Options{VM: vm})
	b.SetColdBounds(1.5, 5)
	b.Update(v)
	return b
}

func choose(t *testing.T, b *Balancer, c Choice) *Upstream {
	t.Helper()
	c.Group = "g"
	if c.Room == 0 {
		c.Room = testRoom
	}
	u, err := b.Choose(c)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// Guards against VMs that send one object to different upstreams, each of which
// then runs it cold.
func TestAllVMsChooseAlike(t *testing.T) {
	v := view(upstreams(16), members(7))
	a, b := balancer("vm-0", v), balancer("vm-1", v)
	for i := range 200 {
		object := fmt.Sprint(i)
		x, y := choose(t, a, Choice{Object: object}), choose(t, b, Choice{Object: object})
		if x.Spec().ID != y.Spec().ID {
			t.Errorf("object %s lies on %s and %s", object, x.Spec().ID, y.Spec().ID)
		}
		a.Done(x, Answered)
		b.Done(y, Answered)
	}
}

// Guards against a change of one upstream that moves the objects of others.
func TestFewObjectsMove(t *testing.T) {
	before, after := balancer("vm-0", view(upstreams(16))), balancer("vm-0", view(upstreams(15)))
	for i := range 500 {
		object := fmt.Sprint(i)
		x, y := choose(t, before, Choice{Object: object}), choose(t, after, Choice{Object: object})
		if x.Spec().ID != "i-15" && x.Spec().ID != y.Spec().ID {
			t.Errorf("object %s moved from %s to %s", object, x.Spec().ID, y.Spec().ID)
		}
		before.Done(x, Answered)
		after.Done(y, Answered)
	}
}

// Replays the start of a day of high load: all upstreams are cold and slow, and
// more is asked than they can run in time. What an upstream has no room for is
// turned away; a queue there would make everything late until nothing ran to
// its end.
func TestLoadIsBoundedWhenAllIsSlow(t *testing.T) {
	b := balancer("vm-0", view(upstreams(4)))
	placed, full := 0, 0
	for i := range 100 {
		u, err := b.Choose(Choice{Group: "g", Object: fmt.Sprint(i % 10), Room: testRoom})
		switch {
		case err == nil:
			placed++
			if most := testRoom * float64(u.Spec().Slots); float64(u.InFlight()) > most {
				t.Errorf("%s has %d requests, want at most %.0f", u.Spec().ID, u.InFlight(), most)
			}
		case errors.Is(err, ErrFull):
			full++
		default:
			t.Fatal(err)
		}
	}
	if placed == 0 || full == 0 {
		t.Errorf("%d placed, %d turned away", placed, full)
	}
}

// Guards against an overflow that goes to an upstream which other VMs have
// filled.
func TestReportedLoadCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(8)))
		first := choose(t, b, Choice{Object: "o"})
		b.Load(first, 7)
		second := choose(t, b, Choice{Object: "o"})
		if first == second {
			t.Error("a full upstream was chosen")
		}
		b.Done(first, Answered)
		time.Sleep(4 * loadHalf)
		if again := choose(t, b, Choice{Object: "o"}); again != first {
			t.Error("an old report keeps the object away")
		}
	})
}

// Guards against requests for upstreams that leave, in drained availability
// zones, in other regions than the allowed ones, or tried before.
func TestUnusableUpstreams(t *testing.T) {
	draining := func(i int, u *fgsteer.UpstreamSpec) { u.Draining = i%4 == 0 }
	drained := func(s *fgsteer.ViewSpec) { s.Drained = []string{"west-a"} }
	tests := []struct {
		name   string
		view   *fgsteer.View
		choice Choice
		usable func(*fgsteer.UpstreamSpec) bool
	}{
		{"draining", view(upstreams(8, draining)), Choice{}, func(u *fgsteer.UpstreamSpec) bool { return !u.Draining }},
		{"drained", view(upstreams(8), drained), Choice{}, func(u *fgsteer.UpstreamSpec) bool { return u.AvailabilityZone != "west-a" }},
		{"regions", view(upstreams(8)), Choice{Regions: []string{"west"}}, func(u *fgsteer.UpstreamSpec) bool { return u.Region == "west" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := balancer("vm-0", tt.view)
			for i := range 100 {
				c := tt.choice
				if i%2 == 0 {
					c.Object = fmt.Sprint(i)
				}
				u := choose(t, b, c)
				if !tt.usable(u.Spec()) {
					t.Errorf("%+v was chosen", *u.Spec())
				}
				b.Done(u, Answered)
			}
		})
	}
	b := balancer("vm-0", view(upstreams(1)))
	u := choose(t, b, Choice{})
	if _, err := b.Choose(Choice{Group: "g", Tried: []*Upstream{u}, Room: testRoom}); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("got %v, want ErrNoUpstream", err)
	}
	if _, err := b.Choose(Choice{Group: "none"}); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("got %v, want ErrNoUpstream", err)
	}
}

// Guards against a cold upstream that gets more than it tolerates from all VMs
// together within any second.
func TestColdUpstreamsGetFewRequests(t *testing.T) {
	tests := []struct {
		name string
		vms  int
	}{{"7 VMs", 7}, {"28 VMs", 28}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cold := func(_ int, u *fgsteer.UpstreamSpec) { u.ColdUntil = time.Now().Add(6 * time.Second) }
				v := view(upstreams(1, cold), members(tt.vms))
				var fleet []*Balancer
				for i := range tt.vms {
					fleet = append(fleet, balancer(fmt.Sprintf("vm-%d", i), v))
				}
				time.Sleep(coldStart)
				var sent []time.Time
				for began := time.Now(); time.Since(began) < 2900*time.Millisecond; time.Sleep(7 * time.Millisecond) {
					for _, b := range fleet {
						if u, err := b.Choose(Choice{Group: "g", Object: "o", Room: 100}); err == nil {
							sent = append(sent, time.Now())
							b.Done(u, Answered)
						}
					}
				}
				if len(sent) == 0 {
					t.Fatal("nothing was sent")
				}
				const bound = 7.4*1.5 + 5
				for i := range sent {
					n := 0
					for _, s := range sent[i:] {
						if s.Sub(sent[i]) <= time.Second {
							n++
						}
					}
					if float64(n) > bound {
						t.Fatalf("%d requests in a second, want at most %.1f", n, bound)
					}
				}
			})
		})
	}
}

// Guards against a cold upstream that gets too much while VMs stop and start:
// one that is not registered any more may still serve, and a new process does
// not know what the one before it has sent.
func TestColdUpstreamsWhileVMsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 7
		cold := func(_ int, u *fgsteer.UpstreamSpec) { u.ColdUntil = time.Now().Add(time.Minute) }
		all := upstreams(1, cold)
		registered := map[int]bool{}
		current := func() *fgsteer.View {
			return view(all, func(s *fgsteer.ViewSpec) {
				for i := range vms {
					if registered[i] {
						s.Members = append(s.Members, fgsteer.MemberSpec{VM: fmt.Sprintf("vm-%d", i)})
					}
				}
			})
		}
		for i := range vms {
			registered[i] = true
		}
		var fleet []*Balancer
		for i := range vms {
			fleet = append(fleet, balancer(fmt.Sprintf("vm-%d", i), current()))
		}
		time.Sleep(5 * time.Second)
		var sent []time.Time
		began := time.Now()
		for step := 0; time.Since(began) < 8*time.Second; step++ {
			// Every two seconds three VMs leave the list, go on serving for a
			// second, and are back with new processes.
			if step%200 == 0 {
				for i := range 3 {
					registered[(step/200+i)%vms] = false
				}
			}
			if step%200 == 100 {
				for i := range 3 {
					n := (step/200 + i) % vms
					registered[n] = true
					fleet[n] = balancer(fmt.Sprintf("vm-%d", n), current())
				}
			}
			if step%100 == 0 {
				for _, b := range fleet {
					b.Update(current())
				}
			}
			for _, b := range fleet {
				if u, err := b.Choose(Choice{Group: "g", Object: "o", Room: 100}); err == nil {
					sent = append(sent, time.Now())
					b.Done(u, Answered)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		const bound = 7.4*1.5 + 5
		for i := range sent {
			n := 0
			for _, s := range sent[i:] {
				if s.Sub(sent[i]) <= time.Second {
					n++
				}
			}
			if float64(n) > bound {
				t.Fatalf("%d requests in a second, want at most %.1f", n, bound)
			}
		}
	})
}

// Guards against an upstream that cannot be reached and gets every request of
// its objects.
func TestUnreachedUpstreamRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(4)))
		first := choose(t, b, Choice{Object: "o"})
		b.Done(first, Unreached)
		second := choose(t, b, Choice{Object: "o"})
		if second == first {
			t.Error("an upstream that cannot be reached was chosen again")
		}
		b.Done(second, Answered)
		time.Sleep(restMost)
		if again := choose(t, b, Choice{Object: "o"}); again != first {
			t.Error("the upstream does not get its object back")
		}
	})
}

// Guards against an upstream that is left alone for what happened before it was
// started again under its old name.
func TestRestartedUpstreamIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		start := func(_ int, u *fgsteer.UpstreamSpec) { u.Started = began }
		b := balancer("vm-0", view(upstreams(4, start)))
		first := choose(t, b, Choice{Object: "o"})
		for range 4 {
			b.Done(first, Unreached)
		}
		if u := choose(t, b, Choice{Object: "o"}); u == first {
			t.Error("an upstream that cannot be reached was chosen again")
		}
		again := func(_ int, u *fgsteer.UpstreamSpec) {
			if u.ID == first.Spec().ID {
				u.Started = began.Add(time.Second)
			}
		}
		b.Update(view(upstreams(4, start, again)))
		if u := choose(t, b, Choice{Object: "o"}); u.Spec().ID != first.Spec().ID {
			t.Error("the upstream that was started again does not get its object")
		}
	})
}

// Replays an upstream that is many times slower than the others, and one cold run
// at an upstream that is well: the first loses its requests for a while, the
// second keeps its object.
func TestSlowUpstreamIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(4)))
		first := choose(t, b, Choice{Object: "o"})
		b.Done(first, Answered)
		b.Overdue(first)
		b.InTime(first, time.Second)
		for i := range slowAfter {
			u := choose(t, b, Choice{Object: "o"})
			if u != first {
				t.Fatalf("the object moved after %d overdue answers", i)
			}
			b.Overdue(u)
			b.Done(u, Answered)
		}
		if u := choose(t, b, Choice{Object: "o"}); u == first {
			t.Error("a slow upstream was chosen")
		}
		time.Sleep(restMost)
		if u := choose(t, b, Choice{Object: "o"}); u != first {
			t.Error("the upstream does not get its object back")
		}
	})
}

// Guards against an upstream that keeps the objects it has no time for: no answer
// in time means that requests wait there until their time has run out.
func TestSilentUpstreamIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(4)))
		first := choose(t, b, Choice{Object: "o"})
		b.Done(first, Silent)
		second := choose(t, b, Choice{Object: "o"})
		if second == first {
			t.Error("an upstream without an answer in time was chosen again")
		}
		b.Done(second, Answered)
		time.Sleep(4 * loadHalf)
		if again := choose(t, b, Choice{Object: "o"}); again != first {
			t.Error("the upstream does not get its object back")
		}
	})
}

// Guards against requests that are refused although an upstream is left: when
// all rest, one is tried.
func TestAllResting(t *testing.T) {
	b := balancer("vm-0", view(upstreams(2)))
	for range 4 {
		b.Done(choose(t, b, Choice{Object: "o"}), Unreached)
	}
	choose(t, b, Choice{Object: "o"})
}

// Guards against repeats beyond the fleet's bound in any window.
func TestRepeatsStayWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			vms, extra = 7, 64
			ratio      = 0.2
			window     = 10 * time.Second
		)
		var fleet []*Repeats
		for range vms {
			r := &Repeats{}
			r.SetBounds(ratio, extra, window)
			r.SetMembers(vms)
			fleet = append(fleet, r)
		}
		var asked, repeated []time.Time
		for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(10 * time.Millisecond) {
			for _, r := range fleet {
				asked = append(asked, time.Now())
				r.Earn("g")
				for r.Take("g") {
					repeated = append(repeated, time.Now())
				}
			}
		}
		count := func(all []time.Time, from time.Time) (n int) {
			for _, at := range all {
				if !at.Before(from) && at.Sub(from) <= window {
					n++
				}
			}
			return n
		}
		for from := asked[0]; time.Since(from) > window; from = from.Add(time.Second) {
			if got, bound := count(repeated, from), ratio*float64(count(asked, from))+extra; float64(got) > bound {
				t.Errorf("%d repeats in a window, want at most %.0f", got, bound)
			}
		}
		if len(repeated) == 0 {
			t.Error("no repeat is ever allowed")
		}
	})
}

// Replays two sites of equal load in regions of unequal size: where the way to
// another region costs much of the objective, most objects stay, and no region
// gets much more than its upstreams can serve.
func TestNearUpstreamsWeighMore(t *testing.T) {
	sizes := []struct {
		region string
		count  int
	}{{"small", 2}, {"middle", 8}, {"large", 10}}
	fleet := func(s *fgsteer.ViewSpec) {
		for _, z := range sizes {
			for i := range z.count {
				s.Upstreams = append(s.Upstreams, fgsteer.UpstreamSpec{
					ID: fmt.Sprint(z.region, i), Group: "g", Address: "10.0.0.1:80", Slots: 6, Region: z.region, AvailabilityZone: z.region,
				})
			}
		}
	}
	tests := []struct {
		name      string
		distance  time.Duration
		objective time.Duration
		// leastNear is the part of all objects that stay in their region, busiest
		// the load of the most loaded region for each of its slots, 1 being even.
		leastNear, busiest float64
	}{
		{"far", 110 * time.Millisecond, 300 * time.Millisecond, 0.65, 2.2},
		{"near", 70 * time.Millisecond, 500 * time.Millisecond, 0.5, 1.6},
		{"no distance", 0, 300 * time.Millisecond, 0.3, 1.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const objects = 3000
			load, stayed := map[string]float64{}, 0
			for _, z := range sizes {
				b := New(Options{VM: "vm", Region: z.region})
				b.Update(view(fleet))
				b.SetDistance(tt.distance)
				for i := range objects {
					u := choose(t, b, Choice{Object: fmt.Sprint(z.region, i), Objective: tt.objective})
					load[u.Spec().Region]++
					if u.Spec().Region == z.region {
						stayed++
					}
					b.Done(u, Answered)
				}
			}
			if part := float64(stayed) / (3 * objects); part < tt.leastNear {
				t.Errorf("%.2f of the objects stayed in their region, want at least %.2f", part, tt.leastNear)
			}
			for _, z := range sizes {
				if use := load[z.region] / (3 * objects) / (float64(z.count) / 20); use > tt.busiest {
					t.Errorf("region %s has %.2f of an even load, want at most %.2f", z.region, use, tt.busiest)
				}
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 44, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := balancer("vm-0", view(upstreams(n), members(7)))
			b.ReportAllocs()
			for b.Loop() {
				u, err := l.Choose(Choice{Group: "g", Object: "o", Room: testRoom})
				if err != nil {
					b.Fatal(err)
				}
				l.Done(u, Answered)
			}
		})
	}
}
