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
	// registerRetryDelay separates attempts to register in the member journal.
	registerRetryDelay = 500 * time.Millisecond
	// membershipInterval separates checks of this process's own record.
	membershipInterval = time.Second
	// absencesBeforeRemoval is how many successive lists must lack a VM that
	// was listed before. A single list may be older than the one before it.
	absencesBeforeRemoval = 3
	// memberWriteTimeout bounds a change of the member journal and a read of
	// the VM list.
	memberWriteTimeout = 2 * time.Second
	// changeIDSuffixLength is the number of random characters in a change id, 5
	// bits each.
	changeIDSuffixLength = 12
)

// ownRecord returns this process's record in the member journal.
func (e *Entry) ownRecord() (fgmember.Member, bool) {
	return e.members.State().ByIncarnation(e.incarnation.String())
}

// watchesPlatform reports whether this process follows the journals on the
// platform itself. Contacts do, and so do processes that are not registered yet
// or are leaving, because they might otherwise reach no contact.
func (e *Entry) watchesPlatform() bool {
	m, ok := e.ownRecord()
	return !ok || m.Contact || m.Leaving
}

// runMembership registers this process and keeps the member journal consistent
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

// register adds this process to the member journal. A process that was removed
// by mistake registers again.
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

// changeMembers submits a change of the member journal and logs a failure. The
// caller checks the journal again later.
func (e *Entry) changeMembers(ctx context.Context, name string, build fgmember.Build) {
	err := e.submitMembers(ctx, name, build)
	if err != nil && !errors.Is(err, context.Canceled) {
		e.logger.Info("member record not updated", "change", name, "error", err.Error())
	}
}

// submitMembers submits a change of the member journal. Each call uses a new
// change id, because the same change may be needed again later.
func (e *Entry) submitMembers(ctx context.Context, name string, build fgmember.Build) error {
	changeID := name + "-" + rand.Text()[:changeIDSuffixLength]
	ctx, cancel := context.WithTimeout(ctx, memberWriteTimeout)
	defer cancel()
	_, err := e.members.Submit(ctx, changeID, build)
	return err
}

// applyVMList reads the platform's VM list and acts on VMs that are leaving or
// no longer listed.
func (e *Entry) applyVMList(ctx context.Context, lists *vmListHistory) {
	call, cancel := context.WithTimeout(ctx, memberWriteTimeout)
	vms, err := e.vmLister.ListVMs(call)
	cancel()
	if err != nil {
		e.logger.V(1).Info("VM list not read", "error", err.Error())
		return
	}
	departed := lists.add(vms)
	for _, m := range e.members.State().All() {
		switch {
		case m.VM == e.settings.raw.VM:
			if lists.leaving[m.VM] {
				e.requestStop("listed as leaving by the platform")
			}
		case departed[m.VM] && !e.reports.Alive(m.Incarnation):
			e.changeMembers(ctx, "remove-"+m.Incarnation, fgmember.BuildRemove(m))
		case lists.leaving[m.VM] && !m.Leaving:
			e.changeMembers(ctx, "leave-"+m.Incarnation, fgmember.BuildLeave(m))
		}
	}
}

// vmListHistory tracks which VMs the previous lists contained.
type vmListHistory struct {
	// absences counts the successive lists that lack a VM. It contains only VMs
	// that have been listed.
	absences map[string]int
	leaving  map[string]bool
}

// add records a list and returns the VMs that have been absent from
// absencesBeforeRemoval successive lists.
func (l *vmListHistory) add(vms []fgstore.VM) map[string]bool {
	for name := range l.absences {
		l.absences[name]++
	}
	l.leaving = map[string]bool{}
	for _, vm := range vms {
		l.absences[vm.Name] = 0
		l.leaving[vm.Name] = vm.State == fgstore.VMLeaving
	}
	departed := map[string]bool{}
	for name, n := range l.absences {
		departed[name] = n >= absencesBeforeRemoval
	}
	return departed
}

// requestStop starts the graceful stop of this process.
func (e *Entry) requestStop(reason string) {
	e.stopOnce.Do(func() {
		e.logger.Info("entry was asked to leave the fleet", "vm", e.settings.raw.VM, "reason", reason)
		close(e.stopRequested)
	})
}
