// Package fgsteer holds the data by which a gateway routes requests, as immutable
// snapshots: the declared policy, the known upstreams and the registered gateways.
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
	// Idempotent means that a request may be sent to upstreams more than once.
	Idempotent bool
	// Open means that requests need no key.
	Open bool
	// Timeout bounds the time from a request's arrival to its final response.
	Timeout time.Duration
	// Objective is the latency within which a response is of full use to a caller.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many upstreams may receive one request.
	MaxAttempts int
	// Sticky means that an upstream responds faster if it has already handled a
	// request with the same affinity key.
	Sticky bool
	// Regions lists where requests may run. Empty means anywhere.
	Regions []string
	// Groups are the upstream groups that share the route's requests by weight.
	Groups []WeightedGroup
}

// WeightedGroup is an upstream group of a route with its weight.
type WeightedGroup struct {
	Group  string
	Weight int
}

// GroupSpec declares an upstream group.
type GroupSpec struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdRate is the number of requests per second that a cold upstream tolerates.
	ColdRate float64
}

// WorkspaceSpec declares a workspace.
type WorkspaceSpec struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, in requests per second, and Burst bound the requests on all VMs
	// together. A rate of zero means no limit.
	Rate  float64
	Burst float64
	// Regions lists where requests may run. Empty means anywhere.
	Regions []string
}

// CallerLimits are the limits for connections and requests of callers.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// PolicySpec is one version of everything that operators declare.
type PolicySpec struct {
	Version    int64
	Routes     []RouteSpec
	Groups     []GroupSpec
	Workspaces []WorkspaceSpec
	Limits     CallerLimits
	// Warnings describe what was not understood of the operators' declaration and
	// how it is treated.
	Warnings []string
}

// Policy is a PolicySpec with indexes for look-ups. It is immutable.
type Policy struct {
	spec            PolicySpec
	routesByHost    map[string][]*RouteSpec
	workspaceByKey  map[string]*WorkspaceSpec
	groupByName     map[string]*GroupSpec
	workspaceByName map[string]*WorkspaceSpec
}

// NewPolicy returns a policy with the indexes of s, which must not be modified
// afterwards.
func NewPolicy(s PolicySpec) *Policy {
	p := &Policy{
		spec:            s,
		routesByHost:    map[string][]*RouteSpec{},
		workspaceByKey:  map[string]*WorkspaceSpec{},
		groupByName:     map[string]*GroupSpec{},
		workspaceByName: map[string]*WorkspaceSpec{},
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		p.routesByHost[r.Host] = append(p.routesByHost[r.Host], r)
	}
	for _, routes := range p.routesByHost {
		slices.SortStableFunc(routes, func(a, b *RouteSpec) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range s.Groups {
		p.groupByName[s.Groups[i].Name] = &s.Groups[i]
	}
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		p.workspaceByName[w.Name] = w
		for _, k := range w.Keys {
			p.workspaceByKey[k] = w
		}
	}
	return p
}

// Version returns the version of the policy.
func (p *Policy) Version() int64 { return p.spec.Version }

// Limits returns the limits for callers.
func (p *Policy) Limits() CallerLimits { return p.spec.Limits }

// Warnings describe what was not understood of the declaration and how it is
// treated.
func (p *Policy) Warnings() []string { return p.spec.Warnings }

// Route returns the route of a host with the longest matching path prefix.
func (p *Policy) Route(host, path string) (*RouteSpec, bool) {
	for _, r := range p.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceOf returns the workspace that a key belongs to.
func (p *Policy) WorkspaceOf(key string) (*WorkspaceSpec, bool) {
	w, ok := p.workspaceByKey[key]
	return w, ok
}

// Routes returns all routes in the order of their declaration.
func (p *Policy) Routes() []RouteSpec { return p.spec.Routes }

// Workspaces returns all workspaces in the order of their declaration.
func (p *Policy) Workspaces() []WorkspaceSpec { return p.spec.Workspaces }

// Group returns the declared upstream group with a name.
func (p *Policy) Group(name string) (*GroupSpec, bool) {
	g, ok := p.groupByName[name]
	return g, ok
}

// KeyRequired reports whether requests need a key, except on open routes.
func (p *Policy) KeyRequired() bool { return len(p.spec.Workspaces) > 0 }
