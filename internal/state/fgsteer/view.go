package fgsteer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// UpstreamSpec describes an upstream as it registered itself.
type UpstreamSpec struct {
	// ID identifies one instance of an upstream program.
	ID               string
	Group            string
	Address          string
	AvailabilityZone string
	Region           string
	Version          string
	Slots            int
	Draining         bool
	// ColdUntil is when the upstream reaches its full speed. It is zero for an
	// upstream that is not cold.
	ColdUntil time.Time
	// Started is when the upstream's process started, by its own clock.
	Started time.Time
	// Sequence rises with each report of the upstream's process. Zero means that it is
	// not known.
	Sequence uint64
}

// Upstream is an upstream of a View.
type Upstream struct{ spec UpstreamSpec }

// Spec returns the description that the upstream registered.
func (u *Upstream) Spec() *UpstreamSpec { return &u.spec }

// MemberSpec describes a running gateway as it registered itself.
type MemberSpec struct {
	VM               string
	Incarnation      uint64
	AvailabilityZone string
	Region           string
	CallerAddress    string
	PeerAddress      string
	// Capacity is how many requests per second the gateway's VM is fit for, relative
	// to the others. Zero means that it is not known.
	Capacity float64
}

// CompareCapacity orders gateways by descending capacity, and those of equal capacity by
// a hash of their names. Work that one gateway does for others goes to the first: on a
// slow link it would be late and delay the gateway's own responses.
func CompareCapacity(a, b MemberSpec) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)),
		cmp.Compare(a.VM, b.VM),
	)
}

// View is a snapshot of the data by which requests are routed. It is immutable.
type View struct {
	revision int64
	policy   *Policy
	groups   map[string][]*Upstream
	members  []MemberSpec
	drained  map[string]bool
}

// ViewSpec holds the data of a View.
type ViewSpec struct {
	// Revision is the revision of the store at which the data was read.
	Revision  int64
	Policy    *Policy
	Upstreams []UpstreamSpec
	Members   []MemberSpec
	// Drained lists the availability zones that operators have drained.
	Drained []string
}

// NewView returns a view of the data in s.
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

// Revision returns the revision of the store at which the view was read.
func (v *View) Revision() int64 { return v.revision }

// Policy returns the policy in force, or nil if none is known.
func (v *View) Policy() *Policy { return v.policy }

// Upstreams returns a group's upstreams sorted by ID, including draining ones.
func (v *View) Upstreams(group string) []*Upstream { return v.groups[group] }

// Groups returns the upstreams of each group, sorted by ID.
func (v *View) Groups() map[string][]*Upstream { return v.groups }

// Members returns the registered gateways, sorted by VM.
func (v *View) Members() []MemberSpec { return v.members }

// Drained reports whether operators have drained an availability zone.
func (v *View) Drained(zone string) bool { return v.drained[zone] }
