// Package fgapi defines the resources that operators declare, their YAML and
// JSON form, and their validation.
package fgapi

import (
	"strings"
	"time"
)

// Version is the apiVersion of every resource.
const Version = "filbertgap/v1"

// Kind names a type of resource.
type Kind string

// The kinds of resources.
const (
	KindWorkspace   Kind = "Workspace"
	KindKey         Kind = "Key"
	KindRoute       Kind = "Route"
	KindRegion      Kind = "Region"
	KindRegionalCap Kind = "RegionalCap"
	KindUpstream    Kind = "Upstream"
	KindDrain       Kind = "Drain"
)

// Kinds returns all kinds in the order in which help and errors list them.
func Kinds() []Kind {
	return []Kind{KindWorkspace, KindKey, KindRoute, KindRegion, KindRegionalCap, KindUpstream, KindDrain}
}

// ParseKind accepts a kind's name in any case, singular or plural.
func ParseKind(text string) (Kind, bool) {
	for _, k := range Kinds() {
		if strings.EqualFold(text, string(k)) || strings.EqualFold(text, string(k)+"s") {
			return k, true
		}
	}
	return "", false
}

// Ref identifies a resource by its kind and name.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the ref as kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Metadata holds the name and version of a resource.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion is the configuration generation that last changed the
	// resource. In an update, a value other than 0 makes the change conditional on
	// that version.
	ResourceVersion uint64 `json:"resourceVersion,omitempty"`
}

// Resource is one declared object. Its kind determines the type of its spec.
type Resource struct {
	APIVersion string   `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   Metadata `json:"metadata"`
	Spec       Spec     `json:"spec"`
	Status     *Status  `json:"status,omitempty"`

	// origin is nil unless the resource was decoded from a file.
	origin *origin
}

// Ref returns the resource's kind and name.
func (r Resource) Ref() Ref { return Ref{Kind: r.Kind, Name: r.Metadata.Name} }

// Status reports which VMs have applied the current version of a resource. It is
// set by the system and ignored in input.
type Status struct {
	// ObservedGeneration is the configuration generation that the responding VM
	// has applied.
	ObservedGeneration uint64 `json:"observedGeneration"`
	// InForce is the number of VMs that have applied this version of the resource.
	InForce int `json:"inForce"`
	// Members is the number of VMs in the fleet.
	Members int `json:"members"`
	// Missing names the VMs that have not applied it yet.
	Missing []string `json:"missing,omitempty"`
	// Since is when the responding VM first saw that every VM had applied it.
	Since *time.Time `json:"since,omitempty"`
}

// Complete reports whether every member has applied the resource.
func (s *Status) Complete() bool { return s != nil && s.Members > 0 && s.InForce == s.Members }

// Spec is the declared part of a resource. It is implemented by the pointer types
// of this package whose names end in Spec.
type Spec interface {
	isSpec()
}

func (*WorkspaceSpec) isSpec()   {}
func (*KeySpec) isSpec()         {}
func (*RouteSpec) isSpec()       {}
func (*RegionSpec) isSpec()      {}
func (*RegionalCapSpec) isSpec() {}
func (*UpstreamSpec) isSpec()    {}
func (*DrainSpec) isSpec()       {}

// NewSpec returns an empty spec for a kind, or nil for an unknown kind.
func NewSpec(k Kind) Spec {
	switch k {
	case KindWorkspace:
		return &WorkspaceSpec{}
	case KindKey:
		return &KeySpec{}
	case KindRoute:
		return &RouteSpec{}
	case KindRegion:
		return &RegionSpec{}
	case KindRegionalCap:
		return &RegionalCapSpec{}
	case KindUpstream:
		return &UpstreamSpec{}
	case KindDrain:
		return &DrainSpec{}
	default:
		return nil
	}
}

// WorkspaceSpec declares a tenant and its fleet-wide limits.
type WorkspaceSpec struct {
	// RequestsPerSecond is the sustained request rate, summed over all VMs.
	RequestsPerSecond int64 `json:"requestsPerSecond"`
	// Burst is the number of requests that may arrive at once, summed over all VMs.
	Burst int64 `json:"burst"`
	// Weight is the workspace's relative share when capacity is short. Zero means 1.
	Weight int64 `json:"weight,omitempty"`
}

// KeySpec declares a caller's key. Only a digest of the key is stored.
type KeySpec struct {
	Workspace string `json:"workspace"`
	// Digest is the lower-case hex SHA-256 of the key's secret part.
	Digest string `json:"digest"`
	// ExpiresAt is the end of the key's validity. Nil means that it does not expire.
	ExpiresAt *time.Time `json:"expiresAt,omitempty"`
}

// Access states whether a route requires a key.
type Access string

// The values of Access.
const (
	// AccessOpen admits requests without a key.
	AccessOpen Access = "open"
	// AccessKeyed admits only requests with a valid key.
	AccessKeyed Access = "keyed"
)

// RouteSpec maps requests by path and method to a group of upstreams.
type RouteSpec struct {
	// PathPrefix matches whole path segments. The longest matching prefix is used.
	PathPrefix string `json:"pathPrefix"`
	// Methods lists the accepted HTTP methods.
	Methods []string `json:"methods"`
	Access  Access   `json:"access"`
	// Idempotent states that running a request more than once is safe.
	Idempotent bool `json:"idempotent"`
	// Deadline limits the time from a request's arrival to the end of its response.
	Deadline Duration `json:"deadline"`
	// UpstreamGroup names the group of upstreams that serves the route.
	UpstreamGroup string `json:"upstreamGroup"`
}

// RegionSpec declares a region, its availability zones and the callers that are
// closest to it.
type RegionSpec struct {
	AvailabilityZones []string `json:"availabilityZones"`
	// ClientBlocks lists callers' address prefixes in CIDR notation.
	ClientBlocks []string `json:"clientBlocks,omitempty"`
}

// RegionalCapSpec limits the traffic that is forwarded from one region to another.
type RegionalCapSpec struct {
	From string `json:"from"`
	To   string `json:"to"`
	// RequestsPerSecond counts requests that enter in From and run in To.
	RequestsPerSecond int64 `json:"requestsPerSecond"`
	// BitsPerSecond counts all bytes sent from From to To, of both requests and
	// responses.
	BitsPerSecond BitRate `json:"bitsPerSecond"`
}

// UpstreamSpec declares one server that requests are forwarded to.
type UpstreamSpec struct {
	// Address is an IP address and port.
	Address          string `json:"address"`
	Group            string `json:"group"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// Slots is the number of requests it can run at once. Zero means undeclared.
	Slots int64 `json:"slots,omitempty"`
	// Connections is the number of connections it accepts. Zero means 330.
	Connections int64 `json:"connections,omitempty"`
}

// DrainSpec takes a target out of service. Its requests in flight still finish.
type DrainSpec struct {
	// TargetKind is Upstream, VM, AvailabilityZone or Region.
	TargetKind DrainTarget `json:"targetKind"`
	Target     string      `json:"target"`
}

// DrainTarget is the type of the object that a drain takes out of service.
type DrainTarget string

// The types of drain targets.
const (
	DrainUpstream         DrainTarget = "Upstream"
	DrainVM               DrainTarget = "VM"
	DrainAvailabilityZone DrainTarget = "AvailabilityZone"
	DrainRegion           DrainTarget = "Region"
)
