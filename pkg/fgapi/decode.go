package fgapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// ErrInvalid marks input that is refused as a whole.
var ErrInvalid = merry.Sentinel("invalid resource")

type envelope struct {
	APIVersion string   `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   Metadata `json:"metadata"`
	Spec       ast.Node `json:"spec"`
	Status     any      `json:"status"`
}

// Decode reads the YAML or JSON documents of one file. Unknown and repeated
// fields are errors that name the file and line.
func Decode(name string, data []byte) ([]Resource, error) {
	var out []Resource
	d := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	for {
		var e envelope
		err := d.Decode(&e)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, invalid(name, err)
		}
		r, err := e.resource()
		if err != nil {
			return nil, invalid(name, err)
		}
		out = append(out, r)
	}
}

func invalid(name string, err error) error {
	return fmt.Errorf("%s: %w: %s", name, ErrInvalid, yaml.FormatError(err, false, true))
}

func (e envelope) resource() (Resource, error) {
	if e.APIVersion != Version {
		return Resource{}, fmt.Errorf("apiVersion is %q; accepted is %q", e.APIVersion, Version)
	}
	spec := NewSpec(e.Kind)
	if spec == nil {
		return Resource{}, fmt.Errorf("kind is %q; accepted are %v", e.Kind, Kinds())
	}
	if e.Spec == nil {
		return Resource{}, fmt.Errorf("%s %q has no spec", e.Kind, e.Metadata.Name)
	}
	if err := yaml.NodeToValue(e.Spec, spec, yaml.Strict()); err != nil {
		return Resource{}, err
	}
	return Resource{APIVersion: e.APIVersion, Kind: e.Kind, Metadata: e.Metadata, Spec: spec}, nil
}

// UnmarshalJSON reads a resource whose spec type follows from its kind.
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
