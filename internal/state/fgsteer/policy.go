// Package fgsteer holds what a gateway needs to steer a request: the declared
// policy and the upstreams that are known, as immutable snapshots.
package fgsteer

import (
	"slices"
	"strings"
	"time"
)

// RouteSpec declares one route.
type RouteSpec struct {
	Name       string
	Host       string
	PathPrefix string
	// Idempotent requests may be sent to an upstream more than once.
	Idempotent bool
	// Open routes need no key.
	Open bool
	// Timeout bounds the time from a request's arrival to its final answer.
	Timeout time.Duration
	// Objective is the latency within which an answer is of full use to a caller.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many upstreams may receive one request.
	MaxAttempts int
	// Sticky marks requests that an upstream answers faster when it has handled
	// the same object before.
	Sticky bool
	// Regions lists where requests may run. Empty means anywhere.
	Regions []string
	// Groups are the upstream groups that share the route's requests by weight.
	Groups []WeightedGroup
}

// WeightedGroup is an upstream group's part of a route.
type WeightedGroup struct {
	Group  string
	Weight int
}

// GroupSpec declares an upstream group.
type GroupSpec struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdRate is the requests per second that a cold upstream tolerates.
	ColdRate float64
}

// WorkspaceSpec declares a workspace.
type WorkspaceSpec struct {
	Name string
	Keys []string
	// Priority goes before the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst bound requests over all VMs together. A zero rate sets no
	// bound.
	Rate    float64
	Burst   float64
	Regions []string
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// PolicySpec declares everything that operators decide, at one version.
type PolicySpec struct {
	Version    int64
	Routes     []RouteSpec
	Groups     []GroupSpec
	Workspaces []WorkspaceSpec
	Limits     CallerLimits
}

// Policy is a PolicySpec with the indexes that requests need. It is immutable.
type Policy struct {
	spec       PolicySpec
	byHost     map[string][]*RouteSpec
	byKey      map[string]*WorkspaceSpec
	byName     map[string]*GroupSpec
	workspaces map[string]*WorkspaceSpec
}

// NewPolicy indexes a specification, which must not be changed afterwards.
func NewPolicy(s PolicySpec) *Policy {
	p := &Policy{
		spec:       s,
		byHost:     map[string][]*RouteSpec{},
		byKey:      map[string]*WorkspaceSpec{},
		byName:     map[string]*GroupSpec{},
		workspaces: map[string]*WorkspaceSpec{},
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		p.byHost[r.Host] = append(p.byHost[r.Host], r)
	}
	for _, routes := range p.byHost {
		slices.SortStableFunc(routes, func(a, b *RouteSpec) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range s.Groups {
		p.byName[s.Groups[i].Name] = &s.Groups[i]
	}
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		p.workspaces[w.Name] = w
		for _, k := range w.Keys {
			p.byKey[k] = w
		}
	}
	return p
}

// Version returns the version that the operators gave.
func (p *Policy) Version() int64 { return p.spec.Version }

// Limits returns the bounds of what callers may send.
func (p *Policy) Limits() CallerLimits { return p.spec.Limits }

// Route returns the route of a host with the longest prefix of the path.
func (p *Policy) Route(host, path string) (*RouteSpec, bool) {
	for _, r := range p.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceOf returns the workspace that a key belongs to.
func (p *Policy) WorkspaceOf(key string) (*WorkspaceSpec, bool) {
	w, ok := p.byKey[key]
	return w, ok
}

// Workspaces returns all workspaces in the order of their declaration.
func (p *Policy) Workspaces() []WorkspaceSpec { return p.spec.Workspaces }

// Group returns a declared upstream group.
func (p *Policy) Group(name string) (*GroupSpec, bool) {
	g, ok := p.byName[name]
	return g, ok
}

// KeyRequired reports whether routes that are not open need a key.
func (p *Policy) KeyRequired() bool { return len(p.spec.Workspaces) > 0 }
