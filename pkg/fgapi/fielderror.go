package fgapi

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid marks errors about invalid resources.
var ErrInvalid = merry.Sentinel("invalid resource")

const (
	// maxShownValueBytes limits how much of a rejected value an error contains.
	maxShownValueBytes = 64
	// redactedValue replaces a value that must not appear in errors or logs.
	redactedValue = "not shown"
)

// FieldError describes one invalid field: its position, its value and which values
// are accepted. It wraps ErrInvalid.
type FieldError struct {
	file     string
	line     int
	resource string
	field    string
	value    string
	accepted string
	hint     string
}

// File returns the name of the input file, or "" for a resource that was not
// decoded from a file.
func (f *FieldError) File() string { return f.file }

// Line returns the line in the file, counted from 1, or 0 if it is unknown.
func (f *FieldError) Line() int { return f.line }

// Field returns the path of the field, for example spec.burst.
func (f *FieldError) Field() string { return f.field }

// Error returns a one-line message: position, resource, field, value, accepted
// values and hint.
func (f *FieldError) Error() string {
	var b strings.Builder
	if f.file != "" {
		b.WriteString(f.file + ":")
		if f.line > 0 {
			fmt.Fprintf(&b, "%d:", f.line)
		}
		b.WriteString(" ")
	}
	if f.resource != "" {
		b.WriteString(f.resource + ": ")
	}
	b.WriteString(strings.TrimSpace(f.field + " " + f.value))
	if f.accepted != "" {
		b.WriteString("; accepted is " + f.accepted)
	}
	if f.hint != "" {
		b.WriteString(" (" + f.hint + ")")
	}
	return b.String()
}

// Unwrap returns ErrInvalid.
func (f *FieldError) Unwrap() error { return ErrInvalid }

// FieldErrors returns every FieldError in an error of Decode or Validate.
func FieldErrors(err error) []*FieldError {
	if f := (*FieldError)(nil); errors.As(err, &f) {
		if joined, ok := err.(interface{ Unwrap() []error }); ok {
			var out []*FieldError
			for _, e := range joined.Unwrap() {
				out = append(out, FieldErrors(e)...)
			}
			return out
		}
		return []*FieldError{f}
	}
	return nil
}

// quoteValue quotes a rejected value for an error message and truncates it to
// maxShownValueBytes. It redacts digests and anything that looks like a key,
// because errors are logged.
func quoteValue(field, value string) string {
	if field == "spec.digest" || strings.Contains(strings.ToLower(value), "fgk_") {
		return redactedValue
	}
	if len(value) > maxShownValueBytes {
		return fmt.Sprintf("%q...", value[:maxShownValueBytes])
	}
	return fmt.Sprintf("%q", value)
}

// displayRef returns kind and name, or only the kind if the name contains a key.
func displayRef(r Ref) string {
	if quoteValue("", r.Name) == redactedValue {
		return string(r.Kind)
	}
	return r.String()
}

// valueError reports a text that an UnmarshalText method rejected.
type valueError struct {
	text     string
	accepted string
	hint     string
}

// Error returns the rejected text, the accepted values and the hint.
func (e *valueError) Error() string {
	return (&FieldError{value: fmt.Sprintf("%q", e.text), accepted: e.accepted, hint: e.hint}).Error()
}

// Unwrap returns ErrInvalid.
func (e *valueError) Unwrap() error { return ErrInvalid }

// origin records the source position of a resource and of its fields.
type origin struct {
	file string
	// line is the first line of the resource.
	line int
	// lines holds the lines of fields by path, such as spec.methods[0].
	lines map[string]int
}

// at returns the file, and the line of a field or of its closest enclosing field.
// A nil origin has no position.
func (o *origin) at(field string) (string, int) {
	if o == nil {
		return "", 0
	}
	for field != "" {
		if line, ok := o.lines[field]; ok {
			return o.file, line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return o.file, o.line
}
