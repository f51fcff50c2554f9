package fgapi

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Upper limits of declared values. They keep sums over many resources within 63
// bits. MaxRate is in requests per second and also limits bursts in requests.
const (
	MaxRate            = 1_000_000_000
	MaxWeight          = 1_000_000
	MaxSlots           = 1_000_000
	MaxConnections     = 1_000_000
	MaxDeadlineSeconds = 3600
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern   = regexp.MustCompile(`^/[^?#%\s]*$`)
)

const acceptedName = "1 to 63 of a-z, 0-9, '.' and '-', beginning and ending with a letter or digit"

// reservedPath is the path prefix of the system's own interfaces on the listener
// for callers.
const reservedPath = "/fg"

// fieldError reports an invalid field. value is a predicate such as "is empty".
func (r Resource) fieldError(field, value, accepted string) error {
	file, line := r.origin.at(field)
	return &FieldError{file: file, line: line, resource: displayRef(r.Ref()), field: field, value: value, accepted: accepted}
}

// badValue reports an invalid field and quotes its value.
func (r Resource) badValue(field, value, accepted string) error {
	return r.fieldError(field, "is "+quoteValue(field, value), accepted)
}

// checkRange reports a number outside of low to high.
func (r Resource) checkRange(field string, value, low, high int64, accepted string) error {
	if value >= low && value <= high {
		return nil
	}
	return r.fieldError(field, fmt.Sprintf("is %d", value), fmt.Sprintf("%s from %d to %d", accepted, low, high))
}

// Validate checks a complete configuration: names, ranges, duplicates, references
// and contradictions. Its error joins one FieldError per invalid field.
func Validate(resources []Resource) error {
	errs := []error{checkDuplicates(resources)}
	for _, r := range resources {
		errs = append(errs, validateResource(r))
	}
	errs = append(errs, validateSet(resources))
	return errors.Join(errs...)
}

// validateResource checks the fields of one resource without the others.
func validateResource(r Resource) error {
	var errs []error
	if !namePattern.MatchString(r.Metadata.Name) {
		errs = append(errs, r.badValue("metadata.name", r.Metadata.Name, acceptedName))
	}
	switch spec := r.Spec.(type) {
	case *WorkspaceSpec:
		errs = append(errs, validateWorkspace(r, spec)...)
	case *KeySpec:
		if !digestPattern.MatchString(spec.Digest) {
			errs = append(errs, r.badValue("spec.digest", spec.Digest, "64 lower-case hex digits; key issue writes them"))
		}
	case *RouteSpec:
		errs = append(errs, validateRoute(r, spec)...)
	case *RegionSpec:
		errs = append(errs, validateRegion(r, spec)...)
	case *RegionalCapSpec:
		errs = append(errs, validateRegionalCap(r, spec)...)
	case *UpstreamSpec:
		errs = append(errs, validateUpstream(r, spec)...)
	case *DrainSpec:
		errs = append(errs, validateDrain(r, spec)...)
	default:
		errs = append(errs, r.fieldError("spec", fmt.Sprintf("has the unknown type %T", spec), "a spec of the kind"))
	}
	return errors.Join(errs...)
}

func validateWorkspace(r Resource, s *WorkspaceSpec) []error {
	return []error{
		r.checkRange("spec.requestsPerSecond", s.RequestsPerSecond, 1, MaxRate, "a number of requests per second"),
		r.checkRange("spec.burst", s.Burst, 1, MaxRate, "a number of requests"),
		r.checkRange("spec.weight", s.Weight, 0, MaxWeight, "a weight"),
	}
}

func validateRoute(r Resource, s *RouteSpec) []error {
	var errs []error
	if !pathPattern.MatchString(s.PathPrefix) {
		errs = append(errs, r.badValue("spec.pathPrefix", s.PathPrefix, "a path that begins with / and has no query, fragment, escape or space"))
	}
	if s.PathPrefix == reservedPath || strings.HasPrefix(s.PathPrefix, reservedPath+"/") {
		errs = append(errs, r.badValue("spec.pathPrefix", s.PathPrefix, "a path outside of "+reservedPath+", which is the system's own"))
	}
	errs = append(errs, validateMethods(r, s.Methods)...)
	if s.Access != AccessOpen && s.Access != AccessKeyed {
		errs = append(errs, r.badValue("spec.access", string(s.Access), "open or keyed"))
	}
	if d := s.Deadline.Value(); d <= 0 || d.Seconds() > MaxDeadlineSeconds {
		errs = append(errs, r.badValue("spec.deadline", d.String(), "a duration above 0s and up to 1h, for example 5s"))
	}
	if !namePattern.MatchString(s.UpstreamGroup) {
		errs = append(errs, r.badValue("spec.upstreamGroup", s.UpstreamGroup, "the name of a group of upstreams"))
	}
	return errs
}

func validateMethods(r Resource, methods []string) []error {
	accepted := []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions}
	if len(methods) == 0 {
		return []error{r.fieldError("spec.methods", "is empty", "at least one of "+strings.Join(accepted, ", "))}
	}
	var errs []error
	for i, m := range methods {
		field := fmt.Sprintf("spec.methods[%d]", i)
		if !slices.Contains(accepted, m) {
			errs = append(errs, r.badValue(field, m, "one of "+strings.Join(accepted, ", ")))
		} else if slices.Contains(methods[:i], m) {
			errs = append(errs, r.badValue(field, m, "each method once"))
		}
	}
	return errs
}

// Prefix lengths that the look-up table of client blocks supports.
const (
	minBlockBits     = 8
	maxBlockBitsIPv6 = 64
)

func validateRegion(r Resource, s *RegionSpec) []error {
	var errs []error
	if len(s.AvailabilityZones) == 0 {
		errs = append(errs, r.fieldError("spec.availabilityZones", "is empty", "at least one name"))
	}
	for i, zone := range s.AvailabilityZones {
		field := fmt.Sprintf("spec.availabilityZones[%d]", i)
		if !namePattern.MatchString(zone) {
			errs = append(errs, r.badValue(field, zone, acceptedName))
		} else if slices.Contains(s.AvailabilityZones[:i], zone) {
			errs = append(errs, r.badValue(field, zone, "each name once"))
		}
	}
	for i, b := range s.ClientBlocks {
		field := fmt.Sprintf("spec.clientBlocks[%d]", i)
		p, err := netip.ParsePrefix(b)
		switch {
		case err != nil || p != p.Masked():
			errs = append(errs, r.badValue(field, b, "an address prefix whose remaining bits are zero, for example 10.1.0.0/16"))
		case p.Bits() < minBlockBits || p.Addr().Is6() && p.Bits() > maxBlockBitsIPv6:
			errs = append(errs, r.badValue(field, b, "an IPv4 prefix of /8 to /32 or an IPv6 prefix of /8 to /64"))
		}
	}
	return errs
}

func validateRegionalCap(r Resource, s *RegionalCapSpec) []error {
	errs := []error{
		r.checkRange("spec.requestsPerSecond", s.RequestsPerSecond, 0, MaxRate, "a number of requests per second"),
	}
	if s.From == s.To {
		errs = append(errs, r.badValue("spec.to", s.To, "a region other than spec.from"))
	}
	if s.BitsPerSecond < 0 {
		errs = append(errs, r.badValue("spec.bitsPerSecond", s.BitsPerSecond.String(), "0bit or more"))
	}
	return errs
}

func validateUpstream(r Resource, s *UpstreamSpec) []error {
	errs := []error{
		r.checkRange("spec.slots", s.Slots, 0, MaxSlots, "a number of requests at once"),
		r.checkRange("spec.connections", s.Connections, 0, MaxConnections, "a number of connections"),
	}
	if a, err := netip.ParseAddrPort(s.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		errs = append(errs, r.badValue("spec.address", s.Address, "an IP address and port, for example 10.0.0.5:8080"))
	}
	if !namePattern.MatchString(s.Group) {
		errs = append(errs, r.badValue("spec.group", s.Group, acceptedName))
	}
	return errs
}

func validateDrain(r Resource, s *DrainSpec) []error {
	switch s.TargetKind {
	case DrainUpstream, DrainVM, DrainAvailabilityZone, DrainRegion:
	default:
		return []error{r.badValue("spec.targetKind", string(s.TargetKind), "one of Upstream, VM, AvailabilityZone, Region")}
	}
	if s.Target == "" {
		return []error{r.badValue("spec.target", s.Target, "the name of the "+string(s.TargetKind))}
	}
	return nil
}
