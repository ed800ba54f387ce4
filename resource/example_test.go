package resource_test

import (
	"fmt"
	"strings"

	"github.com/corianderlever/corianderlever/resource"
)

func Example() {
	list, err := resource.ParseYAML(strings.NewReader(`
kind: Model
name: small
---
kind: Version
name: small-1
spec: {model: small, input_cost: 1, output_cost: 2}
---
kind: Team
name: workshop
spec: {key_hashes: [], models: [small]}
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	snap, err := resource.NewSnapshot(1, list)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(snap.VersionsOf("small"), snap.MayServe("workshop", "small-1"), snap.MayServe("convent", "small-1"))
	// Output: [small-1] true false
}
