package fgapi

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

const (
	regions = `
apiVersion: filbertgap/v1
kind: Region
metadata: {name: west}
spec: {availabilityZones: [west-a, west-b], clientBlocks: [10.1.0.0/16]}
---
apiVersion: filbertgap/v1
kind: Region
metadata: {name: east}
spec: {availabilityZones: [east-a]}
---
`
	upstream = `
apiVersion: filbertgap/v1
kind: Upstream
metadata: {name: up-1}
spec: {address: "127.0.0.1:9000", group: toys, region: west, availabilityZone: west-a}
---
`
)

func resourceText(kind, name, spec string) string {
	return "apiVersion: filbertgap/v1\nkind: " + kind + "\nmetadata: {name: " + name + "}\nspec:\n" + spec + "\n---\n"
}

func decodeAndValidate(text string) ([]Resource, error) {
	resources, err := Decode("f.yaml", []byte(text))
	if err != nil {
		return nil, err
	}
	return resources, Validate(resources)
}

const acceptedMethods = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"

// Guards against invalid input that is accepted, and against error messages
// that lack the file and line, the value or the accepted values.
func TestInvalidResources(t *testing.T) {
	workspace := resourceText("Workspace", "a", "  requestsPerSecond: 5\n  burst: 5")
	cap12 := resourceText("RegionalCap", "one", "  from: west\n  to: east\n  requestsPerSecond: 1\n  bitsPerSecond: 1Mbit")
	route := func(name, methods string) string {
		return resourceText("Route", name, "  pathPrefix: /toys\n  methods: ["+methods+"]\n  access: open\n  idempotent: true\n  deadline: 2s\n  upstreamGroup: toys")
	}
	tests := []struct {
		name, text string
		want       []string
	}{
		{"not YAML", "a: [1", []string{"f.yaml:1: the text is not valid; accepted is YAML or JSON (sequence end token ']' not found)"}},
		{"not a resource", "just text", []string{"f.yaml:1: the document is text; accepted is a resource with apiVersion, kind, metadata and spec"}},
		{"version", strings.Replace(workspace, "/v1", "/v2", 1), []string{`f.yaml:1: Workspace/a: apiVersion is "filbertgap/v2"; accepted is filbertgap/v1`}},
		{"kind", strings.Replace(workspace, "Workspace", "Team", 1), []string{`f.yaml:2: Team/a: kind is "Team"; accepted is one of Workspace, Key, Route, Region, RegionalCap, Upstream, Drain`}},
		{"no spec", "apiVersion: filbertgap/v1\nkind: Workspace\nmetadata: {name: a}", []string{"f.yaml:1: Workspace/a: spec is missing; accepted is the fields of a Workspace"}},
		{"unknown fields", resourceText("Workspace", "a", "  requestsPerSecond: 5\n  Burst: 5\n  colour: red"), []string{
			"f.yaml:6: Workspace/a: spec.Burst is not a field; accepted is one of requestsPerSecond, burst, weight (write burst)",
			"f.yaml:7: Workspace/a: spec.colour is not a field; accepted is one of requestsPerSecond, burst, weight"}},
		{"repeated field", resourceText("Workspace", "a", "  requestsPerSecond: 5\n  burst: 5\n  burst: 6"), []string{"f.yaml:7: Workspace/a: spec.burst is given twice, first at line 6; accepted is one value"}},
		{"wrong types", resourceText("Workspace", "12", "  requestsPerSecond: ten\n  burst: 1.5\n  weight: [1]"), []string{
			`f.yaml:3: metadata.name is "12", a number; accepted is text (write it in quotes)`,
			`f.yaml:5: spec.requestsPerSecond is "ten", text; accepted is a whole number`,
			`f.yaml:6: spec.burst is "1.5", a number; accepted is a whole number`,
			`f.yaml:7: spec.weight is a list; accepted is a whole number`}},
		{"alias", resourceText("Workspace", "a", "  requestsPerSecond: &x 5\n  burst: *x"), []string{
			"f.yaml:5: Workspace/a: spec.requestsPerSecond is an anchor, alias or tag; accepted is a whole number",
			"f.yaml:6: Workspace/a: spec.burst is an anchor, alias or tag; accepted is a whole number"}},
		{"ranges", resourceText("Workspace", "A_b", "  requestsPerSecond: 0\n  burst: -1\n  weight: 1000001"), []string{
			`f.yaml:3: Workspace/A_b: metadata.name is "A_b"; accepted is 1 to 63 of a-z, 0-9, '.' and '-', beginning and ending with a letter or digit`,
			"f.yaml:5: Workspace/A_b: spec.requestsPerSecond is 0; accepted is a number of requests per second from 1 to 1000000000",
			"f.yaml:6: Workspace/A_b: spec.burst is -1; accepted is a number of requests from 1 to 1000000000",
			"f.yaml:7: Workspace/A_b: spec.weight is 1000001; accepted is a weight from 0 to 1000000"}},
		{"repeated resource", workspace + workspace, []string{`f.yaml:10: Workspace/a: metadata.name is "a", declared before at f.yaml:1; accepted is a name that is used once for its kind`}},
		{"key", resourceText("Key", "k", "  workspace: none\n  digest: fgk_0011223344556677_0011\n  expiresAt: tomorrow"), []string{
			`f.yaml:7: Key/k: spec.expiresAt is "tomorrow"; accepted is a time in RFC 3339, for example 2027-01-31T18:00:00Z`}},
		{"key digest", resourceText("Key", "k", "  workspace: none\n  digest: fgk_0011223344556677_0011"), []string{
			"f.yaml:6: Key/k: spec.digest is not shown; accepted is 64 lower-case hex digits; key issue writes them"}},
		{"dangling workspace", resourceText("Key", "k", "  workspace: none\n  digest: "+strings.Repeat("a", 64)), []string{
			`f.yaml:5: Key/k: spec.workspace is "none"; accepted is the name of a declared Workspace`}},
		{"route", resourceText("Route", "r", "  pathPrefix: toys?x\n  methods: [get, GET, GET]\n  access: closed\n  idempotent: true\n  deadline: 5\n  upstreamGroup: toys"), []string{
			`f.yaml:9: Route/r: spec.deadline is "5"; accepted is a number with ms, s, m or h, for example 500ms or 5s (the unit is missing; for seconds write 5s)`}},
		{"route values", resourceText("Route", "r", "  pathPrefix: toys?x\n  methods: [get, GET, GET]\n  access: closed\n  idempotent: true\n  deadline: 2h\n  upstreamGroup: toys"), []string{
			`f.yaml:5: Route/r: spec.pathPrefix is "toys?x"; accepted is a path that begins with / and has no query, fragment, escape or space`,
			`f.yaml:6: Route/r: spec.methods[0] is "get"; accepted is one of ` + acceptedMethods,
			`f.yaml:6: Route/r: spec.methods[2] is "GET"; accepted is each method once`,
			`f.yaml:7: Route/r: spec.access is "closed"; accepted is open or keyed`,
			`f.yaml:9: Route/r: spec.deadline is "2h0m0s"; accepted is a duration above 0s and up to 1h, for example 5s`}},
		{"route without upstreams", route("r", "GET"), []string{`f.yaml:10: Route/r: spec.upstreamGroup is "toys"; accepted is the group of a declared Upstream`}},
		{"routes with one prefix and method", regions + upstream + route("r", "GET, PUT") + route("s", "POST, PUT"), []string{
			`f.yaml:33: Route/s: spec.pathPrefix is "/toys", as in Route/r; accepted is one route for each path prefix and method`}},
		{"region", resourceText("Region", "r", "  availabilityZones: [a, a]\n  clientBlocks: [10.1.2.3/16, x, 8.0.0.0/7, 2001:db8::/65]"), []string{
			`f.yaml:5: Region/r: spec.availabilityZones[1] is "a"; accepted is each name once`,
			`f.yaml:6: Region/r: spec.clientBlocks[0] is "10.1.2.3/16"; accepted is an address prefix whose remaining bits are zero, for example 10.1.0.0/16`,
			`f.yaml:6: Region/r: spec.clientBlocks[1] is "x"; accepted is an address prefix whose remaining bits are zero, for example 10.1.0.0/16`,
			`f.yaml:6: Region/r: spec.clientBlocks[2] is "8.0.0.0/7"; accepted is an IPv4 prefix of /8 to /32 or an IPv6 prefix of /8 to /64`,
			`f.yaml:6: Region/r: spec.clientBlocks[3] is "2001:db8::/65"; accepted is an IPv4 prefix of /8 to /32 or an IPv6 prefix of /8 to /64`}},
		{"regions that share", regions + resourceText("Region", "south", "  availabilityZones: [east-a]\n  clientBlocks: [10.1.0.0/16]"), []string{
			`f.yaml:16: Region/south: spec.availabilityZones[0] is "east-a"; accepted is a name that Region/east does not use`,
			`f.yaml:17: Region/south: spec.clientBlocks[0] is "10.1.0.0/16", as in Region/west; accepted is a block that no other region declares`}},
		{"two caps for one pair", regions + cap12 + strings.Replace(cap12, "one", "two", 1), []string{
			`f.yaml:26: RegionalCap/two: spec.to is "east", as in RegionalCap/one; accepted is one cap for each ordered pair of regions`}},
		{"cap within one region", regions + strings.Replace(cap12, "to: east", "to: west", 1), []string{
			`f.yaml:17: RegionalCap/one: spec.to is "west"; accepted is a region other than spec.from`}},
		{"cap in bytes", regions + strings.Replace(cap12, "1Mbit", "300MB", 1), []string{
			`f.yaml:19: RegionalCap/one: spec.bitsPerSecond is "300MB"; accepted is a number of bits per second with bit, kbit, Mbit, Gbit or Tbit, for example 300Mbit (the unit is bytes; write 2400Mbit)`}},
		{"upstream", resourceText("Upstream", "u", "  address: localhost:80\n  group: toys\n  region: west\n  availabilityZone: a\n  slots: -1"), []string{
			"f.yaml:9: Upstream/u: spec.slots is -1; accepted is a number of requests at once from 0 to 1000000",
			`f.yaml:5: Upstream/u: spec.address is "localhost:80"; accepted is an IP address and port, for example 10.0.0.5:8080`}},
		{"upstream outside of its region, and address twice", regions + upstream + resourceText("Upstream", "u", "  address: 127.0.0.1:9000\n  group: toys\n  region: west\n  availabilityZone: east-a"), []string{
			`f.yaml:25: Upstream/u: spec.availabilityZone is "east-a"; accepted is an availability zone of Region/west: west-a, west-b`,
			`f.yaml:22: Upstream/u: spec.address is "127.0.0.1:9000", as in Upstream/up-1; accepted is an address that no other upstream has`}},
		{"drain kind", resourceText("Drain", "d", "  targetKind: Rack\n  target: r1"), []string{`f.yaml:5: Drain/d: spec.targetKind is "Rack"; accepted is one of Upstream, VM, AvailabilityZone, Region`}},
		{"drain target", regions + resourceText("Drain", "d", "  targetKind: AvailabilityZone\n  target: north-a"), []string{`f.yaml:17: Drain/d: spec.target is "north-a"; accepted is an availability zone of a declared Region`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := decodeAndValidate(tt.text)
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("error is %v", err)
			}
			if got, want := err.Error(), strings.Join(tt.want, "\n"); got != want {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
			if got := len(FieldErrors(err)); got != len(tt.want) {
				t.Errorf("FieldErrors returns %d, want %d", got, len(tt.want))
			}
		})
	}
}

// Guards against valid input that is rejected, a status that is taken from the
// input, and JSON that decodes differently from YAML.
func TestDecodeAccepts(t *testing.T) {
	text := regions + upstream + resourceText("RegionalCap", "c", "  from: west\n  to: east\n  requestsPerSecond: 7\n  bitsPerSecond: 1.5Gbit") +
		"apiVersion: filbertgap/v1\nkind: Workspace\nmetadata: {name: w, resourceVersion: 3}\nspec: {requestsPerSecond: 1, burst: 2}\nstatus: {anything: [1, 2]}\n"
	fromYAML, err := decodeAndValidate(text)
	if err != nil {
		t.Fatal(err)
	}
	if s := fromYAML[3].Spec.(*RegionalCapSpec); s.BitsPerSecond != 1_500_000_000 {
		t.Errorf("bitsPerSecond is %d", s.BitsPerSecond)
	}
	if w := fromYAML[4]; w.Status != nil || w.Metadata.ResourceVersion != 3 {
		t.Errorf("workspace is %+v", w)
	}
	data, err := json.MarshalIndent(fromYAML, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	fromJSON, err := Decode("f.json", data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(withoutOrigin(fromYAML), withoutOrigin(fromJSON)) {
		t.Errorf("JSON decodes as %+v, YAML as %+v", fromJSON, fromYAML)
	}
}

// withoutOrigin clears the source positions, which differ between encodings.
func withoutOrigin(resources []Resource) []Resource {
	for i := range resources {
		resources[i].origin = nil
	}
	return resources
}

// Guards against units that are confused with each other, and against wrong hints.
func TestBitRate(t *testing.T) {
	tests := []struct {
		text string
		want BitRate
		hint string
	}{
		{"300Mbit", 300e6, ""}, {"4 Gbit", 4e9, ""}, {"1.5kbit", 1500, ""}, {"0", 0, ""}, {"42", 42, ""}, {"7bit", 7, ""},
		{"300MB", 0, "the unit is bytes; write 2400Mbit"}, {"1.5GB/s", 0, "the unit is bytes; write 12Gbit"}, {"10 bytes", 0, "the unit is bytes; write 80bit"},
		{"300mbit", 0, "write 300Mbit"}, {"300Mbps", 0, "write 300Mbit"}, {"300Mbit/s", 0, "write 300Mbit"}, {"5Kbit", 0, "write 5kbit"},
		{"1MiB", 0, "binary units are not accepted"}, {"1Mibit", 0, "binary units are not accepted"},
		{"0.5bit", 0, "the number of bits must be whole and below 2^63"}, {"99999999Tbit", 0, "the number of bits must be whole and below 2^63"},
		{"-1Mbit", 0, ""}, {"1e3bit", 0, ""}, {"", 0, ""}, {"Mbit", 0, ""}, {"5 parsecs", 0, ""},
	}
	for _, tt := range tests {
		var got BitRate
		err := got.UnmarshalText([]byte(tt.text))
		if got != tt.want {
			t.Errorf("%q is %d, want %d", tt.text, got, tt.want)
		}
		if err != nil && asValueError(err).hint != tt.hint {
			t.Errorf("%q: hint is %q, want %q", tt.text, asValueError(err).hint, tt.hint)
		}
		if err == nil && tt.want == 0 && tt.text != "0" {
			t.Errorf("%q is accepted", tt.text)
		}
		var again BitRate
		if again.UnmarshalText([]byte(got.String())) != nil || again != got {
			t.Errorf("%d is written as %s, which reads as %d", got, got, again)
		}
	}
}

// Guards against durations that are parsed wrongly, and against wrong hints.
func TestDuration(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
		hint string
	}{
		{"500ms", 500 * time.Millisecond, ""}, {"1m30s", 90 * time.Second, ""},
		{"5", 0, "the unit is missing; for seconds write 5s"}, {"5 seconds", 0, "write 5s"}, {"2min", 0, "write 2m"},
		{"3 d", 0, "write 72h"}, {"7S", 0, "write 7s"}, {"soon", 0, ""},
	}
	for _, tt := range tests {
		var got Duration
		err := got.UnmarshalText([]byte(tt.text))
		if got.Value() != tt.want || (err != nil) != (tt.want == 0) {
			t.Errorf("%q is %v, error %v", tt.text, got.Value(), err)
		}
		if err != nil && asValueError(err).hint != tt.hint {
			t.Errorf("%q: hint is %q, want %q", tt.text, asValueError(err).hint, tt.hint)
		}
	}
}

// FuzzDecode guards against panics, and against accepted input that changes when
// it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(regions + upstream))
	f.Add([]byte(`[{"apiVersion":"filbertgap/v1","kind":"Workspace","metadata":{"name":"a"},"spec":{"requestsPerSecond":1,"burst":1}}]`))
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		resources, err := Decode("f", data)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("error without ErrInvalid: %v", err)
			}
			return
		}
		text, err := json.Marshal(resources)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode("f", text)
		if err != nil {
			t.Fatalf("%s is rejected: %v", text, err)
		}
		if len(resources) > 0 && !reflect.DeepEqual(withoutOrigin(resources), withoutOrigin(again)) {
			t.Fatalf("%s decodes to different resources", text)
		}
	})
}
