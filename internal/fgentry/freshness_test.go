package fgentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/coordination/fgsync"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// maxServingAfterCutoff is how long a VM may serve keyed requests after the
// platform became unreachable for it: 3 s from its last confirmation, and one
// exchange.
const maxServingAfterCutoff = maxStaleness + 500*time.Millisecond + 4*oneWayDelay

// Guards against a platform outage that stops keyed requests, whether platform
// calls are refused or hang, and whether or not a process has died in the
// meantime.
func TestOutageWithAllContacts(t *testing.T) {
	for _, faults := range []fgstandin.Faults{{Down: true}, {Silent: true}, {DelayMillis: 1500}} {
		withSimulatedFleet(t, 7, func(f *simulatedFleet) {
			f.issue("vm-0")
			f.platform.SetFaults(faults)
			if stale := f.staleTimes(20 * time.Second); len(stale) > 0 {
				t.Errorf("faults %+v: not fresh for %v", faults, stale)
			}
			f.kill("vm-3")
			stale := f.staleTimes(10 * time.Second)
			delete(stale, "vm-3")
			if len(stale) > 0 {
				t.Errorf("faults %+v, a process died: not fresh for %v", faults, stale)
			}
		})
	}
}

// Guards against a single isolated VM that continues to accept a withdrawn key,
// and against other VMs that stop serving because of it.
func TestIsolatedVM(t *testing.T) {
	withSimulatedFleet(t, 7, func(f *simulatedFleet) {
		f.issue("vm-0")
		f.partition(func(a, _ string) bool { return a == "vm-6" })
		f.withdraw("vm-0")
		time.Sleep(maxServingAfterCutoff)
		for vm := range f.entries {
			if f.acceptsKey(vm) {
				t.Errorf("%s still accepts the key", vm)
			}
		}
		stale := f.staleTimes(10 * time.Second)
		if len(stale) != 1 || stale["vm-6"] != 10*time.Second {
			t.Errorf("not fresh: %v, want only vm-6", stale)
		}
		f.partition(nil)
		time.Sleep(3 * time.Second)
		if f.acceptsKey("vm-6") || f.entries["vm-6"].checkFreshness() != nil {
			t.Error("vm-6 has not caught up 3 s after the partition ended")
		}
	})
}

// Guards against serving keyed requests on the side of a partition that cannot
// reach the platform, also when the platform then fails for the other side.
func TestPartitionedRegions(t *testing.T) {
	withSimulatedFleet(t, 7, func(f *simulatedFleet) {
		f.issue("vm-0")
		f.partition(func(a, b string) bool { return f.region(a) != f.region(b) })
		time.Sleep(maxServingAfterCutoff)
		f.withdraw("vm-0")
		for vm := range f.staleTimes(5 * time.Second) {
			if f.region(vm) == "r0" {
				t.Errorf("%s reaches the platform and is not fresh", vm)
			}
		}
		for vm, e := range f.entries {
			if f.region(vm) != "r0" && e.checkFreshness() == nil {
				t.Errorf("%s cannot reach the platform and is fresh", vm)
			}
		}
		f.platform.SetFaults(fgstandin.Faults{Down: true})
		time.Sleep(maxServingAfterCutoff)
		if stale := f.staleTimes(time.Second); len(stale) != 7 {
			t.Errorf("no contact responds, but only these VMs stopped serving: %v", stale)
		}
	})
}

// region returns a VM's region. The platform is in the first region.
func (f *simulatedFleet) region(vm string) string {
	if e, ok := f.entries[vm]; ok {
		return e.settings.raw.Region
	}
	return "r0"
}

// Guards against stale reads and late watch events that restore a withdrawn
// key, and against a change that takes longer than 3 s.
func TestStaleReadDoesNotRestoreKey(t *testing.T) {
	withSimulatedFleet(t, 7, func(f *simulatedFleet) {
		f.issue("vm-0")
		f.withdraw("vm-5")
		f.platform.SetFaults(fgstandin.Faults{StaleReads: 1000, LateWatchMillis: 4000})
		time.Sleep(maxStaleness)
		for range 100 {
			for vm := range f.entries {
				if _, ok := f.entries[vm].config.State().Key("k"); ok {
					t.Fatalf("%s has the key again", vm)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against a paused process that serves keyed requests when it resumes,
// or that counts messages received during the pause as recent.
func TestPausedProcess(t *testing.T) {
	withSimulatedFleet(t, 7, func(f *simulatedFleet) {
		f.issue("vm-0")
		e := f.entries["vm-4"]
		f.stops["vm-4"]()
		unread := f.entries["vm-0"].nodeState()
		time.Sleep(10 * time.Second)
		if _, err := (&peerService{entry: e}).Exchange(f.t.Context(), unread); err != nil || e.checkFreshness() == nil {
			t.Errorf("fresh after the pause, error %v", err)
		}
		if err := e.exchangeWith(f.t.Context(), fgmember.Member{PeerAddress: "vm-0"}); err != nil || e.checkFreshness() != nil {
			t.Errorf("not fresh after a response, error %v", err)
		}
	})
}

// Guards against a VM that was suspended for an hour, while its monotonic clock
// stood still, and that then serves keyed requests or reports a wrong age to
// its peers.
func TestSuspendedVM(t *testing.T) {
	withSimulatedFleet(t, 7, func(f *simulatedFleet) {
		f.issue("vm-0")
		e := f.entries["vm-4"]
		suspend := func() { e.freshness.skew.Add(-int64(time.Hour)) }
		suspend()
		if e.checkFreshness() == nil {
			t.Error("fresh after the suspension")
		}
		time.Sleep(2 * time.Second)
		if err := e.checkFreshness(); err != nil {
			t.Errorf("not fresh 2 s after the suspension: %v", err)
		}
		suspend()
		if n := e.nodeState(); n.PlatformAgeMs != nil {
			t.Errorf("reports an age of %d ms to peers", n.GetPlatformAgeMs())
		}
	})
}

// Guards against counting an age or a contact's state before the peer's
// generation is applied, and against a failed call that overrides a more recent
// successful one.
func TestPlatformAgeNeedsGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &simulatedFleet{t: t, entries: map[string]*Entry{}, stops: map[string]func(){}, refused: map[string]bool{}}
		f.platform.SetFaults(fgstandin.Faults{Down: true})
		e := f.start("vm-0", 0)
		defer f.stop()
		age := int64(0)
		e.applyFreshnessReport(time.Now(), &fgwire.NodeState{ConfigGeneration: 1, PlatformAgeMs: &age, Contacts: []*fgwire.ContactState{{Incarnation: "c"}}})
		if _, ok := e.freshness.contactStates["c"]; ok || e.checkFreshness() == nil {
			t.Error("counted without the peer's generation")
		}
		e.recordPlatformCall(time.Now(), fgsync.ResultReachable)
		time.Sleep(time.Millisecond)
		e.recordPlatformCall(time.Now().Add(-time.Second), fgsync.ResultUnreachable)
		if !e.freshness.contactStates[e.incarnation.String()].reachesPlatform {
			t.Error("an earlier failed call overrides a successful one")
		}
		e.applyFreshnessReport(time.Now(), &fgwire.NodeState{PlatformAgeMs: &age})
		if e.checkFreshness() != nil {
			t.Error("not fresh at the peer's generation")
		}
	})
}

// Guards against a VM that cannot start while the platform is unavailable.
func TestNewVMDuringOutage(t *testing.T) {
	withSimulatedFleet(t, 7, func(f *simulatedFleet) {
		f.issue("vm-0")
		f.platform.SetFaults(fgstandin.Faults{Down: true})
		time.Sleep(5 * time.Second)
		f.start("vm-7", 1, "vm-2")
		time.Sleep(3 * time.Second)
		if !f.acceptsKey("vm-7") {
			t.Errorf("vm-7 is at generation %d, fresh: %v", f.entries["vm-7"].config.Generation(), f.entries["vm-7"].checkFreshness())
		}
	})
}

// Guards against requests in flight that continue after their key has ended,
// also when the key was withdrawn between its check and trackKey.
func TestInFlightRequestIsCancelled(t *testing.T) {
	withSimulatedFleet(t, 2, func(f *simulatedFleet) {
		f.issue("vm-0")
		e := f.entries["vm-1"]
		key, _ := e.config.State().Key("k")
		at := time.Now().Add(time.Second)
		key.Spec().ExpiresAt = &at
		expiring, end := e.trackKey(context.Background(), &call{key: key})
		time.Sleep(time.Second + withdrawalGrace + time.Millisecond)
		if expiring.Err() == nil {
			t.Error("not cancelled after the key expired")
		}
		end()
		key.Spec().ExpiresAt = nil
		before, endBefore := e.trackKey(context.Background(), &call{key: key})
		defer endBefore()
		f.withdraw("vm-0")
		time.Sleep(time.Second)
		late, endLate := e.trackKey(context.Background(), &call{key: key})
		defer endLate()
		time.Sleep(withdrawalGrace + time.Second)
		for _, ctx := range []context.Context{before, late} {
			if !errors.Is(context.Cause(ctx), errKeyWithdrawn) {
				t.Errorf("cause is %v", context.Cause(ctx))
			}
		}
	})
}

// Guards against too many contacts, against platform calls that grow with the
// fleet, against changes accepted by VMs that are not contacts, and against a
// status that lacks VMs that are not neighbours.
func TestLargerFleet(t *testing.T) {
	withSimulatedFleet(t, 30, func(f *simulatedFleet) {
		members := f.entries["vm-0"].members.State()
		contacts := members.Contacts()
		if len(members.All()) != 30 || len(contacts) != 12 {
			t.Errorf("%d members with %d contacts, want 30 with 12", len(members.All()), len(contacts))
		}
		f.issue(contacts[0].VM)
		time.Sleep(2 * time.Second)
		if stale := f.staleTimes(5 * time.Second); len(stale) > 0 {
			t.Errorf("not fresh: %v", stale)
		}
		calls := f.platform.Calls()
		time.Sleep(10 * time.Second)
		// Two reads per second, two watches per 5 s and one read of the VM list
		// per 5 s.
		if n := f.platform.Calls() - calls; n > 12*10*3 {
			t.Errorf("%d platform calls in 10 s from 12 contacts", n)
		}
		for vm, e := range f.entries {
			m, _ := members.Member(vm)
			p := e.refuseChange()
			if (p == nil) != m.Contact || p != nil && !strings.Contains(p.Detail(), "VM vm-") {
				t.Errorf("%s: contact %v, refusal %v", vm, m.Contact, p)
			}
			e.requestMissingReports(f.t.Context(), 1)
			if s := e.statusAt(1); !s.Complete() || s.Since == nil {
				t.Errorf("%s: in force on %d of %d", vm, s.InForce, s.Members)
			}
		}
	})
}

// Guards against a graceful stop that waits for the platform, that keeps the VM
// in look-ups for longer than one exchange, or that ends before the drain wait
// is over.
func TestStopDuringOutage(t *testing.T) {
	withSimulatedFleet(t, 3, func(f *simulatedFleet) {
		f.platform.SetFaults(fgstandin.Faults{Silent: true})
		e := f.entries["vm-2"]
		begin := time.Now()
		done := make(chan time.Duration)
		go func() {
			e.stop(context.Background(), &http.Server{})
			done <- time.Since(begin)
		}()
		time.Sleep(4 * oneWayDelay)
		for _, vm := range []string{"vm-0", "vm-1", "vm-2"} {
			if !f.entries[vm].reports.Leaving(e.incarnation.String()) {
				t.Errorf("%s does not know that vm-2 is leaving", vm)
			}
		}
		if d := <-done; d < e.settings.raw.DrainWait || d > e.settings.raw.DrainWait+10*time.Second {
			t.Errorf("the stop took %v", d)
		}
	})
}

// BenchmarkCheckFresh measures the check that each keyed request makes.
func BenchmarkCheckFresh(b *testing.B) {
	e := &Entry{freshness: newFreshness()}
	e.freshness.freshUntil.Store(int64(time.Hour))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if e.checkFreshness() != nil {
				b.Error("not fresh")
			}
		}
	})
}

// Guards against a large fleet that stops serving keyed requests, because each
// hop of the overlay adds up to one exchange interval to the age of the
// confirmation.
func TestLargeFleetStaysFresh(t *testing.T) {
	withSimulatedFleet(t, 0, func(f *simulatedFleet) {
		for i := range 120 {
			f.start(fmt.Sprintf("vm-%d", i), 0)
		}
		time.Sleep(30 * time.Second)
		members := f.entries["vm-0"].members.State()
		if len(members.All()) != 120 || len(members.Contacts()) != 2 {
			t.Fatalf("%d members, %d contacts", len(members.All()), len(members.Contacts()))
		}
		if stale := f.staleTimes(5 * time.Second); len(stale) > 0 {
			t.Errorf("%d VMs were not fresh: %v", len(stale), stale)
		}
		nearlyStale := 0
		for _, e := range f.entries {
			if e.remainingFreshness() <= contactExchangeMargin {
				nearlyStale++
			}
		}
		t.Logf("%d of %d VMs are about to start an exchange with a contact", nearlyStale, len(f.entries))
	})
}

// Guards against a sequence of partitions, outages, and slow, stale or late
// responses in which a VM accepts a key for more than 3 s after its withdrawal
// was accepted by any VM.
func TestRandomFaultsDoNotRestoreKey(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 0))
		accepted := 0
		withSimulatedFleet(t, 7, func(f *simulatedFleet) {
			for range 15 {
				f.clearFaults()
				f.change("vm-0", fmt.Sprint("issue-", random.Uint64()), issueKeyChange())
				f.injectFaults(random)
				withdrawn := f.tryWithdraw(random)
				if !withdrawn {
					continue
				}
				accepted++
				time.Sleep(maxStaleness + time.Millisecond)
				for i := range 100 {
					for vm := range f.entries {
						if f.acceptsKey(vm) {
							t.Fatalf("seed %d: %s accepts the key", seed, vm)
						}
					}
					if i%40 == 39 {
						f.injectFaults(random)
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
		t.Logf("seed %d: %d withdrawals accepted", seed, accepted)
	}
}

// clearFaults ends all faults and waits until the fleet has recovered.
func (f *simulatedFleet) clearFaults() {
	f.partition(nil)
	f.platform.SetFaults(fgstandin.Faults{})
	time.Sleep(5 * time.Second)
}

// injectFaults partitions the network at random, sets a random fault of the
// platform and waits for up to 4 s.
func (f *simulatedFleet) injectFaults(random *rand.Rand) {
	side := map[string]bool{}
	for vm := range 7 {
		side[fmt.Sprint("vm-", vm)] = random.IntN(2) == 0
	}
	f.partition(func(a, b string) bool { return side[a] != side[b] })
	faults := []fgstandin.Faults{{}, {}, {Down: true}, {Silent: true}, {DelayMillis: 1500}, {StaleReads: 10}, {LateWatchMillis: 5000}, {LoseAnswers: 2}}
	f.platform.SetFaults(faults[random.IntN(len(faults))])
	time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
}

// tryWithdraw withdraws the key through a random VM and reports whether the
// change was accepted.
func (f *simulatedFleet) tryWithdraw(random *rand.Rand) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	vm := fmt.Sprint("vm-", random.IntN(7))
	_, err := f.entries[vm].config.Submit(ctx, fmt.Sprint("withdraw-", random.Uint64()), buildChange(withdrawKeyChange()))
	return err == nil
}

// Guards against removing members whose VM is not listed yet, against keeping
// members whose VM is no longer listed, and against VMs that are listed as
// leaving but do not stop.
func TestVMList(t *testing.T) {
	withSimulatedFleet(t, 4, func(f *simulatedFleet) {
		list := func(vms ...fgstore.VM) {
			f.platform.SetVMs(vms)
			time.Sleep(25 * time.Second)
		}
		one, two := fgstore.VM{Name: "vm-1", State: fgstore.VMLive}, fgstore.VM{Name: "vm-2", State: fgstore.VMLive}
		list(one, two)
		f.kill("vm-2")
		f.kill("vm-3")
		list(fgstore.VM{Name: "vm-1", State: fgstore.VMLeaving})
		select {
		case <-f.entries["vm-1"].stopRequested:
		default:
			t.Error("vm-1 is listed as leaving and does not stop")
		}
		s := f.entries["vm-0"].members.State()
		if _, ok := s.Member("vm-2"); ok {
			t.Error("vm-2 is no longer listed and is still a member")
		}
		if _, ok := s.Member("vm-3"); !ok {
			t.Error("vm-3 was removed though it was never listed")
		}
		restarted := f.start("vm-3", 3)
		time.Sleep(3 * time.Second)
		if m, _ := f.entries["vm-0"].members.State().Member("vm-3"); m.Incarnation != restarted.incarnation.String() {
			t.Error("the newer process of vm-3 has not replaced the older one")
		}
	})
}
