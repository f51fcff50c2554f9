package fgconfig

import (
	"slices"
	"strings"
)

// canonicalPrefix returns the index key of a path prefix: "/a/" and "/a" match the
// same paths.
func canonicalPrefix(prefix string) string { return strings.TrimRight(prefix, "/") }

// Route returns a route whose prefix is the longest match for a path, or nil. Only
// whole path segments match.
func (s *Snapshot) Route(path string) *Route {
	if routes := s.routesAt(path); len(routes) > 0 {
		return routes[0]
	}
	return nil
}

// RouteFor returns the route for a path and method, or nil. Of the routes with the
// longest matching prefix it returns the one that accepts the method. If none does,
// it returns any of them, so that the request can be refused because of its method
// rather than its path.
func (s *Snapshot) RouteFor(path, method string) *Route {
	routes := s.routesAt(path)
	for _, r := range routes {
		if slices.Contains(r.spec.Methods, method) {
			return r
		}
	}
	if len(routes) > 0 {
		return routes[0]
	}
	return nil
}

// routesAt returns the routes whose prefix is the longest match for a path.
func (s *Snapshot) routesAt(path string) []*Route {
	prefix := canonicalPrefix(path)
	for {
		if routes, ok := s.routes.Get(prefix); ok {
			return routes
		}
		end := strings.LastIndexByte(prefix, '/')
		if end < 0 {
			return nil
		}
		prefix = canonicalPrefix(prefix[:end])
	}
}
