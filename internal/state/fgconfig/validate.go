package fgconfig

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// maxReportedReferrers bounds the number of resources in an error that refer to a
// deleted one.
const maxReportedReferrers = 10

// validate checks the resources that a change puts, the resources that they refer
// to, and the resources that refer to deleted ones. All other resources were valid
// before and cannot have become invalid. The receiver is the snapshot after the
// change.
func (s *Snapshot) validate(c Change) error {
	subset := &subset{snapshot: s, seen: map[fgapi.Ref]bool{}}
	// All resources of the change are added before their references, so that one
	// that another refers to is not added twice. A resource that the change itself
	// contains twice stays a duplicate, which Validate reports.
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

// topologyKinds are the kinds whose resources are validated against each other:
// their prefixes, addresses, zones and groups must be unique or must exist.
var topologyKinds = [...]fgapi.Kind{
	fgapi.KindRoute, fgapi.KindRegion, fgapi.KindRegionalCap, fgapi.KindUpstream, fgapi.KindDrain,
}

// touchesTopology reports whether a change requires a validation of the whole
// topology. Changes of keys and workspaces, which are numerous and frequent, do not.
func touchesTopology(c Change) bool {
	isTopology := func(k fgapi.Kind) bool { return slices.Contains(topologyKinds[:], k) }
	return slices.ContainsFunc(c.Put, func(r fgapi.Resource) bool { return isTopology(r.Kind) }) ||
		slices.ContainsFunc(c.Delete, func(r fgapi.Ref) bool { return isTopology(r.Kind) })
}

// addTopology adds all resources of topologyKinds.
func (s *subset) addTopology() {
	for _, k := range topologyKinds {
		for _, r := range s.snapshot.Resources(k) {
			s.add(r.Ref())
		}
	}
}

// subset collects resources of a snapshot together with all resources that they
// refer to, directly or indirectly.
type subset struct {
	snapshot  *Snapshot
	seen      map[fgapi.Ref]bool
	resources []fgapi.Resource
}

// add adds the resource of a reference, if it exists, and its references.
func (s *subset) add(ref fgapi.Ref) {
	r, ok := s.snapshot.Resource(ref)
	if !ok || s.seen[ref] {
		return
	}
	s.seen[ref] = true
	s.resources = append(s.resources, r)
	s.addReferences(r)
}

// addReferences adds the resources that a resource refers to.
func (s *subset) addReferences(r fgapi.Resource) {
	for _, target := range references(r) {
		s.add(target)
	}
}

// referrersOf returns up to maxReportedReferrers resources that refer to a target.
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

// referrerKey returns the index key of a reference. The keys of all references to
// one target share the prefix target + "\x00".
func referrerKey(target, referrer fgapi.Ref) string {
	return target.String() + "\x00" + referrer.String()
}

// references returns references to the resources that a resource refers to.
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

// dump is the JSON form of a snapshot.
type dump struct {
	Generation uint64           `json:"generation"`
	Resources  []fgapi.Resource `json:"resources"`
}

// Dump encodes a snapshot as JSON.
func Dump(s *Snapshot) ([]byte, error) {
	return json.Marshal(dump{Generation: s.generation, Resources: s.All()})
}

// Load decodes a snapshot that Dump encoded.
func Load(data []byte) (*Snapshot, error) {
	var d dump
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	s := Empty().withChange(Change{Put: d.Resources})
	s.generation = d.Generation
	return s, nil
}
