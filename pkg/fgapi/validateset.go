package fgapi

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// setValidator checks a set of resources for references to undeclared resources
// and for values that more than one resource uses.
type setValidator struct {
	byRef  map[Ref]Resource
	groups map[string]bool
	// zones maps each availability zone to its Region.
	zones map[string]Resource
	// firstUse maps a value that must be unique to the resource that used it first.
	firstUse map[string]Resource
	errs     []error
}

// validateSet checks resources against each other.
func validateSet(resources []Resource) error {
	v := &setValidator{byRef: map[Ref]Resource{}, groups: map[string]bool{}, zones: map[string]Resource{}, firstUse: map[string]Resource{}}
	for _, r := range resources {
		v.index(r)
	}
	for _, r := range resources {
		v.check(r)
	}
	return errors.Join(v.errs...)
}

// index records what other resources may refer to.
func (v *setValidator) index(r Resource) {
	v.byRef[r.Ref()] = r
	switch spec := r.Spec.(type) {
	case *UpstreamSpec:
		v.groups[spec.Group] = true
	case *RegionSpec:
		for i, zone := range spec.AvailabilityZones {
			if previous, ok := v.zones[zone]; ok && previous.Ref() != r.Ref() {
				v.addError(r.badValue(fmt.Sprintf("spec.availabilityZones[%d]", i), zone, "a name that "+previous.Ref().String()+" does not use"))
				continue
			}
			v.zones[zone] = r
		}
	}
}

func (v *setValidator) addError(err error) {
	if err != nil {
		v.errs = append(v.errs, err)
	}
}

func (v *setValidator) check(r Resource) {
	switch spec := r.Spec.(type) {
	case *WorkspaceSpec:
	case *KeySpec:
		v.requireDeclared(r, "spec.workspace", Ref{KindWorkspace, spec.Workspace})
	case *RouteSpec:
		v.checkRoute(r, spec)
	case *RegionSpec:
		for i, b := range spec.ClientBlocks {
			if p, err := netip.ParsePrefix(b); err == nil {
				v.requireUnique(r, fmt.Sprintf("spec.clientBlocks[%d]", i), b, "block "+p.Masked().String(), "a block that no other region declares")
			}
		}
	case *RegionalCapSpec:
		v.requireDeclared(r, "spec.from", Ref{KindRegion, spec.From})
		v.requireDeclared(r, "spec.to", Ref{KindRegion, spec.To})
		v.requireUnique(r, "spec.to", spec.To, "cap "+spec.From+" to "+spec.To, "one cap for each ordered pair of regions")
	case *UpstreamSpec:
		v.checkUpstream(r, spec)
	case *DrainSpec:
		v.checkDrain(r, spec)
	}
}

// requireDeclared reports a field that refers to an undeclared resource.
func (v *setValidator) requireDeclared(r Resource, field string, target Ref) {
	if _, ok := v.byRef[target]; !ok {
		v.addError(r.badValue(field, target.Name, "the name of a declared "+string(target.Kind)))
	}
}

// requireUnique reports r if another resource has used the same value before. use
// identifies the value and its purpose, for example "address 10.0.0.5:8080".
func (v *setValidator) requireUnique(r Resource, field, value, use, accepted string) {
	previous, ok := v.firstUse[use]
	if !ok {
		v.firstUse[use] = r
		return
	}
	v.addError(r.fieldError(field, "is "+quoteValue(field, value)+", as in "+previous.Ref().String(), accepted))
}

func (v *setValidator) checkRoute(r Resource, s *RouteSpec) {
	if !v.groups[s.UpstreamGroup] {
		v.addError(r.badValue("spec.upstreamGroup", s.UpstreamGroup, "the group of a declared Upstream"))
	}
	prefix := strings.TrimRight(s.PathPrefix, "/")
	for _, m := range s.Methods {
		v.requireUnique(r, "spec.pathPrefix", s.PathPrefix, "route "+m+" "+prefix, "one route for each path prefix and method")
	}
}

func (v *setValidator) checkUpstream(r Resource, s *UpstreamSpec) {
	region := Ref{KindRegion, s.Region}
	v.requireDeclared(r, "spec.region", region)
	if declared, ok := v.byRef[region].Spec.(*RegionSpec); ok && !slices.Contains(declared.AvailabilityZones, s.AvailabilityZone) {
		v.addError(r.badValue("spec.availabilityZone", s.AvailabilityZone, "an availability zone of "+region.String()+": "+strings.Join(declared.AvailabilityZones, ", ")))
	}
	if a, err := netip.ParseAddrPort(s.Address); err == nil {
		v.requireUnique(r, "spec.address", s.Address, "address "+a.String(), "an address that no other upstream has")
	}
}

func (v *setValidator) checkDrain(r Resource, s *DrainSpec) {
	switch s.TargetKind {
	case DrainUpstream:
		v.requireDeclared(r, "spec.target", Ref{KindUpstream, s.Target})
	case DrainRegion:
		v.requireDeclared(r, "spec.target", Ref{KindRegion, s.Target})
	case DrainAvailabilityZone:
		if _, ok := v.zones[s.Target]; !ok {
			v.addError(r.badValue("spec.target", s.Target, "an availability zone of a declared Region"))
		}
	case DrainVM:
		// VMs are not declared as resources.
	}
}
