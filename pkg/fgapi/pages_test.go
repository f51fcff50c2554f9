package fgapi

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"
)

var tableRow = regexp.MustCompile("(?m)^\\| `([A-Za-z]+)` \\| ([a-z ]+) \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|$")

// pageTypeName returns the name that docs/resources.md uses for a Go type.
func pageTypeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[Duration]():
		return "duration"
	case reflect.TypeFor[BitRate]():
		return "bit rate"
	case reflect.TypeFor[*time.Time]():
		return "time"
	case reflect.TypeFor[[]string]():
		return "list of texts"
	}
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "boolean"
	case reflect.Int64:
		return "integer"
	default:
		return t.String()
	}
}

// Guards against fields that docs/resources.md does not describe, still
// describes after their removal, or describes with a wrong type.
func TestResourcesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/resources.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]string{}
	for _, s := range strings.Split(string(page), "\n## ")[1:] {
		title, text, _ := strings.Cut(s, "\n")
		sections[title] = text
	}
	for _, k := range Kinds() {
		documented := map[string]string{}
		for _, row := range tableRow.FindAllStringSubmatch(sections[string(k)], -1) {
			documented[row[1]] = row[2]
		}
		spec := reflect.TypeOf(NewSpec(k)).Elem()
		for i := range spec.NumField() {
			name := jsonName(spec.Field(i))
			if got, want := documented[name], pageTypeName(spec.Field(i).Type); got != want {
				t.Errorf("%s.%s is described as %q, its type is %q", k, name, got, want)
			}
			delete(documented, name)
		}
		for name := range documented {
			t.Errorf("%s.%s is described but is not a field", k, name)
		}
	}
	status := reflect.TypeFor[Status]()
	for i := range status.NumField() {
		if name := jsonName(status.Field(i)); !strings.Contains(sections["Status"], "| `"+name+"` |") {
			t.Errorf("status.%s is not described", name)
		}
	}
}
