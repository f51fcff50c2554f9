package fgapi

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid marks input that is refused as a whole.
var ErrInvalid = merry.Sentinel("invalid resource")

const (
	// maxShownValue bounds how much of a refused value an error repeats.
	maxShownValue = 64
	// hiddenValue stands for a value that must not appear in errors or logs.
	hiddenValue = "not shown"
)

// Fault describes one refused value: where it is and what is accepted in its
// place. It is ErrInvalid for errors.Is.
type Fault struct {
	file     string
	line     int
	resource string
	field    string
	value    string
	accepted string
	hint     string
}

// File returns the name of the input, or "" for a resource that is already
// declared.
func (f *Fault) File() string { return f.file }

// Line returns the line in the file, from 1, or 0 when it is not known.
func (f *Fault) Line() int { return f.line }

// Field returns the path of the field, for example spec.burst.
func (f *Fault) Field() string { return f.field }

// Error returns the fault as one line.
func (f *Fault) Error() string {
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
func (f *Fault) Unwrap() error { return ErrInvalid }

// Faults returns the faults that an error of Decode or Validate holds.
func Faults(err error) []*Fault {
	if f := (*Fault)(nil); errors.As(err, &f) {
		if joined, ok := err.(interface{ Unwrap() []error }); ok {
			var out []*Fault
			for _, e := range joined.Unwrap() {
				out = append(out, Faults(e)...)
			}
			return out
		}
		return []*Fault{f}
	}
	return nil
}

// quote shows a refused value. Digests and anything that looks like a key are
// not repeated, since errors end up in logs.
func quote(field, value string) string {
	if field == "spec.digest" || strings.Contains(strings.ToLower(value), "fgk_") {
		return hiddenValue
	}
	if len(value) > maxShownValue {
		return fmt.Sprintf("%q...", value[:maxShownValue])
	}
	return fmt.Sprintf("%q", value)
}

// showRef returns the name of a resource, unless a key was given as its name.
func showRef(r Ref) string {
	if quote("", r.Name) == hiddenValue {
		return string(r.Kind)
	}
	return r.String()
}

// valueError is a refused text with what is accepted instead.
type valueError struct {
	text     string
	accepted string
	hint     string
}

// Error returns the text and what is accepted.
func (e *valueError) Error() string {
	return (&Fault{value: fmt.Sprintf("%q", e.text), accepted: e.accepted, hint: e.hint}).Error()
}

// Unwrap returns ErrInvalid.
func (e *valueError) Unwrap() error { return ErrInvalid }

// origin tells where a resource's fields were read.
type origin struct {
	file  string
	line  int
	lines map[string]int
}

// at returns the line of a field, or of the closest field around it.
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
