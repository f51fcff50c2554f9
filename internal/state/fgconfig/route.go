package fgconfig

import (
	"slices"
	"strings"
)

// canonicalPrefix returns the form of a path prefix under which routes are
// indexed: "/a/" and "/a" match the same paths.
func canonicalPrefix(prefix string) string { return strings.TrimRight(prefix, "/") }

// Route returns a route with the longest prefix of whole path segments that
// matches, or nil.
func (s *Snapshot) Route(path string) *Route {
	if routes := s.routesAt(path); len(routes) > 0 {
		return routes[0]
	}
	return nil
}

// RouteFor returns the route for a path and method. The longest prefix wins;
// among routes with that prefix, the one that accepts the method, or else any of
// them, so that the caller can be told that the method is not accepted.
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

// routesAt returns the routes with the longest prefix that matches a path.
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
