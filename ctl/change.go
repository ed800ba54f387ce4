package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/resource"
)

// changeFlags returns the flags of a command about a change: the file of its resources and the
// revision that it is based on.
func changeFlags(name string) (fs *flag.FlagSet, file *string, expect *int64) {
	fs = flag.NewFlagSet(name, flag.ContinueOnError)
	file = fs.String("f", "", "YAML file of resources, or - for standard input")
	expect = fs.Int64("expect", 0, "revision that the change is based on; 0 means the one in force")
	return fs, file, expect
}

func (c *command) applyCommand() *ffcli.Command {
	fs, file, expect := changeFlags("apply")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "leverctl apply -f FILE", ShortHelp: "Applies resources from a YAML file atomically.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return errors.Wrap(ErrUsage, "leverctl apply -f FILE")
			}
			set, err := readResources(*file)
			if err != nil {
				return err
			}
			return c.apply(ctx, admin.ApplyRequest{ExpectRevision: *expect, Set: set})
		},
	}
}

func readResources(file string) ([]resource.Resource, error) {
	in, err := openResources(file)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	list, err := resource.ParseYAML(in)
	return list, errors.Wrapf(err, "%s", file)
}

func openResources(file string) (io.ReadCloser, error) {
	if file == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	f, err := os.Open(file)
	return f, errors.Wrap(err, "open resources")
}

// apply sends a change and prints its differences. Without an expected revision,
// the change is based on the revision in force.
func (c *command) apply(ctx context.Context, req admin.ApplyRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cl := c.client()
	if req.ExpectRevision == 0 {
		list, err := cl.List(ctx, string(resource.KindTerms), "")
		if err != nil {
			return err
		}
		req.ExpectRevision = list.Revision
	}
	req.Author = c.author
	resp, err := cl.Apply(ctx, req)
	var conflict *admin.ConflictError
	if errors.As(err, &conflict) {
		fmt.Fprintf(c.out, "conflict: revision %d is in force; since revision %d it changed:\n", conflict.Revision, req.ExpectRevision)
		c.printDifferences(conflict.Differences)
	}
	if err != nil {
		return err
	}
	c.printDifferences(resp.Differences)
	_, err = fmt.Fprintf(c.out, "revision %d accepted\n", resp.Revision)
	return err
}

func parseKind(text string) (resource.Kind, error) {
	for _, k := range resource.Kinds() {
		if strings.EqualFold(string(k), text) {
			return k, nil
		}
	}
	return "", errors.Wrapf(ErrUsage, "unknown kind %q", text)
}

func (c *command) delete(ctx context.Context, _ *admin.Client, args []string) error {
	kind, err := parseKind(args[0])
	if err != nil {
		return err
	}
	return c.apply(ctx, admin.ApplyRequest{Delete: []resource.Key{{Kind: kind, Name: args[1]}}})
}

// modifyResource reads one resource, changes its spec and applies it, based on
// the revision at which it was read.
func (c *command) modifyResource(ctx context.Context, cl *admin.Client, kind resource.Kind, name string, change func(spec any) error) error {
	list, err := cl.List(ctx, string(kind), name)
	if err != nil {
		return err
	}
	if len(list.Resources) != 1 {
		return errors.Newf("%s %q not found", kind, name)
	}
	r := list.Resources[0]
	if err := change(r.Spec); err != nil {
		return err
	}
	return c.apply(ctx, admin.ApplyRequest{ExpectRevision: list.Revision, Set: []resource.Resource{r}})
}

func (c *command) withdraw(ctx context.Context, cl *admin.Client, args []string) error {
	return c.modifyResource(ctx, cl, resource.KindVersion, args[0], func(spec any) error {
		v, ok := spec.(*resource.Version)
		if !ok {
			return errors.Newf("unexpected spec %T", spec)
		}
		v.State = resource.VersionWithdrawn
		return nil
	})
}

func (c *command) rollout(ctx context.Context, cl *admin.Client, args []string) error {
	states := map[string]resource.RolloutState{
		"halt": resource.RolloutHalted, "resume": resource.RolloutRunning, "back": resource.RolloutRolledBack,
	}
	state, ok := states[args[0]]
	if !ok {
		return errors.Wrap(ErrUsage, "leverctl rollout (halt|resume|back) NAME")
	}
	return c.modifyResource(ctx, cl, resource.KindRollout, args[1], func(spec any) error {
		r, ok := spec.(*resource.Rollout)
		if !ok {
			return errors.Newf("unexpected spec %T", spec)
		}
		r.State = state
		r.Reason = "operator " + c.author
		return nil
	})
}

func (c *command) billCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bill", flag.ContinueOnError)
	from := fs.String("from", "", "start, RFC 3339; default one day ago")
	to := fs.String("to", "", "end, RFC 3339; default now")
	by := fs.String("by", "team,version", "columns to sum by: team, model, version, rank, minute")
	return &ffcli.Command{
		Name: "bill", ShortUsage: "leverctl bill [-from T] [-to T] [-by columns]", FlagSet: fs,
		ShortHelp: "Sums the bill and shows the busiest minute.",
		Exec: func(ctx context.Context, _ []string) error {
			var times [2]time.Time
			for i, text := range []string{*from, *to} {
				if text == "" {
					continue
				}
				t, err := time.Parse(time.RFC3339, text)
				if err != nil {
					return errors.Mark(err, ErrUsage)
				}
				times[i] = t
			}
			bill, err := c.client().Bill(ctx, times[0], times[1], strings.Split(*by, ","))
			if err != nil {
				return err
			}
			return c.printBill(bill)
		},
	}
}

func (c *command) printBill(bill admin.BillResponse) error {
	err := c.table(func(w io.Writer) {
		fmt.Fprintln(w, "TEAM\tMODEL\tVERSION\tRANK\tMINUTE\tREQUESTS\tINPUT\tOUTPUT\tCOST")
		for _, r := range bill.Rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.3f\n",
				r.Team, r.Model, r.Version, r.Rank, r.Minute, r.Requests, r.InputTokens, r.OutputTokens, r.Cost)
		}
	})
	if err != nil || bill.BusiestMinute.IsZero() {
		return err
	}
	_, err = fmt.Fprintf(c.out, "busiest minute %s: %.3f\n", bill.BusiestMinute.Format(time.RFC3339), bill.BusiestCost)
	return err
}
