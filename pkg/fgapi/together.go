package fgapi

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// together checks resources against each other.
type together struct {
	byRef  map[Ref]Resource
	groups map[string]bool
	zones  map[string]Resource
	// first holds the resource that first used something that only one may use.
	first map[string]Resource
	errs  []error
}

func validateTogether(resources []Resource) error {
	t := &together{byRef: map[Ref]Resource{}, groups: map[string]bool{}, zones: map[string]Resource{}, first: map[string]Resource{}}
	for _, r := range resources {
		t.index(r)
	}
	for _, r := range resources {
		t.check(r)
	}
	return errors.Join(t.errs...)
}

func (t *together) index(r Resource) {
	t.byRef[r.Ref()] = r
	switch spec := r.Spec.(type) {
	case *UpstreamSpec:
		t.groups[spec.Group] = true
	case *RegionSpec:
		for i, zone := range spec.AvailabilityZones {
			if old, ok := t.zones[zone]; ok && old.Ref() != r.Ref() {
				t.add(r.faultText(fmt.Sprintf("spec.availabilityZones[%d]", i), zone, "a name that "+old.Ref().String()+" does not use"))
				continue
			}
			t.zones[zone] = r
		}
	}
}

func (t *together) add(err error) {
	if err != nil {
		t.errs = append(t.errs, err)
	}
}

func (t *together) check(r Resource) {
	switch spec := r.Spec.(type) {
	case *WorkspaceSpec:
	case *KeySpec:
		t.reference(r, "spec.workspace", Ref{KindWorkspace, spec.Workspace})
	case *RouteSpec:
		t.checkRoute(r, spec)
	case *RegionSpec:
		for i, b := range spec.ClientBlocks {
			if p, err := netip.ParsePrefix(b); err == nil {
				t.once(r, fmt.Sprintf("spec.clientBlocks[%d]", i), b, "block "+p.Masked().String(), "a block that no other region declares")
			}
		}
	case *RegionalCapSpec:
		t.reference(r, "spec.from", Ref{KindRegion, spec.From})
		t.reference(r, "spec.to", Ref{KindRegion, spec.To})
		t.once(r, "spec.to", spec.To, "cap "+spec.From+" to "+spec.To, "one cap for each ordered pair of regions")
	case *UpstreamSpec:
		t.checkUpstream(r, spec)
	case *DrainSpec:
		t.checkDrain(r, spec)
	}
}

func (t *together) reference(r Resource, field string, target Ref) {
	if _, ok := t.byRef[target]; !ok {
		t.add(r.faultText(field, target.Name, "the name of a declared "+string(target.Kind)))
	}
}

// once reports the second resource that uses something.
func (t *together) once(r Resource, field, value, use, accepted string) {
	old, ok := t.first[use]
	if !ok {
		t.first[use] = r
		return
	}
	t.add(r.fault(field, "is "+quote(field, value)+", as in "+old.Ref().String(), accepted))
}

func (t *together) checkRoute(r Resource, s *RouteSpec) {
	if !t.groups[s.UpstreamGroup] {
		t.add(r.faultText("spec.upstreamGroup", s.UpstreamGroup, "the group of a declared Upstream"))
	}
	prefix := strings.TrimRight(s.PathPrefix, "/")
	for _, m := range s.Methods {
		t.once(r, "spec.pathPrefix", s.PathPrefix, "route "+m+" "+prefix, "one route for each path prefix and method")
	}
}

func (t *together) checkUpstream(r Resource, s *UpstreamSpec) {
	region := Ref{KindRegion, s.Region}
	t.reference(r, "spec.region", region)
	if declared, ok := t.byRef[region].Spec.(*RegionSpec); ok && !slices.Contains(declared.AvailabilityZones, s.AvailabilityZone) {
		t.add(r.faultText("spec.availabilityZone", s.AvailabilityZone, "an availability zone of "+region.String()+": "+strings.Join(declared.AvailabilityZones, ", ")))
	}
	if a, err := netip.ParseAddrPort(s.Address); err == nil {
		t.once(r, "spec.address", s.Address, "address "+a.String(), "an address that no other upstream has")
	}
}

func (t *together) checkDrain(r Resource, s *DrainSpec) {
	switch s.TargetKind {
	case DrainUpstream:
		t.reference(r, "spec.target", Ref{KindUpstream, s.Target})
	case DrainRegion:
		t.reference(r, "spec.target", Ref{KindRegion, s.Target})
	case DrainAvailabilityZone:
		if _, ok := t.zones[s.Target]; !ok {
			t.add(r.faultText("spec.target", s.Target, "an availability zone of a declared Region"))
		}
	case DrainVM:
		// VMs come and go without being declared.
	}
}
