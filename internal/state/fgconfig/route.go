package fgconfig

import (
	"slices"
	"strings"
)

// RouteFor returns the route for a path and method. The longest prefix wins;
// among routes with that prefix, the one that accepts the method, or else any of
// them, so that the caller can be told that the method is not accepted.
func (s *Snapshot) RouteFor(path, method string) *Route {
	first := s.Route(path)
	if first == nil || slices.Contains(first.spec.Methods, method) {
		return first
	}
	prefix := strings.TrimRight(first.spec.PathPrefix, "/")
	for _, r := range s.routes {
		if strings.TrimRight(r.spec.PathPrefix, "/") == prefix && slices.Contains(r.spec.Methods, method) {
			return r
		}
	}
	return first
}
