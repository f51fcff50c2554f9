// Package fgconfig holds the configuration in force as an immutable snapshot.
package fgconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/benbjohnson/immutable"

	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// ErrConflict means that a resource is not at the version that a change names.
var ErrConflict = merry.Sentinel("resource version conflict")

// ErrNotFound means that a change deletes a resource that does not exist.
var ErrNotFound = merry.Sentinel("resource not found")

// Change is the payload of one journal entry: all of it applies, or none.
type Change struct {
	Put    []fgapi.Resource `json:"put,omitempty"`
	Delete []fgapi.Ref      `json:"delete,omitempty"`
}

// Key is a caller's credential as the request path needs it.
type Key struct {
	id   string
	spec *fgapi.KeySpec
}

// ID returns the key's public part.
func (k *Key) ID() string { return k.id }

// Spec returns the declared key. It must not be modified.
func (k *Key) Spec() *fgapi.KeySpec { return k.spec }

// Route is a route with its name.
type Route struct {
	name string
	spec *fgapi.RouteSpec
}

// Name returns the route's resource name.
func (r *Route) Name() string { return r.name }

// Spec returns the declared route. It must not be modified.
func (r *Route) Spec() *fgapi.RouteSpec { return r.spec }

// Upstream is an upstream with its name.
type Upstream struct {
	name string
	spec *fgapi.UpstreamSpec
}

// Name returns the upstream's resource name.
func (u *Upstream) Name() string { return u.name }

// Spec returns the declared upstream. It must not be modified.
func (u *Upstream) Spec() *fgapi.UpstreamSpec { return u.spec }

// Snapshot is one generation of the configuration. It never changes and may be
// shared freely. The zero value is the empty configuration.
type Snapshot struct {
	generation uint64
	resources  *immutable.SortedMap[string, fgapi.Resource]
	keys       *immutable.Map[string, *Key]
	routes     []*Route
	groups     map[string][]*Upstream
}

// Empty returns the configuration at generation 0.
func Empty() *Snapshot {
	return &Snapshot{
		resources: immutable.NewSortedMap[string, fgapi.Resource](nil),
		keys:      immutable.NewMap[string, *Key](nil),
	}
}

// Generation returns the number of the change that made the snapshot.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Resource returns a resource.
func (s *Snapshot) Resource(r fgapi.Ref) (fgapi.Resource, bool) { return s.resources.Get(r.String()) }

// Resources returns all resources of a kind, by name.
func (s *Snapshot) Resources(k fgapi.Kind) []fgapi.Resource {
	var out []fgapi.Resource
	prefix := string(k) + "/"
	it := s.resources.Iterator()
	it.Seek(prefix)
	for !it.Done() {
		name, r, _ := it.Next()
		if !strings.HasPrefix(name, prefix) {
			break
		}
		out = append(out, r)
	}
	return out
}

// All returns every resource.
func (s *Snapshot) All() []fgapi.Resource {
	out := make([]fgapi.Resource, 0, s.resources.Len())
	for _, k := range fgapi.Kinds() {
		out = append(out, s.Resources(k)...)
	}
	return out
}

// Key returns the key with an id.
func (s *Snapshot) Key(id string) (*Key, bool) { return s.keys.Get(id) }

// Route returns the route with the longest prefix of whole path segments that
// matches, or nil.
func (s *Snapshot) Route(path string) *Route {
	for _, r := range s.routes {
		if matchesPrefix(path, r.spec.PathPrefix) {
			return r
		}
	}
	return nil
}

func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Upstreams returns the upstreams of a group. The slice must not be modified.
func (s *Snapshot) Upstreams(group string) []*Upstream { return s.groups[group] }

// Check reports whether a change applies to the snapshot: versions that it
// names must match, and what remains must be valid.
func (s *Snapshot) Check(c Change) error {
	var errs []error
	for _, r := range c.Put {
		errs = append(errs, s.checkVersion(r))
	}
	for _, ref := range c.Delete {
		if _, ok := s.Resource(ref); !ok {
			errs = append(errs, fmt.Errorf("%s: %w", ref, ErrNotFound))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return fgapi.Validate(s.with(c).All())
}

func (s *Snapshot) checkVersion(r fgapi.Resource) error {
	want := r.Metadata.ResourceVersion
	if want == 0 {
		return nil
	}
	old, ok := s.Resource(r.Ref())
	if !ok || old.Metadata.ResourceVersion != want {
		return fmt.Errorf("%s: %w: the change names version %d, the current version is %d",
			r.Ref(), ErrConflict, want, old.Metadata.ResourceVersion)
	}
	return nil
}

// Apply returns the snapshot after a journal entry.
func Apply(s *Snapshot, e fgjournal.Entry) (*Snapshot, error) {
	var c Change
	if err := json.Unmarshal(e.Payload, &c); err != nil {
		return nil, err
	}
	for i := range c.Put {
		c.Put[i].Metadata.ResourceVersion = e.Generation
	}
	next := s.with(c)
	next.generation = e.Generation
	return next, nil
}

// with applies a change and rebuilds only the indexes of the kinds it touches.
func (s *Snapshot) with(c Change) *Snapshot {
	next := *s
	touched := map[fgapi.Kind]bool{}
	for _, r := range c.Put {
		touched[r.Kind] = true
		next.resources = next.resources.Set(r.Ref().String(), r)
		if spec, ok := r.Spec.(*fgapi.KeySpec); ok {
			next.keys = next.keys.Set(r.Metadata.Name, &Key{id: r.Metadata.Name, spec: spec})
		}
	}
	for _, ref := range c.Delete {
		touched[ref.Kind] = true
		next.resources = next.resources.Delete(ref.String())
		if ref.Kind == fgapi.KindKey {
			next.keys = next.keys.Delete(ref.Name)
		}
	}
	if touched[fgapi.KindRoute] {
		next.routes = next.indexRoutes()
	}
	if touched[fgapi.KindUpstream] {
		next.groups = next.indexUpstreams()
	}
	return &next
}

func (s *Snapshot) indexRoutes() []*Route {
	var out []*Route
	for _, r := range s.Resources(fgapi.KindRoute) {
		if spec, ok := r.Spec.(*fgapi.RouteSpec); ok {
			out = append(out, &Route{name: r.Metadata.Name, spec: spec})
		}
	}
	slices.SortStableFunc(out, func(a, b *Route) int { return len(b.spec.PathPrefix) - len(a.spec.PathPrefix) })
	return out
}

func (s *Snapshot) indexUpstreams() map[string][]*Upstream {
	out := map[string][]*Upstream{}
	for _, r := range s.Resources(fgapi.KindUpstream) {
		if spec, ok := r.Spec.(*fgapi.UpstreamSpec); ok {
			out[spec.Group] = append(out[spec.Group], &Upstream{name: r.Metadata.Name, spec: spec})
		}
	}
	return out
}
