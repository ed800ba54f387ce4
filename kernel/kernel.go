// Package kernel manages the services of a process. Services register under a name,
// look each other up by name and interface, start in dependency order and stop in
// reverse order.
package kernel

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by the kernel.
var (
	// ErrDuplicate reports two services with one name.
	ErrDuplicate = errors.New("kernel: duplicate service")
	// ErrMissing reports a service that is required but not registered.
	ErrMissing = errors.New("kernel: missing service")
	// ErrCycle reports services that require each other.
	ErrCycle = errors.New("kernel: dependency cycle")
	// ErrType reports a service that is not of the type requested from Lookup.
	ErrType = errors.New("kernel: service is not of the requested type")
)

// Service is a component that registers with a kernel. It may implement the
// lifecycle interfaces below.
type Service interface {
	// Name returns the name by which other services look this one up.
	Name() string
}

// Requirer is a service that names the services which must start before it.
type Requirer interface {
	Requires() []string
}

// Provisioner is a service that looks up the services it uses. Provision is called in
// dependency order.
type Provisioner interface {
	Provision(k *Kernel) error
}

// Validator is a service that checks itself. Validate is called after all services
// are provisioned and before any service starts.
type Validator interface {
	Validate() error
}

// Starter is a service that starts work. Start returns once the service is usable.
// ctx bounds only the start; background work ends with Stop.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a service that stops gracefully before ctx ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds the registered services. It is not safe for concurrent use.
type Kernel struct {
	services map[string]Service
	names    []string // in registration order, which breaks ties in the start order
	started  []Service
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[string]Service)}
}

// Register adds services under their names.
func (k *Kernel) Register(services ...Service) error {
	for _, s := range services {
		name := s.Name()
		if _, ok := k.services[name]; ok {
			return errors.Wrapf(ErrDuplicate, "%q", name)
		}
		k.services[name] = s
		k.names = append(k.names, name)
	}
	return nil
}

// Lookup returns the service registered under name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, errors.Wrapf(ErrMissing, "%q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.Wrapf(ErrType, "%q is %T", name, s)
	}
	return t, nil
}

// Bind sets *into to the result of Lookup. It leaves *into unchanged on errors.
func Bind[T any](k *Kernel, name string, into *T) error {
	found, err := Lookup[T](k, name)
	if err == nil {
		*into = found
	}
	return err
}

// Start provisions and validates all services, then starts them, each in dependency
// order. If a start fails, the services already started are stopped; a service whose
// start fails cleans up after itself.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.order()
	if err != nil {
		return err
	}
	if err := k.prepare(order); err != nil {
		return err
	}
	for _, s := range order {
		if st, ok := s.(Starter); ok {
			if err := st.Start(ctx); err != nil {
				err = errors.Wrapf(err, "start %q", s.Name())
				return errors.CombineErrors(err, k.stopStarted(ctx))
			}
		}
		k.started = append(k.started, s)
	}
	return nil
}

// failedStartStopTime bounds the stop of the services after a failed start.
const failedStartStopTime = 15 * time.Second

// stopStarted stops the services after a failed start, also if the start was cancelled.
func (k *Kernel) stopStarted(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), failedStartStopTime)
	defer cancel()
	return k.Stop(ctx)
}

func (k *Kernel) prepare(order []Service) error {
	for _, s := range order {
		if p, ok := s.(Provisioner); ok {
			if err := p.Provision(k); err != nil {
				return errors.Wrapf(err, "provision %q", s.Name())
			}
		}
	}
	for _, s := range order {
		if v, ok := s.(Validator); ok {
			if err := v.Validate(); err != nil {
				return errors.Wrapf(err, "validate %q", s.Name())
			}
		}
	}
	return nil
}

// Stop stops the started services in reverse order and returns the combined errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var combined error
	for _, s := range slices.Backward(k.started) {
		if st, ok := s.(Stopper); ok {
			if err := st.Stop(ctx); err != nil {
				combined = errors.CombineErrors(combined, errors.Wrapf(err, "stop %q", s.Name()))
			}
		}
	}
	k.started = nil
	return combined
}

// order returns the services sorted so that each follows the services it requires.
func (k *Kernel) order() ([]Service, error) {
	var order []Service
	done := make(map[string]bool)
	var path []string
	var visit func(name, requiredBy string) error
	visit = func(name, requiredBy string) error {
		if done[name] {
			return nil
		}
		if slices.Contains(path, name) {
			return errors.Wrapf(ErrCycle, "%s -> %s", strings.Join(path, " -> "), name)
		}
		s, ok := k.services[name]
		if !ok {
			return errors.Wrapf(ErrMissing, "%q, required by %q", name, requiredBy)
		}
		path = append(path, name)
		if r, ok := s.(Requirer); ok {
			for _, dep := range r.Requires() {
				if err := visit(dep, name); err != nil {
					return err
				}
			}
		}
		path = path[:len(path)-1]
		done[name] = true
		order = append(order, s)
		return nil
	}
	for _, name := range k.names {
		if err := visit(name, ""); err != nil {
			return nil, err
		}
	}
	return order, nil
}
