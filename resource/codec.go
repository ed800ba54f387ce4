package resource

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Resource is one declared resource. Spec is a pointer to the struct of its Kind,
// such as *Model.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	Spec any    `json:"spec"`
}

// Key identifies a resource within a configuration.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Key returns the identity of r.
func (r Resource) Key() Key { return Key{r.Kind, r.Name} }

// newSpec returns a pointer to a spec of the kind with its default values.
func newSpec(kind Kind) (any, error) {
	switch kind {
	case KindModel:
		return new(Model), nil
	case KindVersion:
		return &Version{State: VersionServing}, nil
	case KindCascade:
		return new(Cascade), nil
	case KindTeam:
		return &Team{Weight: 1}, nil
	case KindRank:
		return new(Rank), nil
	case KindEndpoint:
		return &Endpoint{State: EndpointActive, Concurrency: 8}, nil
	case KindService:
		return new(Service), nil
	case KindRollout:
		return &Rollout{State: RolloutRunning}, nil
	case KindTerms:
		return new(Terms), nil
	case KindEvacuation:
		return new(Evacuation), nil
	}
	return nil, errors.Wrapf(ErrInvalid, "unknown kind %q", kind)
}

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{KindModel, KindVersion, KindCascade, KindTeam, KindRank,
		KindEndpoint, KindService, KindRollout, KindTerms, KindEvacuation}
}

// UnmarshalJSON decodes the spec by its kind and rejects unknown fields.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var raw struct {
		Kind Kind            `json:"kind"`
		Name string          `json:"name"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := decodeStrict(data, &raw); err != nil {
		return err
	}
	spec, err := newSpec(raw.Kind)
	if err != nil {
		return err
	}
	if len(raw.Spec) > 0 {
		if err := decodeStrict(raw.Spec, spec); err != nil {
			return errors.Wrapf(err, "%s %q", raw.Kind, raw.Name)
		}
	}
	*r = Resource{Kind: raw.Kind, Name: raw.Name, Spec: spec}
	return nil
}

func decodeStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return errors.Mark(errors.Wrap(err, "decode JSON"), ErrInvalid)
	}
	return nil
}

// UnmarshalYAML decodes the spec by its kind and rejects unknown fields.
func (r *Resource) UnmarshalYAML(unmarshal func(any) error) error {
	var untyped struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name"`
		Spec any    `json:"spec"`
	}
	if err := unmarshal(&untyped); err != nil {
		return err
	}
	spec, err := newSpec(untyped.Kind)
	if err != nil {
		return err
	}
	// The second pass decodes into the typed spec, so that errors name the line
	// and the field. The struct is built by reflection because the type
	// of the field depends on the kind.
	typ := reflect.StructOf([]reflect.StructField{
		{Name: "Kind", Type: reflect.TypeFor[Kind](), Tag: `json:"kind"`},
		{Name: "Name", Type: reflect.TypeFor[string](), Tag: `json:"name"`},
		{Name: "Spec", Type: reflect.TypeOf(spec), Tag: `json:"spec"`},
	})
	typed := reflect.New(typ)
	typed.Elem().Field(2).Set(reflect.ValueOf(spec))
	if err := unmarshal(typed.Interface()); err != nil {
		return err
	}
	if decodedSpec := typed.Elem().Field(2); !decodedSpec.IsNil() {
		spec = decodedSpec.Interface()
	}
	*r = Resource{Kind: untyped.Kind, Name: untyped.Name, Spec: spec}
	return nil
}

// ParseYAML reads a stream of YAML documents with one resource each.
func ParseYAML(in io.Reader) ([]Resource, error) {
	docs, err := ParseDocuments(in)
	if err != nil {
		return nil, err
	}
	var out []Resource
	for i, d := range docs {
		if d.Err != nil {
			return nil, errors.Mark(errors.Wrapf(d.Err, "document %d", i+1), ErrInvalid)
		}
		out = append(out, d.Resource)
	}
	return out, nil
}

// FormatYAML writes resources as a stream of YAML documents.
func FormatYAML(out io.Writer, resources []Resource) error {
	enc := yaml.NewEncoder(out)
	for _, r := range resources {
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "encode YAML")
		}
	}
	return errors.Wrap(enc.Close(), "encode YAML")
}

// Sort orders resources by kind and name.
func Sort(resources []Resource) {
	slices.SortFunc(resources, func(a, b Resource) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}
