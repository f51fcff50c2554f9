package fgentry

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

const (
	// registerRetryDelay separates attempts to register with the platform.
	registerRetryDelay = 500 * time.Millisecond
	// membershipInterval separates the looks at this process's own record.
	membershipInterval = time.Second
	// absencesBeforeRemoval is how many successive lists must lack a VM that was
	// listed before, because one list may be older than the one before it.
	absencesBeforeRemoval = 3
	// memberWriteTimeout bounds a change of the member journal.
	memberWriteTimeout = 2 * time.Second
	// changeSuffix is the number of random characters in a change id, 5 bits each.
	changeIDSuffixLength = 12
)

// ownRecord returns this process's record in the member journal.
func (e *Entry) ownRecord() (fgmember.Member, bool) {
	return e.members.State().ByIncarnation(e.incarnation.String())
}

// followsPlatform reports whether this process watches the platform itself:
// contacts do, and so do processes that are not registered yet or are leaving,
// which could otherwise be left without any contact.
func (e *Entry) watchesPlatform() bool {
	m, ok := e.ownRecord()
	return !ok || m.Contact || m.Leaving
}

// runMembership registers this process and keeps the member journal in step
// with the VM list until the context ends.
func (e *Entry) runMembership(ctx context.Context) {
	lists := vmListHistory{absences: map[string]int{}}
	var listedAt time.Time
	for ctx.Err() == nil {
		delay := membershipInterval
		m, registered := e.ownRecord()
		switch {
		case e.leaving.Load():
		case !registered:
			if !e.register(ctx) {
				delay = registerRetryDelay
			}
		case m.Leaving:
			e.requestStop("marked as leaving in the member journal")
		case e.members.State().NeedsContact(m):
			e.changeMembers(ctx, "promote-"+m.Incarnation, fgmember.BuildPromote(m))
		}
		if m.Contact && time.Since(listedAt) >= e.members.State().VMListInterval() {
			listedAt = time.Now()
			e.applyVMList(ctx, &lists)
		}
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// register enters this process into the member journal. A process that was
// removed by mistake registers again.
func (e *Entry) register(ctx context.Context) bool {
	err := e.submitMembers(ctx, "register-"+e.incarnation.String(), fgmember.BuildRegister(e.self()))
	switch {
	case err == nil:
		e.logger.Info("registered", "vm", e.settings.raw.VM)
	case !errors.Is(err, context.Canceled):
		e.logger.Info("registration failed, will be repeated", "error", err.Error())
	}
	return err == nil
}

// changeMembers submits a change of the member journal and logs a failure; the
// caller looks at the journal again.
func (e *Entry) changeMembers(ctx context.Context, name string, build fgmember.Build) {
	err := e.submitMembers(ctx, name, build)
	if err != nil && !errors.Is(err, context.Canceled) {
		e.logger.Info("member record not updated", "change", name, "error", err.Error())
	}
}

// submitMembers submits a change of the member journal. Each call is a change of
// its own, because the same may be needed again later.
func (e *Entry) submitMembers(ctx context.Context, name string, build fgmember.Build) error {
	changeID := name + "-" + rand.Text()[:changeIDSuffixLength]
	ctx, cancel := context.WithTimeout(ctx, memberWriteTimeout)
	defer cancel()
	_, err := e.members.Submit(ctx, changeID, build)
	return err
}

// followVMList acts on the platform's VM list.
func (e *Entry) applyVMList(ctx context.Context, lists *vmListHistory) {
	call, cancel := context.WithTimeout(ctx, memberWriteTimeout)
	vms, err := e.vmLister.ListVMs(call)
	cancel()
	if err != nil {
		e.logger.V(1).Info("VM list not read", "error", err.Error())
		return
	}
	gone := lists.add(vms)
	for _, m := range e.members.State().All() {
		switch {
		case m.VM == e.settings.raw.VM:
			if lists.leaving[m.VM] {
				e.requestStop("listed as leaving")
			}
		case gone[m.VM] && !e.reports.Alive(m.Incarnation):
			e.changeMembers(ctx, "remove-"+m.Incarnation, fgmember.BuildRemove(m))
		case lists.leaving[m.VM] && !m.Leaving:
			e.changeMembers(ctx, "leave-"+m.Incarnation, fgmember.BuildLeave(m))
		}
	}
}

// vmLists remembers the VMs that were listed.
type vmListHistory struct {
	// absences counts the successive lists that lack a VM. Only VMs that have
	// been listed are in it.
	absences map[string]int
	leaving  map[string]bool
}

// add takes a list and returns the VMs that have left it for good.
func (l *vmListHistory) add(vms []fgstore.VM) map[string]bool {
	for name := range l.absences {
		l.absences[name]++
	}
	l.leaving = map[string]bool{}
	for _, vm := range vms {
		l.absences[vm.Name] = 0
		l.leaving[vm.Name] = vm.State == fgstore.VMLeaving
	}
	gone := map[string]bool{}
	for name, n := range l.absences {
		gone[name] = n >= absencesBeforeRemoval
	}
	return gone
}

// beginLeaving starts the graceful stop of this process.
func (e *Entry) requestStop(reason string) {
	e.stopOnce.Do(func() {
		e.logger.Info("entry is told to leave", "vm", e.settings.raw.VM, "reason", reason)
		close(e.stopRequested)
	})
}
