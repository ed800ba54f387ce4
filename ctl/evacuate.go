package ctl

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/resource"
)

// evacuationName returns the name of the Evacuation of a failure domain, which may contain
// characters that names may not.
func evacuationName(domain string) string {
	sum := sha256.Sum256([]byte(domain))
	return "domain-" + hex.EncodeToString(sum[:8])
}

// evacuate writes the Evacuation of a failure domain.
func (c *command) evacuate(ctx context.Context, _ *admin.Client, args []string) error {
	domain := args[0]
	return c.apply(ctx, admin.ApplyRequest{Set: []resource.Resource{
		{Kind: resource.KindEvacuation, Name: evacuationName(domain), Spec: &resource.Evacuation{FailureDomain: domain}},
	}})
}

// readmit deletes every Evacuation of a failure domain, whatever its name.
func (c *command) readmit(ctx context.Context, cl *admin.Client, args []string) error {
	list, err := cl.List(ctx, string(resource.KindEvacuation), "")
	if err != nil {
		return err
	}
	var keys []resource.Key
	for _, r := range list.Resources {
		if e, ok := r.Spec.(*resource.Evacuation); ok && e.FailureDomain == args[0] {
			keys = append(keys, r.Key())
		}
	}
	if len(keys) == 0 {
		return errors.Newf("failure domain %q is not evacuated", args[0])
	}
	return c.apply(ctx, admin.ApplyRequest{ExpectRevision: list.Revision, Delete: keys})
}
