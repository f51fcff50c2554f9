// Package fgconfig provides immutable snapshots of the configuration, and applies
// and validates changes of it.
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

// ErrConflict means that a resource does not have the version that a change
// expects.
var ErrConflict = merry.Sentinel("resource version conflict")

// ErrNotFound means that a change deletes a resource that does not exist.
var ErrNotFound = merry.Sentinel("resource not found")

// Change is the payload of one journal entry. It is applied as a whole or not at
// all.
type Change struct {
	Put    []fgapi.Resource `json:"put,omitempty"`
	Delete []fgapi.Ref      `json:"delete,omitempty"`
}

// Key is an API key of a caller.
type Key struct {
	id   string
	spec *fgapi.KeySpec
}

// ID returns the key's id, which is not secret.
func (k *Key) ID() string { return k.id }

// Spec returns the key's spec. It must not be modified.
func (k *Key) Spec() *fgapi.KeySpec { return k.spec }

// Route is a route with its name.
type Route struct {
	name string
	spec *fgapi.RouteSpec
}

// Name returns the route's resource name.
func (r *Route) Name() string { return r.name }

// Spec returns the route's spec. It must not be modified.
func (r *Route) Spec() *fgapi.RouteSpec { return r.spec }

// Upstream is an upstream with its name.
type Upstream struct {
	name string
	spec *fgapi.UpstreamSpec
}

// Name returns the upstream's resource name.
func (u *Upstream) Name() string { return u.name }

// Spec returns the upstream's spec. It must not be modified.
func (u *Upstream) Spec() *fgapi.UpstreamSpec { return u.spec }

// Snapshot is one generation of the configuration. It is immutable and safe for
// concurrent use. Empty returns the first one.
type Snapshot struct {
	generation uint64
	resources  *immutable.SortedMap[string, fgapi.Resource]
	keys       *immutable.Map[string, *Key]
	// referrers holds the referring resource of each reference, under
	// referrerKey(target, referrer).
	referrers *immutable.SortedMap[string, fgapi.Ref]
	// routes holds the routes of each canonical path prefix, sorted by name.
	routes *immutable.Map[string, []*Route]
	// groups holds the upstreams of each group, sorted by name.
	groups *immutable.Map[string, []*Upstream]
}

// Empty returns the empty configuration at generation 0.
func Empty() *Snapshot {
	return &Snapshot{
		resources: immutable.NewSortedMap[string, fgapi.Resource](nil),
		keys:      immutable.NewMap[string, *Key](nil),
		referrers: immutable.NewSortedMap[string, fgapi.Ref](nil),
		routes:    immutable.NewMap[string, []*Route](nil),
		groups:    immutable.NewMap[string, []*Upstream](nil),
	}
}

// Generation returns the number of changes up to this snapshot.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Resource returns the resource that a reference names, and false if there is none.
func (s *Snapshot) Resource(r fgapi.Ref) (fgapi.Resource, bool) { return s.resources.Get(r.String()) }

// Resources returns all resources of a kind, sorted by name.
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

// All returns all resources, in the order of fgapi.Kinds and then by name.
func (s *Snapshot) All() []fgapi.Resource {
	out := make([]fgapi.Resource, 0, s.resources.Len())
	for _, k := range fgapi.Kinds() {
		out = append(out, s.Resources(k)...)
	}
	return out
}

// Key returns the key with an id, and false if there is none.
func (s *Snapshot) Key(id string) (*Key, bool) { return s.keys.Get(id) }

// Upstreams returns the upstreams of a group, sorted by name. The slice must not be
// modified.
func (s *Snapshot) Upstreams(group string) []*Upstream {
	upstreams, _ := s.groups.Get(group)
	return upstreams
}

// Check returns an error unless a change can be applied to the snapshot: the
// resource versions that it expects must be current, the resources that it deletes
// must exist, and the resulting configuration must be valid.
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
	return s.withChange(c).validate(c)
}

// checkVersion returns ErrConflict if the change expects a version of a resource
// that is not the current one. Version 0 expects nothing.
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
	next := s.withChange(c)
	next.generation = e.Generation
	return next, nil
}

// withChange returns the snapshot after a change, at the same generation. Its cost
// depends on the size of the change and of the affected groups and prefixes, not on
// the number of resources.
func (s *Snapshot) withChange(c Change) *Snapshot {
	next := *s
	for _, r := range c.Put {
		next.remove(r.Ref())
		next.add(r)
	}
	for _, ref := range c.Delete {
		next.remove(ref)
	}
	return &next
}

// add adds a resource and its index entries. The snapshot must not be shared yet.
func (s *Snapshot) add(r fgapi.Resource) {
	s.resources = s.resources.Set(r.Ref().String(), r)
	for _, target := range references(r) {
		s.referrers = s.referrers.Set(referrerKey(target, r.Ref()), r.Ref())
	}
	name := r.Metadata.Name
	switch spec := r.Spec.(type) {
	case *fgapi.KeySpec:
		s.keys = s.keys.Set(name, &Key{id: name, spec: spec})
	case *fgapi.RouteSpec:
		s.routes = insert(s.routes, canonicalPrefix(spec.PathPrefix), &Route{name: name, spec: spec}, (*Route).Name)
	case *fgapi.UpstreamSpec:
		s.groups = insert(s.groups, spec.Group, &Upstream{name: name, spec: spec}, (*Upstream).Name)
	}
}

// remove removes a resource, if it exists, and its index entries. The snapshot must
// not be shared yet.
func (s *Snapshot) remove(ref fgapi.Ref) {
	r, ok := s.Resource(ref)
	if !ok {
		return
	}
	s.resources = s.resources.Delete(ref.String())
	for _, target := range references(r) {
		s.referrers = s.referrers.Delete(referrerKey(target, ref))
	}
	switch spec := r.Spec.(type) {
	case *fgapi.KeySpec:
		s.keys = s.keys.Delete(ref.Name)
	case *fgapi.RouteSpec:
		s.routes = removeNamed(s.routes, canonicalPrefix(spec.PathPrefix), ref.Name, (*Route).Name)
	case *fgapi.UpstreamSpec:
		s.groups = removeNamed(s.groups, spec.Group, ref.Name, (*Upstream).Name)
	}
}

// insert returns the map with a value added to the list of a key, which is sorted
// by name.
func insert[T any](m *immutable.Map[string, []T], key string, value T, name func(T) string) *immutable.Map[string, []T] {
	old, _ := m.Get(key)
	index, _ := slices.BinarySearchFunc(old, name(value), func(v T, n string) int { return strings.Compare(name(v), n) })
	return m.Set(key, slices.Insert(slices.Clone(old), index, value))
}

// removeNamed returns the map with the value of a name removed from the list of a
// key.
func removeNamed[T any](m *immutable.Map[string, []T], key, removed string, name func(T) string) *immutable.Map[string, []T] {
	old, _ := m.Get(key)
	remaining := slices.DeleteFunc(slices.Clone(old), func(v T) bool { return name(v) == removed })
	if len(remaining) == 0 {
		return m.Delete(key)
	}
	return m.Set(key, remaining)
}
