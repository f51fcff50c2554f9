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

// MaxInputBytes is the maximum size of one resource file.
const MaxInputBytes = 4 << 20

// Decode parses the YAML or JSON documents of one file, each a resource or a
// list of resources. If anything is invalid, it returns no resources and an
// error that joins one FieldError per invalid field. The status field is ignored.
// References between resources are not checked; see Validate.
func Decode(name string, data []byte) ([]Resource, error) {
	if len(data) > MaxInputBytes {
		return nil, &FieldError{file: name, field: "the file", value: fmt.Sprintf("has %d bytes", len(data)), accepted: fmt.Sprintf("at most %d bytes", MaxInputBytes)}
	}
	file, err := parse(data)
	if err != nil {
		return nil, syntaxError(name, err)
	}
	d := &decoder{file: name}
	var out []Resource
	for _, document := range file.Docs {
		out = append(out, d.decodeDocument(document.Body)...)
	}
	d.errs = append(d.errs, checkDuplicates(out))
	if err := errors.Join(d.errs...); err != nil {
		return nil, err
	}
	return out, nil
}

// parse returns the syntax tree. The YAML library panics on some malformed
// inputs; parse reports a panic as a syntax error.
func parse(data []byte) (file *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.New("the text cannot be parsed")
		}
	}()
	trimmed := bytes.TrimSpace(data)
	if len(trimmed) > 0 && (trimmed[0] == '{' || trimmed[0] == '[') {
		// JSON allows tabs between tokens but not inside strings, so replacing them
		// changes no value. The YAML parser does not accept them.
		data = bytes.ReplaceAll(data, []byte("\t"), []byte(" "))
	}
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

// syntaxError converts an error of the YAML library, with its line if known.
func syntaxError(name string, err error) error {
	f := &FieldError{file: name, field: "the text", accepted: "YAML or JSON"}
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

// decoder collects the errors of one input file.
type decoder struct {
	file string
	errs []error
}

// decodeDocument decodes a resource, or a list of resources at any depth.
func (d *decoder) decodeDocument(n ast.Node) []Resource {
	switch n := n.(type) {
	case nil, *ast.NullNode:
		return nil
	case *ast.SequenceNode:
		var out []Resource
		for _, item := range n.Values {
			out = append(out, d.decodeDocument(item)...)
		}
		return out
	}
	if fields, ok := mappingValues(n); ok {
		if r, ok := d.decodeResource(n, fields); ok {
			return []Resource{r}
		}
		return nil
	}
	d.errs = append(d.errs, &FieldError{file: d.file, line: lineOf(n), field: "the document", value: "is " + typeName(n), accepted: "a resource with apiVersion, kind, metadata and spec"})
	return nil
}

// mappingValues returns the fields of a mapping. The parser may represent a
// mapping with one field as a bare MappingValueNode.
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

// envelope holds the fields that all kinds of resources share.
type envelope struct {
	APIVersion string   `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   Metadata `json:"metadata"`
	Spec       ast.Node `json:"spec"`
	Status     ast.Node `json:"status"`
}

func (d *decoder) decodeResource(n ast.Node, fields []*ast.MappingValueNode) (Resource, bool) {
	errsBefore := len(d.errs)
	fd := &fieldDecoder{decoder: d, origin: &origin{file: d.file, line: lineOf(n), lines: map[string]int{}}}
	if len(fields) > 0 {
		fd.origin.line = lineOf(fields[0].Key)
	}
	// Errors in the envelope itself must already name the resource.
	fd.resource = peekRef(fields)
	var e envelope
	fd.decodeFields(fields, &e, "")
	if e.APIVersion != Version {
		fd.addError("apiVersion", "is "+quoteValue("", e.APIVersion), Version, "")
	}
	spec := NewSpec(e.Kind)
	switch {
	case spec == nil:
		fd.addError("kind", "is "+quoteValue("", string(e.Kind)), listKinds(), "")
	case e.Spec == nil:
		fd.addError("spec", "is missing", "the fields of a "+string(e.Kind), "")
	default:
		fd.decodeStruct(e.Spec, spec, "spec")
	}
	if len(d.errs) > errsBefore {
		return Resource{}, false
	}
	r := Resource{APIVersion: e.APIVersion, Kind: e.Kind, Metadata: e.Metadata, Spec: spec, origin: fd.origin}
	if err := validateResource(r); err != nil {
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

// peekRef returns kind and name for error messages before the resource is
// decoded, or "" if either is missing.
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
	return displayRef(Ref{Kind: Kind(kind), Name: name})
}

// scalarField returns the text of a field, or "" if it is absent or not a string.
func scalarField(fields []*ast.MappingValueNode, name string) string {
	for _, f := range fields {
		if s, ok := f.Value.(*ast.StringNode); ok && keyText(f) == name {
			return s.Value
		}
	}
	return ""
}

// checkDuplicates reports resources with the same kind and name.
func checkDuplicates(resources []Resource) error {
	var errs []error
	first := map[Ref]Resource{}
	for _, r := range resources {
		previous, ok := first[r.Ref()]
		if !ok {
			first[r.Ref()] = r
			continue
		}
		_, line := previous.origin.at("")
		file, _ := previous.origin.at("")
		errs = append(errs, r.fieldError("metadata.name", "is "+quoteValue("", r.Metadata.Name)+", declared before at "+fmt.Sprintf("%s:%d", file, line), "a name that is used once for its kind"))
	}
	return errors.Join(errs...)
}

// UnmarshalJSON decodes a resource and selects the type of its spec by its kind.
// It accepts unknown fields, so that a VM can read journal entries that a newer
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
