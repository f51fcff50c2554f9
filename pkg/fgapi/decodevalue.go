package fgapi

import (
	"encoding"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// scope decodes the fields of one resource and records their lines.
type scope struct {
	decoder  *decoder
	origin   *origin
	resource string
}

func (s *scope) fault(field, value, accepted, hint string) {
	file, line := s.origin.at(field)
	s.decoder.errs = append(s.decoder.errs, &Fault{
		file: file, line: line, resource: s.resource, field: field, value: value, accepted: accepted, hint: hint,
	})
}

func (s *scope) decodeStruct(n ast.Node, out any, path string) {
	fields, ok := mappingValues(n)
	if !ok {
		s.wrongType(n, path, "a set of fields")
		return
	}
	s.decodeFields(fields, out, path)
}

// decodeFields fills the struct that out points to by its JSON field names.
func (s *scope) decodeFields(fields []*ast.MappingValueNode, out any, path string) {
	target := reflect.ValueOf(out).Elem()
	known := fieldsByName(target.Type())
	seen := map[string]bool{}
	for _, f := range fields {
		name := keyText(f)
		full := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			// Points to the repeated field instead of the first one.
			first := s.origin.lines[full]
			s.origin.lines[full] = lineOf(f.Key)
			s.fault(full, "is given twice, first at line "+strconv.Itoa(first), "one value", "")
			continue
		}
		seen[name] = true
		s.origin.lines[full] = lineOf(f.Key)
		index, ok := known[name]
		if !ok {
			s.fault(full, "is not a field", "one of "+fieldNames(target.Type()), nearest(name, target.Type()))
			continue
		}
		s.decodeValue(f.Value, target.Field(index), full)
	}
}

func (s *scope) decodeValue(n ast.Node, v reflect.Value, path string) {
	if node, ok := v.Addr().Interface().(*ast.Node); ok {
		*node = n
		return
	}
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok && v.Type() != reflect.TypeFor[time.Time]() {
		s.decodeText(n, text, path)
		return
	}
	switch v.Interface().(type) {
	case *time.Time:
		s.decodeTime(n, v, path)
		return
	case []string:
		s.decodeStrings(n, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		s.decodeStruct(n, v.Addr().Interface(), path)
	case reflect.String:
		if text, ok := stringValue(n); ok {
			v.SetString(text)
			return
		}
		s.wrongType(n, path, "text")
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		s.wrongType(n, path, "true or false")
	case reflect.Int64:
		i, err := integerValue(n)
		if err != nil {
			s.wrongType(n, path, "a whole number")
			return
		}
		v.SetInt(i)
	case reflect.Uint64:
		i, err := integerValue(n)
		if err != nil || i < 0 {
			s.wrongType(n, path, "a whole number of 0 or more")
			return
		}
		v.SetUint(uint64(i))
	default:
		s.fault(path, "has the type "+v.Type().String()+", which the decoder does not know", "", "")
	}
}

func (s *scope) decodeText(n ast.Node, out encoding.TextUnmarshaler, path string) {
	text, ok := scalarText(n)
	if !ok {
		s.wrongType(n, path, "text")
		return
	}
	if err := out.UnmarshalText([]byte(text)); err != nil {
		e := asValueError(err)
		s.fault(path, "is "+quote(path, text), e.accepted, e.hint)
	}
}

func (s *scope) decodeTime(n ast.Node, v reflect.Value, path string) {
	const accepted = "a time in RFC 3339, for example 2027-01-31T18:00:00Z"
	if _, ok := n.(*ast.NullNode); ok {
		return
	}
	text, ok := stringValue(n)
	if !ok {
		s.wrongType(n, path, accepted)
		return
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		s.fault(path, "is "+quote(path, text), accepted, "")
		return
	}
	v.Set(reflect.ValueOf(&t))
}

func (s *scope) decodeStrings(n ast.Node, v reflect.Value, path string) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		s.wrongType(n, path, "a list of texts")
		return
	}
	// Stays nil for an empty list, which the JSON form omits.
	var out []string
	for i, item := range list.Values {
		element := path + "[" + strconv.Itoa(i) + "]"
		s.origin.lines[element] = lineOf(item)
		text, ok := stringValue(item)
		if !ok {
			s.wrongType(item, element, "text")
			continue
		}
		out = append(out, text)
	}
	v.Set(reflect.ValueOf(out))
}

func (s *scope) wrongType(n ast.Node, path, accepted string) {
	value := typeName(n)
	if text, ok := scalarText(n); ok {
		value = quote(path, text) + ", " + value
	}
	hint := ""
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		if accepted == "text" {
			hint = "write it in quotes"
		}
	}
	s.fault(path, "is "+value, accepted, hint)
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

// scalarText returns the text of a scalar as it was written.
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

// nearest suggests a field that differs in letter case or in one character at
// the end only.
func nearest(name string, t reflect.Type) string {
	for i := range t.NumField() {
		known := jsonName(t.Field(i))
		if strings.EqualFold(name, known) || strings.EqualFold(name, known+"s") || strings.EqualFold(name+"s", known) {
			return "write " + known
		}
	}
	return ""
}
