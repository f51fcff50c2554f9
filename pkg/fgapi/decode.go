package fgapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxInputBytes bounds one file of resources.
const MaxInputBytes = 4 << 20

// Decode reads the YAML or JSON documents of one file: resources, or lists of
// resources. It reports every fault with file, line, field, value and what is
// accepted, and returns no resource when there is one. Status is ignored.
// References between resources are not checked; see Validate.
func Decode(name string, data []byte) ([]Resource, error) {
	if len(data) > MaxInputBytes {
		return nil, &Fault{file: name, field: "the file", value: fmt.Sprintf("has %d bytes", len(data)), accepted: fmt.Sprintf("at most %d bytes", MaxInputBytes)}
	}
	file, err := parse(data)
	if err != nil {
		return nil, syntaxFault(name, err)
	}
	d := &decoder{file: name}
	var out []Resource
	for _, document := range file.Docs {
		out = append(out, d.document(document.Body)...)
	}
	d.errs = append(d.errs, duplicates(out))
	if err := errors.Join(d.errs...); err != nil {
		return nil, err
	}
	return out, nil
}

// parse returns the syntax tree. The parser of the library panics on some
// malformed inputs; that is a syntax error like any other.
func parse(data []byte) (file *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.New("the text cannot be parsed")
		}
	}()
	trimmed := bytes.TrimSpace(data)
	if len(trimmed) > 0 && (trimmed[0] == '{' || trimmed[0] == '[') {
		// JSON allows tabs between tokens and never within strings; YAML does not.
		data = bytes.ReplaceAll(data, []byte("\t"), []byte(" "))
	}
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

func syntaxFault(name string, err error) error {
	f := &Fault{file: name, field: "the text", accepted: "YAML or JSON"}
	var y yaml.Error
	if errors.As(err, &y) {
		if t := y.GetToken(); t != nil && t.Position != nil {
			f.line = t.Position.Line
		}
		f.hint = y.GetMessage()
	}
	f.value = "is not valid"
	return f
}

type decoder struct {
	file string
	errs []error
}

func (d *decoder) document(n ast.Node) []Resource {
	switch n := n.(type) {
	case nil, *ast.NullNode:
		return nil
	case *ast.SequenceNode:
		var out []Resource
		for _, item := range n.Values {
			out = append(out, d.document(item)...)
		}
		return out
	}
	if fields, ok := mappingValues(n); ok {
		if r, ok := d.resource(n, fields); ok {
			return []Resource{r}
		}
		return nil
	}
	d.errs = append(d.errs, &Fault{file: d.file, line: lineOf(n), field: "the document", value: "is " + typeName(n), accepted: "a resource with apiVersion, kind, metadata and spec"})
	return nil
}

func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

// envelope is what every kind of resource has in common.
type envelope struct {
	APIVersion string   `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   Metadata `json:"metadata"`
	Spec       ast.Node `json:"spec"`
	Status     ast.Node `json:"status"`
}

func (d *decoder) resource(n ast.Node, fields []*ast.MappingValueNode) (Resource, bool) {
	before := len(d.errs)
	s := &scope{decoder: d, origin: &origin{file: d.file, line: lineOf(n), lines: map[string]int{}}}
	if len(fields) > 0 {
		s.origin.line = lineOf(fields[0].Key)
	}
	// The name is needed to tell people which resource has a fault.
	s.resource = peekRef(fields)
	var e envelope
	s.decodeFields(fields, &e, "")
	if e.APIVersion != Version {
		s.fault("apiVersion", "is "+quote("", e.APIVersion), Version, "")
	}
	spec := NewSpec(e.Kind)
	switch {
	case spec == nil:
		s.fault("kind", "is "+quote("", string(e.Kind)), listKinds(), "")
	case e.Spec == nil:
		s.fault("spec", "is missing", "the fields of a "+string(e.Kind), "")
	default:
		s.decodeStruct(e.Spec, spec, "spec")
	}
	if len(d.errs) > before {
		return Resource{}, false
	}
	r := Resource{APIVersion: e.APIVersion, Kind: e.Kind, Metadata: e.Metadata, Spec: spec, origin: s.origin}
	if err := validateAlone(r); err != nil {
		d.errs = append(d.errs, err)
		return Resource{}, false
	}
	return r, true
}

func listKinds() string {
	var names []string
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return "one of " + strings.Join(names, ", ")
}

// peekRef finds kind and name for messages, as far as they can be read.
func peekRef(fields []*ast.MappingValueNode) string {
	kind := scalarField(fields, "kind")
	var name string
	for _, f := range fields {
		if nested, ok := mappingValues(f.Value); ok && keyText(f) == "metadata" {
			name = scalarField(nested, "name")
		}
	}
	if kind == "" || name == "" {
		return ""
	}
	return showRef(Ref{Kind: Kind(kind), Name: name})
}

func scalarField(fields []*ast.MappingValueNode, name string) string {
	for _, f := range fields {
		if s, ok := f.Value.(*ast.StringNode); ok && keyText(f) == name {
			return s.Value
		}
	}
	return ""
}

// duplicates reports resources that are declared twice in one input.
func duplicates(resources []Resource) error {
	var errs []error
	first := map[Ref]Resource{}
	for _, r := range resources {
		old, ok := first[r.Ref()]
		if !ok {
			first[r.Ref()] = r
			continue
		}
		_, line := old.origin.at("")
		file, _ := old.origin.at("")
		errs = append(errs, r.fault("metadata.name", "is "+quote("", r.Metadata.Name)+", declared before at "+fmt.Sprintf("%s:%d", file, line), "a name that is used once for its kind"))
	}
	return errors.Join(errs...)
}

// UnmarshalJSON reads a resource whose spec type follows from its kind. It
// accepts unknown fields, so that a VM can follow a journal that a newer
// version has written.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var raw struct {
		APIVersion string          `json:"apiVersion"`
		Kind       Kind            `json:"kind"`
		Metadata   Metadata        `json:"metadata"`
		Spec       json.RawMessage `json:"spec"`
		Status     *Status         `json:"status"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	spec := NewSpec(raw.Kind)
	if spec == nil {
		return fmt.Errorf("%w: kind %q is unknown", ErrInvalid, raw.Kind)
	}
	if err := json.Unmarshal(raw.Spec, spec); err != nil {
		return err
	}
	*r = Resource{APIVersion: raw.APIVersion, Kind: raw.Kind, Metadata: raw.Metadata, Spec: spec, Status: raw.Status}
	return nil
}
