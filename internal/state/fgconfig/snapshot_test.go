package fgconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

func resource(kind fgapi.Kind, name string, spec fgapi.Spec) fgapi.Resource {
	return fgapi.Resource{APIVersion: fgapi.Version, Kind: kind, Metadata: fgapi.Metadata{Name: name}, Spec: spec}
}

func workspace(name string) fgapi.Resource {
	return resource(fgapi.KindWorkspace, name, &fgapi.WorkspaceSpec{RequestsPerSecond: 1, Burst: 1})
}

func key(name, workspace string) fgapi.Resource {
	return resource(fgapi.KindKey, name, &fgapi.KeySpec{Workspace: workspace, Digest: strings.Repeat("0", 64)})
}

func apply(t testing.TB, s *Snapshot, c Change) *Snapshot {
	t.Helper()
	payload, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	next, err := Apply(s, fgjournal.Entry{Generation: s.Generation() + 1, Payload: payload})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// Guards against references to missing resources, which a check of the changed
// resources alone does not find.
func TestCheckFindsDanglingReferences(t *testing.T) {
	s := apply(t, Empty(), Change{Put: []fgapi.Resource{workspace("w"), key("k", "w")}})
	remove := func(refs ...fgapi.Ref) Change { return Change{Delete: refs} }
	w, k := workspace("w").Ref(), key("k", "w").Ref()
	tests := []struct {
		name   string
		change Change
		want   error
	}{
		{"delete a workspace that a key refers to", remove(w), fgapi.ErrInvalid},
		{"delete a workspace together with its key", remove(w, k), nil},
		{"delete an unknown key", remove(key("none", "w").Ref()), ErrNotFound},
		{"put a key of an unknown workspace", Change{Put: []fgapi.Resource{key("k2", "none")}}, fgapi.ErrInvalid},
		{"put a key of an existing workspace", Change{Put: []fgapi.Resource{key("k3", "w")}}, nil},
		{"move a key to a new workspace and delete the old one", Change{Put: []fgapi.Resource{workspace("v"), key("k", "v")}, Delete: []fgapi.Ref{w}}, nil},
		{"put a key before its workspace in the same change", Change{Put: []fgapi.Resource{key("k4", "x"), workspace("x")}}, nil},
		{"put a key twice", Change{Put: []fgapi.Resource{key("k", "w"), key("k", "w")}}, fgapi.ErrInvalid},
	}
	for _, tt := range tests {
		if err := s.Check(tt.change); !errors.Is(err, tt.want) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
		}
	}
}

// Guards against resources or index entries that are lost when a snapshot is
// dumped and loaded.
func TestDumpAndLoad(t *testing.T) {
	region := resource(fgapi.KindRegion, "r", &fgapi.RegionSpec{AvailabilityZones: []string{"a"}})
	up := resource(fgapi.KindUpstream, "u", &fgapi.UpstreamSpec{Address: "127.0.0.1:1", Group: "g", Region: "r", AvailabilityZone: "a"})
	route := resource(fgapi.KindRoute, "p", &fgapi.RouteSpec{PathPrefix: "/a/", Methods: []string{"GET"}, Access: fgapi.AccessOpen, UpstreamGroup: "g"})
	s := apply(t, Empty(), Change{Put: []fgapi.Resource{workspace("w"), key("k", "w"), region, up, route}})
	data, err := Dump(s)
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := Load(data)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := Dump(loaded)
	if string(again) != string(data) || loaded.Generation() != 1 {
		t.Errorf("dump after loading is %s, want %s", again, data)
	}
	if _, ok := loaded.Key("k"); !ok || len(loaded.Upstreams("g")) != 1 || loaded.Route("/a/b/c") == nil || loaded.Route("/ab") != nil {
		t.Error("an index differs after loading")
	}
	if err := loaded.Check(Change{Delete: []fgapi.Ref{region.Ref()}}); !errors.Is(err, fgapi.ErrInvalid) {
		t.Errorf("deleting a referenced region after loading: error %v, want ErrInvalid", err)
	}
}

// BenchmarkDelta measures a small change at three configuration sizes, each ten
// times the previous one. The cost should not depend on the size.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			put := []fgapi.Resource{workspace("w")}
			for i := range n {
				put = append(put, key(fmt.Sprintf("k%d", i), "w"))
			}
			s := apply(b, Empty(), Change{Put: put})
			change := Change{Put: []fgapi.Resource{key("k7", "w")}, Delete: []fgapi.Ref{key("k8", "w").Ref()}}
			payload, _ := json.Marshal(change)
			b.ReportAllocs()
			for b.Loop() {
				if err := s.Check(change); err != nil {
					b.Fatal(err)
				}
				if _, err := Apply(s, fgjournal.Entry{Generation: 2, Payload: payload}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
