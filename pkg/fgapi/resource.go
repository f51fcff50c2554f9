// Package fgapi defines the resources that operators declare, their text
// format and the checks that they must pass.
package fgapi

import (
	"strings"
	"time"
)

// Version is the apiVersion that every resource carries.
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

// Kinds returns all kinds in the order in which they are listed to people.
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

// Ref identifies a resource.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the ref as kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Metadata holds what every resource has besides its spec.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion is the configuration generation that last changed the
	// resource. In an update it makes the change conditional on that version.
	ResourceVersion uint64 `json:"resourceVersion,omitempty"`
}

// Resource is one declared object.
type Resource struct {
	APIVersion string   `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   Metadata `json:"metadata"`
	Spec       Spec     `json:"spec"`
	Status     *Status  `json:"status,omitempty"`

	origin *origin
}

// Ref returns the resource's identity.
func (r Resource) Ref() Ref { return Ref{Kind: r.Kind, Name: r.Metadata.Name} }

// Status tells how far a resource is in force. It is filled by the system and
// ignored in input.
type Status struct {
	// ObservedGeneration is the generation that the answering VM has applied.
	ObservedGeneration uint64 `json:"observedGeneration"`
	// InForce is the number of VMs that apply this version of the resource.
	InForce int `json:"inForce"`
	// Members is the number of VMs of the fleet.
	Members int `json:"members"`
	// Missing names the VMs that do not apply it yet.
	Missing []string `json:"missing,omitempty"`
	// Since is when the answering VM first saw it in force everywhere.
	Since *time.Time `json:"since,omitempty"`
}

// Complete reports whether every member applies the resource.
func (s *Status) Complete() bool { return s != nil && s.Members > 0 && s.InForce == s.Members }

// Spec is the declared part of a resource. The variants are the pointer types
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

// NewSpec returns an empty spec of a kind, or nil for an unknown kind.
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
	// RequestsPerSecond is the sustained rate over all VMs together.
	RequestsPerSecond int64 `json:"requestsPerSecond"`
	// Burst is the number of requests that may arrive at once, over all VMs.
	Burst int64 `json:"burst"`
	// Weight is the workspace's part when capacity is short. Zero means 1.
	Weight int64 `json:"weight,omitempty"`
}

// KeySpec declares a caller's credential. Only a digest is kept.
type KeySpec struct {
	Workspace string `json:"workspace"`
	// Digest is the lower-case hex SHA-256 of the key's secret part.
	Digest string `json:"digest"`
	// ExpiresAt ends the key's validity. Nil means that it does not expire.
	ExpiresAt *time.Time `json:"expiresAt,omitempty"`
}

// Access tells who may use a route.
type Access string

// The kinds of access.
const (
	AccessOpen  Access = "open"
	AccessKeyed Access = "keyed"
)

// RouteSpec maps requests to a group of upstreams.
type RouteSpec struct {
	// PathPrefix matches whole path segments; the longest match wins.
	PathPrefix string `json:"pathPrefix"`
	// Methods lists the accepted HTTP methods.
	Methods []string `json:"methods"`
	Access  Access   `json:"access"`
	// Idempotent says that running a request twice is harmless.
	Idempotent bool `json:"idempotent"`
	// Deadline bounds a request from its arrival to the end of its answer.
	Deadline Duration `json:"deadline"`
	// UpstreamGroup names the group of upstreams that serves the route.
	UpstreamGroup string `json:"upstreamGroup"`
}

// RegionSpec declares a region and the callers that are nearest to it.
type RegionSpec struct {
	AvailabilityZones []string `json:"availabilityZones"`
	// ClientBlocks lists address prefixes in CIDR form.
	ClientBlocks []string `json:"clientBlocks,omitempty"`
}

// RegionalCapSpec bounds the traffic that moves from one region to another.
type RegionalCapSpec struct {
	From string `json:"from"`
	To   string `json:"to"`
	// RequestsPerSecond counts requests that enter in From and run in To.
	RequestsPerSecond int64 `json:"requestsPerSecond"`
	// BitsPerSecond counts all bytes that cross from From to To, requests and
	// answers alike.
	BitsPerSecond BitRate `json:"bitsPerSecond"`
}

// UpstreamSpec declares one server behind the system.
type UpstreamSpec struct {
	// Address is an IP address and port.
	Address          string `json:"address"`
	Group            string `json:"group"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// Slots is the number of requests it runs at once. Zero means undeclared.
	Slots int64 `json:"slots,omitempty"`
	// Connections is the number of connections it accepts. Zero means 330.
	Connections int64 `json:"connections,omitempty"`
}

// DrainSpec takes a target out of service without cutting its requests.
type DrainSpec struct {
	// TargetKind is Upstream, VM, AvailabilityZone or Region.
	TargetKind DrainTarget `json:"targetKind"`
	Target     string      `json:"target"`
}

// DrainTarget is the type of object that a drain names.
type DrainTarget string

// The types of drain targets.
const (
	DrainUpstream         DrainTarget = "Upstream"
	DrainVM               DrainTarget = "VM"
	DrainAvailabilityZone DrainTarget = "AvailabilityZone"
	DrainRegion           DrainTarget = "Region"
)
