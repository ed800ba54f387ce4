package resource

import "fmt"

// FieldError reports a field of a resource that fails validation. It wraps ErrInvalid.
type FieldError struct {
	Kind Kind
	Name string
	// Field is the path of the field within the spec, such as models[1], several
	// such paths separated by ", ", or "name" or "kind" for these parts of the
	// resource.
	Field string
	// Message says what is wrong with the field.
	Message string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s %q: field %s: %s: %v", e.Kind, e.Name, e.Field, e.Message, ErrInvalid)
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// Problems returns all that makes NewSnapshot reject the resources.
func Problems(resources []Resource) []*FieldError {
	_, found := buildSnapshot(0, resources)
	return found
}

type problems []*FieldError

func (p *problems) add(r Resource, field, format string, args ...any) {
	*p = append(*p, &FieldError{Kind: r.Kind, Name: r.Name, Field: field, Message: fmt.Sprintf(format, args...)})
}

// element returns the path of an element of a list.
func element(field string, index int) string { return fmt.Sprintf("%s[%d]", field, index) }
