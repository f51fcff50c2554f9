package fgsteer

import (
	"slices"
	"strings"
	"time"
)

// UpstreamSpec is what an upstream says about itself.
type UpstreamSpec struct {
	// ID names one start of an upstream program.
	ID               string
	Group            string
	Address          string
	AvailabilityZone string
	Region           string
	Version          string
	Slots            int
	Draining         bool
	// ColdUntil is when the upstream has its full speed. Zero: it has it.
	ColdUntil time.Time
	// Started is when the upstream's program started, by its own clock.
	Started time.Time
}

// Upstream is a known upstream.
type Upstream struct{ spec UpstreamSpec }

// Spec returns what the upstream says about itself.
func (u *Upstream) Spec() *UpstreamSpec { return &u.spec }

// MemberSpec is one running gateway as it registered itself.
type MemberSpec struct {
	VM               string
	Incarnation      uint64
	AvailabilityZone string
	Region           string
	CallerAddress    string
	PeerAddress      string
}

// View is everything that a request is steered by. It is immutable.
type View struct {
	revision int64
	policy   *Policy
	groups   map[string][]*Upstream
	members  []MemberSpec
	drained  map[string]bool
}

// ViewSpec lists the parts of a View.
type ViewSpec struct {
	// Revision is the store's revision that the parts were read at.
	Revision  int64
	Policy    *Policy
	Upstreams []UpstreamSpec
	Members   []MemberSpec
	// Drained names the availability zones that operators have emptied.
	Drained []string
}

// NewView indexes the parts of a view.
func NewView(s ViewSpec) *View {
	v := &View{revision: s.Revision, policy: s.Policy, groups: map[string][]*Upstream{}, drained: map[string]bool{}}
	for _, z := range s.Drained {
		v.drained[z] = true
	}
	for _, u := range s.Upstreams {
		v.groups[u.Group] = append(v.groups[u.Group], &Upstream{spec: u})
	}
	for _, group := range v.groups {
		slices.SortFunc(group, func(a, b *Upstream) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	}
	v.members = slices.Clone(s.Members)
	slices.SortFunc(v.members, func(a, b MemberSpec) int { return strings.Compare(a.VM, b.VM) })
	return v
}

// Revision returns the store's revision that the view was read at.
func (v *View) Revision() int64 { return v.revision }

// Policy returns the policy in force, or nil if none is known.
func (v *View) Policy() *Policy { return v.policy }

// Upstreams returns a group's upstreams, those that leave included.
func (v *View) Upstreams(group string) []*Upstream { return v.groups[group] }

// Groups returns the upstreams by group.
func (v *View) Groups() map[string][]*Upstream { return v.groups }

// Members returns the registered gateways by name.
func (v *View) Members() []MemberSpec { return v.members }

// Drained reports whether operators have emptied an availability zone.
func (v *View) Drained(zone string) bool { return v.drained[zone] }
