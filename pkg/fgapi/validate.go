package fgapi

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Validate checks resources as one whole: names, ranges, duplicates and
// references. It reports every fault that it finds.
func Validate(resources []Resource) error {
	var errs []error
	set := map[Ref]bool{}
	for _, r := range resources {
		if set[r.Ref()] {
			errs = append(errs, fault(r.Ref(), "metadata.name", r.Metadata.Name, "a name that is used once for its kind"))
		}
		set[r.Ref()] = true
	}
	for _, r := range resources {
		if !namePattern.MatchString(r.Metadata.Name) {
			errs = append(errs, fault(r.Ref(), "metadata.name", r.Metadata.Name, "1 to 63 of a-z, 0-9, '.' and '-', beginning and ending with a letter or digit"))
		}
		errs = append(errs, validateSpec(r, set))
	}
	return errors.Join(errs...)
}

// fault describes a refused value and what would be accepted in its place.
func fault(ref Ref, field string, value any, accepted string) error {
	return fmt.Errorf("%w: %s: %s is %v; accepted is %s", ErrInvalid, ref, field, value, accepted)
}

func validateSpec(r Resource, set map[Ref]bool) error {
	switch spec := r.Spec.(type) {
	case *WorkspaceSpec:
		return validateWorkspace(r.Ref(), spec)
	case *KeySpec:
		return validateReference(r.Ref(), "spec.workspace", Ref{KindWorkspace, spec.Workspace}, set)
	case *RouteSpec:
		return validateRoute(r.Ref(), spec)
	case *RegionSpec:
		return validateRegion(r.Ref(), spec)
	case *RegionalCapSpec:
		return validateRegionalCap(r.Ref(), spec, set)
	case *UpstreamSpec:
		return validateUpstream(r.Ref(), spec, set)
	case *DrainSpec:
		return validateDrain(r.Ref(), spec, set)
	default:
		return fmt.Errorf("%w: %s: unknown spec type %T", ErrInvalid, r.Ref(), spec)
	}
}

func validateReference(ref Ref, field string, target Ref, set map[Ref]bool) error {
	if set[target] {
		return nil
	}
	return fault(ref, field, fmt.Sprintf("%q", target.Name), "the name of a declared "+string(target.Kind))
}

func validateWorkspace(ref Ref, s *WorkspaceSpec) error {
	var errs []error
	if s.RequestsPerSecond < 1 {
		errs = append(errs, fault(ref, "spec.requestsPerSecond", s.RequestsPerSecond, "a number of requests per second of at least 1"))
	}
	if s.Burst < 1 {
		errs = append(errs, fault(ref, "spec.burst", s.Burst, "a number of requests of at least 1"))
	}
	if s.Weight < 0 {
		errs = append(errs, fault(ref, "spec.weight", s.Weight, "0 (meaning 1) or more"))
	}
	return errors.Join(errs...)
}

func validateRoute(ref Ref, s *RouteSpec) error {
	var errs []error
	if s.PathPrefix == "" || s.PathPrefix[0] != '/' {
		errs = append(errs, fault(ref, "spec.pathPrefix", fmt.Sprintf("%q", s.PathPrefix), "a path that begins with /"))
	}
	if len(s.Methods) == 0 {
		errs = append(errs, fault(ref, "spec.methods", "empty", "at least one HTTP method"))
	}
	if s.Access != AccessOpen && s.Access != AccessKeyed {
		errs = append(errs, fault(ref, "spec.access", fmt.Sprintf("%q", s.Access), "open or keyed"))
	}
	if s.Deadline.Value() <= 0 {
		errs = append(errs, fault(ref, "spec.deadline", s.Deadline.Value(), "a duration above zero, for example 5s"))
	}
	if s.UpstreamGroup == "" {
		errs = append(errs, fault(ref, "spec.upstreamGroup", `""`, "the name of a group of upstreams"))
	}
	return errors.Join(errs...)
}

func validateRegion(ref Ref, s *RegionSpec) error {
	var errs []error
	if len(s.AvailabilityZones) == 0 {
		errs = append(errs, fault(ref, "spec.availabilityZones", "empty", "at least one name"))
	}
	for _, b := range s.ClientBlocks {
		if _, err := netip.ParsePrefix(b); err != nil {
			errs = append(errs, fault(ref, "spec.clientBlocks", fmt.Sprintf("%q", b), "an address prefix, for example 10.1.0.0/16"))
		}
	}
	return errors.Join(errs...)
}

func validateRegionalCap(ref Ref, s *RegionalCapSpec, set map[Ref]bool) error {
	errs := []error{
		validateReference(ref, "spec.from", Ref{KindRegion, s.From}, set),
		validateReference(ref, "spec.to", Ref{KindRegion, s.To}, set),
	}
	if s.From == s.To {
		errs = append(errs, fault(ref, "spec.to", fmt.Sprintf("%q", s.To), "a region other than spec.from"))
	}
	if s.RequestsPerSecond < 0 {
		errs = append(errs, fault(ref, "spec.requestsPerSecond", s.RequestsPerSecond, "0 or more"))
	}
	if s.BitsPerSecond < 0 {
		errs = append(errs, fault(ref, "spec.bitsPerSecond", s.BitsPerSecond, "0 or more"))
	}
	return errors.Join(errs...)
}

func validateUpstream(ref Ref, s *UpstreamSpec, set map[Ref]bool) error {
	errs := []error{validateReference(ref, "spec.region", Ref{KindRegion, s.Region}, set)}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		errs = append(errs, fault(ref, "spec.address", fmt.Sprintf("%q", s.Address), "an IP address and port, for example 10.0.0.5:8080"))
	}
	if s.Group == "" {
		errs = append(errs, fault(ref, "spec.group", `""`, "the name of a group"))
	}
	if s.AvailabilityZone == "" {
		errs = append(errs, fault(ref, "spec.availabilityZone", `""`, "the name of an availability zone"))
	}
	if s.Slots < 0 {
		errs = append(errs, fault(ref, "spec.slots", s.Slots, "0 (undeclared) or more"))
	}
	if s.Connections < 0 {
		errs = append(errs, fault(ref, "spec.connections", s.Connections, "0 (meaning 330) or more"))
	}
	return errors.Join(errs...)
}

func validateDrain(ref Ref, s *DrainSpec, set map[Ref]bool) error {
	switch s.TargetKind {
	case DrainUpstream:
		return validateReference(ref, "spec.target", Ref{KindUpstream, s.Target}, set)
	case DrainRegion:
		return validateReference(ref, "spec.target", Ref{KindRegion, s.Target}, set)
	case DrainVM, DrainAvailabilityZone:
		if s.Target != "" {
			return nil
		}
		return fault(ref, "spec.target", `""`, "a name")
	default:
		kinds := []DrainTarget{DrainUpstream, DrainVM, DrainAvailabilityZone, DrainRegion}
		return fault(ref, "spec.targetKind", fmt.Sprintf("%q", s.TargetKind), fmt.Sprint(slices.Clone(kinds)))
	}
}
