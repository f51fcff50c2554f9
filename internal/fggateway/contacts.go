package fggateway

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmirror"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
)

const (
	// followWait is how long a contact waits for a change before it responds. With the
	// margin of the call it bounds the time after which a frozen contact is left.
	followWait = time.Second
	// contactAvoidTime is how long a contact is avoided after its copy could not be
	// followed. Then the other contact or the store is followed.
	contactAvoidTime = 5 * time.Second
)

// contacts chooses the gateway whose copy of the store this gateway follows.
type contacts struct {
	gateway *Gateway

	mu         sync.Mutex
	current    *contact
	avoidUntil map[string]time.Time
	// source is the VM that is followed, or empty for the store.
	source string
}

// contact is one gateway whose copy is followed.
type contact struct {
	contacts *contacts
	vm       string
	address  string
	follower *fggossip.StoreFollower
}

// next returns the contact to follow now, or nil for the store.
func (c *contacts) next() fgmirror.Contact {
	g := c.gateway
	v := g.mirror.View()
	if v == nil {
		return nil
	}
	chosen := c.choose(v.Members())
	c.mu.Lock()
	defer c.mu.Unlock()
	if chosen.VM != c.source {
		g.logger.Info("store source changed", "from", c.source, "to", chosen.VM, "revision", g.mirror.Revision())
		c.source = chosen.VM
	}
	if c.current != nil && (c.current.vm != chosen.VM || c.current.address != chosen.PeerAddress) {
		c.current.follower.Close()
		c.current = nil
	}
	if chosen.VM == "" {
		return nil
	}
	if c.current == nil {
		c.current = &contact{contacts: c, vm: chosen.VM, address: chosen.PeerAddress, follower: fggossip.NewStoreFollower(chosen.PeerAddress)}
	}
	return c.current
}

// choose returns the gateway to follow, or an empty one for the store. A contact that
// failed is still a contact for the others, so that it is not replaced by one that
// they do not follow.
func (c *contacts) choose(members []fgsteer.MemberSpec) fgsteer.MemberSpec {
	g := c.gateway
	self := g.settings.Self
	all := fgmirror.Contacts(members, self.AvailabilityZone, g.isAvailable)
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []fgsteer.MemberSpec
	for _, m := range all {
		if m.VM == self.VM {
			return fgsteer.MemberSpec{}
		}
		if g.mayFollow(m.VM) && time.Now().After(c.avoidUntil[m.VM]) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return fgsteer.MemberSpec{}
	}
	return usable[self.Incarnation%uint64(len(usable))]
}

// avoidCurrent avoids the contact that is followed, if there is one.
func (c *contacts) avoidCurrent(reason string) {
	c.mu.Lock()
	current := c.current
	c.mu.Unlock()
	if current != nil {
		current.Failed(reason)
	}
}

// Changes implements fgmirror.Contact.
func (c *contact) Changes(ctx context.Context, after fgstore.Position) (fgmirror.Changes, error) {
	response, err := c.follower.Follow(ctx, after, followWait)
	if err != nil {
		return fgmirror.Changes{}, err
	}
	changes := fgmirror.Changes{
		Complete: response.GetComplete(), Position: positionOf(response), Recovering: response.GetRecovering(), Fresh: response.GetFresh(),
	}
	for _, e := range response.GetEvents() {
		changes.Events = append(changes.Events, fgstore.Event{
			Value: fgstore.Value{Key: e.GetKey(), Data: e.GetValue(), Revision: e.GetRevision()}, Deleted: e.GetDeleted(),
		})
	}
	return changes, nil
}

// Failed implements fgmirror.Contact.
func (c *contact) Failed(reason string) {
	c.contacts.mu.Lock()
	defer c.contacts.mu.Unlock()
	if c.contacts.avoidUntil == nil {
		c.contacts.avoidUntil = map[string]time.Time{}
	}
	if time.Now().Before(c.contacts.avoidUntil[c.vm]) {
		return
	}
	c.contacts.avoidUntil[c.vm] = time.Now().Add(contactAvoidTime)
	c.contacts.gateway.logger.Info("contact for the store is avoided", "contact", c.vm, "reason", reason)
}

// FollowStore waits for changes of this gateway's copy of the store.
func (s storeService) FollowStore(ctx context.Context, r *fgwire.FollowRequest) (*fgwire.StoreChanges, error) {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, followWait)
	changes := s.gateway.mirror.ChangesAfter(ctx, positionOf(r), wait)
	response := &fgwire.StoreChanges{Era: changes.Position.Era, Revision: changes.Position.Revision, Complete: changes.Complete, Recovering: changes.Recovering, Fresh: changes.Fresh && !s.gateway.leaving.Load()}
	for _, e := range changes.Events {
		response.Events = append(response.Events, &fgwire.StoreEvent{Key: e.Key, Value: e.Data, Revision: e.Revision, Deleted: e.Deleted})
	}
	s.gateway.metrics.PeerBytes("changes", reachZone, proto.Size(response))
	return response, nil
}
