package fgapi

import (
	"encoding"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// fieldDecoder decodes the fields of one resource and records their lines.
type fieldDecoder struct {
	decoder  *decoder
	origin   *origin
	resource string
}

func (fd *fieldDecoder) addError(field, value, accepted, hint string) {
	file, line := fd.origin.at(field)
	fd.decoder.errs = append(fd.decoder.errs, &FieldError{
		file: file, line: line, resource: fd.resource, field: field, value: value, accepted: accepted, hint: hint,
	})
}

// decodeStruct decodes a mapping into the struct that out points to. path is the
// field path for error messages, such as spec.burst.
func (fd *fieldDecoder) decodeStruct(n ast.Node, out any, path string) {
	fields, ok := mappingValues(n)
	if !ok {
		fd.addTypeError(n, path, "a set of fields")
		return
	}
	fd.decodeFields(fields, out, path)
}

// decodeFields sets the fields of the struct that out points to by their JSON
// names.
func (fd *fieldDecoder) decodeFields(fields []*ast.MappingValueNode, out any, path string) {
	target := reflect.ValueOf(out).Elem()
	known := fieldsByName(target.Type())
	seen := map[string]bool{}
	for _, f := range fields {
		name := keyText(f)
		full := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			// The error is reported at the line of the repeated field.
			first := fd.origin.lines[full]
			fd.origin.lines[full] = lineOf(f.Key)
			fd.addError(full, "is given twice, first at line "+strconv.Itoa(first), "one value", "")
			continue
		}
		seen[name] = true
		fd.origin.lines[full] = lineOf(f.Key)
		index, ok := known[name]
		if !ok {
			fd.addError(full, "is not a field", "one of "+fieldNames(target.Type()), suggestField(name, target.Type()))
			continue
		}
		fd.decodeValue(f.Value, target.Field(index), full)
	}
}

func (fd *fieldDecoder) decodeValue(n ast.Node, v reflect.Value, path string) {
	if node, ok := v.Addr().Interface().(*ast.Node); ok {
		*node = n
		return
	}
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok && v.Type() != reflect.TypeFor[time.Time]() {
		fd.decodeText(n, text, path)
		return
	}
	switch v.Interface().(type) {
	case *time.Time:
		fd.decodeTime(n, v, path)
		return
	case []string:
		fd.decodeStrings(n, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		fd.decodeStruct(n, v.Addr().Interface(), path)
	case reflect.String:
		if text, ok := stringValue(n); ok {
			v.SetString(text)
			return
		}
		fd.addTypeError(n, path, "text")
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		fd.addTypeError(n, path, "true or false")
	case reflect.Int64:
		i, err := integerValue(n)
		if err != nil {
			fd.addTypeError(n, path, "a whole number")
			return
		}
		v.SetInt(i)
	case reflect.Uint64:
		i, err := integerValue(n)
		if err != nil || i < 0 {
			fd.addTypeError(n, path, "a whole number of 0 or more")
			return
		}
		v.SetUint(uint64(i))
	default:
		fd.addError(path, "has the type "+v.Type().String()+", which the decoder does not know", "", "")
	}
}

func (fd *fieldDecoder) decodeText(n ast.Node, out encoding.TextUnmarshaler, path string) {
	text, ok := scalarText(n)
	if !ok {
		fd.addTypeError(n, path, "text")
		return
	}
	if err := out.UnmarshalText([]byte(text)); err != nil {
		e := asValueError(err)
		fd.addError(path, "is "+quoteValue(path, text), e.accepted, e.hint)
	}
}

// decodeTime sets a *time.Time, which stays nil for an empty value.
func (fd *fieldDecoder) decodeTime(n ast.Node, v reflect.Value, path string) {
	const accepted = "a time in RFC 3339, for example 2027-01-31T18:00:00Z"
	if _, ok := n.(*ast.NullNode); ok {
		return
	}
	text, ok := stringValue(n)
	if !ok {
		fd.addTypeError(n, path, accepted)
		return
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		fd.addError(path, "is "+quoteValue(path, text), accepted, "")
		return
	}
	v.Set(reflect.ValueOf(&t))
}

func (fd *fieldDecoder) decodeStrings(n ast.Node, v reflect.Value, path string) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		fd.addTypeError(n, path, "a list of texts")
		return
	}
	// Stays nil for an empty list, so that a resource is equal after a round trip
	// through JSON, which omits empty lists.
	var out []string
	for i, item := range list.Values {
		element := path + "[" + strconv.Itoa(i) + "]"
		fd.origin.lines[element] = lineOf(item)
		text, ok := stringValue(item)
		if !ok {
			fd.addTypeError(item, element, "text")
			continue
		}
		out = append(out, text)
	}
	v.Set(reflect.ValueOf(out))
}

func (fd *fieldDecoder) addTypeError(n ast.Node, path, accepted string) {
	value := typeName(n)
	if text, ok := scalarText(n); ok {
		value = quoteValue(path, text) + ", " + value
	}
	hint := ""
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		if accepted == "text" {
			hint = "write it in quotes"
		}
	}
	fd.addError(path, "is "+value, accepted, hint)
}

func stringValue(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

// scalarText returns the source text of a scalar.
func scalarText(n ast.Node) (string, bool) {
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, true
	default:
		return stringValue(n)
	}
}

func integerValue(n ast.Node) (int64, error) {
	if _, ok := n.(*ast.IntegerNode); !ok {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseInt(n.GetToken().Value, 10, 64)
}

// typeName returns the type of a value as error messages call it.
func typeName(n ast.Node) string {
	switch n.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "a truth value"
	case nil, *ast.NullNode:
		return "empty"
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a set of fields"
	default:
		return "an anchor, alias or tag"
	}
}

func keyText(f *ast.MappingValueNode) string {
	if s, ok := f.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return f.Key.String()
}

func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// fieldsByName maps the JSON names of a struct's fields to their indexes.
func fieldsByName(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		out[jsonName(t.Field(i))] = i
	}
	return out
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldNames(t reflect.Type) string {
	var out []string
	for i := range t.NumField() {
		out = append(out, jsonName(t.Field(i)))
	}
	return strings.Join(out, ", ")
}

// suggestField returns a hint if a known field differs from name only in letter
// case or in a trailing "s".
func suggestField(name string, t reflect.Type) string {
	for i := range t.NumField() {
		known := jsonName(t.Field(i))
		if strings.EqualFold(name, known) || strings.EqualFold(name, known+"s") || strings.EqualFold(name+"s", known) {
			return "write " + known
		}
	}
	return ""
}
