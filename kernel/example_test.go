package kernel_test

import (
	"context"
	"fmt"

	"github.com/corianderlever/corianderlever/kernel"
)

type greeter struct{ text string }

func (g *greeter) Name() string  { return "greeter" }
func (g *greeter) Greet() string { return g.text }

type caller struct{ greeter interface{ Greet() string } }

func (c *caller) Name() string       { return "caller" }
func (c *caller) Requires() []string { return []string{"greeter"} }
func (c *caller) Provision(k *kernel.Kernel) (err error) {
	c.greeter, err = kernel.Lookup[interface{ Greet() string }](k, "greeter")
	return err
}
func (c *caller) Start(context.Context) error {
	fmt.Println(c.greeter.Greet())
	return nil
}

func Example() {
	k := kernel.New()
	if err := k.Register(&caller{}, &greeter{text: "hello"}); err != nil {
		fmt.Println(err)
	}
	if err := k.Start(context.Background()); err != nil {
		fmt.Println(err)
	}
	// Output: hello
}
