package fgconfig

import (
	"testing"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// Guards against a route that is never selected because another route has the same
// prefix and other methods.
func TestRouteFor(t *testing.T) {
	route := func(name, prefix string, methods ...string) fgapi.Resource {
		return fgapi.Resource{Kind: fgapi.KindRoute, Metadata: fgapi.Metadata{Name: name}, Spec: &fgapi.RouteSpec{PathPrefix: prefix, Methods: methods}}
	}
	s := Empty().withChange(Change{Put: []fgapi.Resource{
		route("read", "/orders", "GET"), route("write", "/orders/", "POST"), route("paid", "/orders/paid", "PUT"), route("all", "/", "DELETE"),
	}})
	tests := []struct{ method, path, want string }{
		{"GET", "/orders/7", "read"}, {"POST", "/orders/7", "write"}, {"PUT", "/orders/paid", "paid"},
		{"GET", "/orders/paid", "paid"}, {"DELETE", "/x", "all"}, {"GET", "/x", "all"}, {"DELETE", "/orders/7", "read"},
	}
	for _, tt := range tests {
		if got := s.RouteFor(tt.path, tt.method); got == nil || got.Name() != tt.want {
			t.Errorf("%s %s: route %v, want %s", tt.method, tt.path, got, tt.want)
		}
	}
}
