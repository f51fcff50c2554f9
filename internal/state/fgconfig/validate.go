package fgconfig

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// maxReportedReferrers bounds how many resources are named that refer to a
// deleted one.
const maxReportedReferrers = 10

// validate checks what a change touched, what that refers to, and what refers
// to the resources that it removed. Everything else was valid before and cannot
// have become invalid. The receiver is the snapshot after the change.
func (s *Snapshot) validate(c Change) error {
	subset := &subset{snapshot: s, seen: map[fgapi.Ref]bool{}}
	// All that the change puts comes first, so that a resource that is named by
	// an earlier one is not taken for a duplicate. Validate reports one that the
	// change puts twice.
	for _, r := range c.Put {
		subset.seen[r.Ref()] = true
		subset.resources = append(subset.resources, r)
	}
	for _, r := range c.Put {
		subset.addReferences(r)
	}
	if touchesTopology(c) {
		subset.addTopology()
	}
	for _, ref := range c.Delete {
		if _, ok := s.Resource(ref); ok {
			continue
		}
		for _, referrer := range s.referrersOf(ref) {
			subset.add(referrer)
		}
	}
	return fgapi.Validate(subset.resources)
}

// topologyKinds are the kinds whose resources are checked against each other:
// prefixes, addresses, zones and groups that only one may use, or one must have.
var topologyKinds = [...]fgapi.Kind{
	fgapi.KindRoute, fgapi.KindRegion, fgapi.KindRegionalCap, fgapi.KindUpstream, fgapi.KindDrain,
}

// touchesTopology reports whether a change needs the whole topology to be
// checked. Changes of keys and workspaces, which are the many and frequent
// ones, do not.
func touchesTopology(c Change) bool {
	isTopology := func(k fgapi.Kind) bool { return slices.Contains(topologyKinds[:], k) }
	return slices.ContainsFunc(c.Put, func(r fgapi.Resource) bool { return isTopology(r.Kind) }) ||
		slices.ContainsFunc(c.Delete, func(r fgapi.Ref) bool { return isTopology(r.Kind) })
}

func (s *subset) addTopology() {
	for _, k := range topologyKinds {
		for _, r := range s.snapshot.Resources(k) {
			s.add(r.Ref())
		}
	}
}

// subset collects resources together with everything that they refer to.
type subset struct {
	snapshot  *Snapshot
	seen      map[fgapi.Ref]bool
	resources []fgapi.Resource
}

func (s *subset) add(ref fgapi.Ref) {
	r, ok := s.snapshot.Resource(ref)
	if !ok || s.seen[ref] {
		return
	}
	s.seen[ref] = true
	s.resources = append(s.resources, r)
	s.addReferences(r)
}

func (s *subset) addReferences(r fgapi.Resource) {
	for _, target := range references(r) {
		s.add(target)
	}
}

func (s *Snapshot) referrersOf(target fgapi.Ref) []fgapi.Ref {
	var out []fgapi.Ref
	prefix := target.String() + "\x00"
	it := s.referrers.Iterator()
	it.Seek(prefix)
	for !it.Done() && len(out) < maxReportedReferrers {
		k, ref, _ := it.Next()
		if !strings.HasPrefix(k, prefix) {
			break
		}
		out = append(out, ref)
	}
	return out
}

func referrerKey(target, referrer fgapi.Ref) string {
	return target.String() + "\x00" + referrer.String()
}

// references returns the resources that a resource names.
func references(r fgapi.Resource) []fgapi.Ref {
	switch spec := r.Spec.(type) {
	case *fgapi.KeySpec:
		return []fgapi.Ref{{Kind: fgapi.KindWorkspace, Name: spec.Workspace}}
	case *fgapi.RegionalCapSpec:
		return []fgapi.Ref{{Kind: fgapi.KindRegion, Name: spec.From}, {Kind: fgapi.KindRegion, Name: spec.To}}
	case *fgapi.UpstreamSpec:
		return []fgapi.Ref{{Kind: fgapi.KindRegion, Name: spec.Region}}
	case *fgapi.DrainSpec:
		return drainReferences(spec)
	default:
		return nil
	}
}

func drainReferences(s *fgapi.DrainSpec) []fgapi.Ref {
	switch s.TargetKind {
	case fgapi.DrainUpstream:
		return []fgapi.Ref{{Kind: fgapi.KindUpstream, Name: s.Target}}
	case fgapi.DrainRegion:
		return []fgapi.Ref{{Kind: fgapi.KindRegion, Name: s.Target}}
	default:
		return nil
	}
}

type dumped struct {
	Generation uint64           `json:"generation"`
	Resources  []fgapi.Resource `json:"resources"`
}

// Dump writes a snapshot for Load.
func Dump(s *Snapshot) ([]byte, error) {
	return json.Marshal(dumped{Generation: s.generation, Resources: s.All()})
}

// Load reads a snapshot that Dump wrote.
func Load(data []byte) (*Snapshot, error) {
	var d dumped
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	s := Empty().with(Change{Put: d.Resources})
	s.generation = d.Generation
	return s, nil
}
