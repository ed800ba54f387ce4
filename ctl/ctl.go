// Package ctl implements leverctl, the command line tool of operators.
package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/resource"
)

// ErrUsage reports invalid arguments.
var ErrUsage = errors.New("usage error")

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "LEVERCTL"

// callTimeout bounds the calls that make one change.
const callTimeout = 30 * time.Second

// command holds the flags and the output that all commands share.
type command struct {
	addr   string
	key    string
	author string
	out    io.Writer
}

// Run runs leverctl with the given arguments and writes its output to out.
func Run(ctx context.Context, args []string, out io.Writer) error {
	root := New(out)
	if err := root.Parse(args); err != nil {
		return errors.Mark(err, ErrUsage)
	}
	return root.Run(ctx)
}

// ExitStatus returns the exit status for the error of Run: 2 for wrong arguments and
// for a check that could not be made, 1 for other errors, including findings. An
// interrupt ends watch and other commands with 0, but not a check, whose status 0 means
// that nothing was found.
func ExitStatus(err error, interrupted bool) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ErrUnreadable), errors.Is(err, ErrUsage), errors.Is(err, flag.ErrHelp):
		return 2
	case errors.Is(err, ErrFindings):
		return 1
	case interrupted:
		return 0
	}
	return 1
}

// New returns the root command, which writes to out.
func New(out io.Writer) *ffcli.Command {
	c := &command{out: out}
	fs := flag.NewFlagSet("leverctl", flag.ContinueOnError)
	fs.StringVar(&c.addr, "addr", "http://127.0.0.1:8080", "URL of an entry host")
	fs.StringVar(&c.key, "key", "", "operator's bearer key")
	fs.StringVar(&c.author, "author", defaultAuthor(), "name recorded with changes")
	return &ffcli.Command{
		Name: "leverctl", ShortUsage: "leverctl [flags] <command> [arguments]", FlagSet: fs,
		ShortHelp:   "Manages the resources of a corianderlever deployment.",
		Options:     []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: c.commands(),
	}
}

func (c *command) commands() []*ffcli.Command {
	return []*ffcli.Command{
		c.subcommand("get", "get KIND NAME", "Shows one resource as YAML.", 2, c.get),
		c.subcommand("list", "list [KIND]", "Lists resources.", -1, c.list),
		c.applyCommand(),
		c.checkCommand(),
		c.diffCommand(),
		c.subcommand("delete", "delete KIND NAME", "Deletes a resource.", 2, c.delete),
		c.subcommand("watch", "watch [KIND [NAME]]", "Prints changes until interrupted.", -1, c.watch),
		c.subcommand("status", "status", "Shows the hosts and the revision in force on each.", 0, c.status),
		c.subcommand("history", "history", "Lists accepted changes.", 0, c.history),
		c.subcommand("rollout", "rollout (halt|resume|back) NAME", "Halts, resumes or rolls back a roll-out.", 2, c.rollout),
		c.subcommand("withdraw", "withdraw VERSION", "Withdraws a version, so that it receives no new requests.", 1, c.withdraw),
		c.subcommand("evacuate", "evacuate DOMAIN", "Evacuates a failure domain: its endpoints receive no new requests.", 1, c.evacuate),
		c.subcommand("readmit", "readmit DOMAIN", "Ends the evacuation of a failure domain.", 1, c.readmit),
		c.billCommand(),
		c.subcommand("newkey", "newkey", "Prints an idempotency key for a request.", 0, c.newKey),
		c.subcommand("explain", "explain REQUEST_ID", "Shows the decisions about a request and their reasons.", 1, c.explain),
	}
}

// subcommand returns a command that takes n arguments, or any number of them if n
// is negative.
func (c *command) subcommand(name, usage, help string, n int, run func(context.Context, *admin.Client, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "leverctl " + usage, ShortHelp: help,
		Exec: func(ctx context.Context, args []string) error {
			if n >= 0 && len(args) != n {
				return errors.Wrapf(ErrUsage, "leverctl %s", usage)
			}
			return run(ctx, c.client(), args)
		},
	}
}

func (c *command) client() *admin.Client { return admin.NewClient(c.addr, c.key, nil) }

func (c *command) get(ctx context.Context, cl *admin.Client, args []string) error {
	list, err := cl.List(ctx, args[0], args[1])
	if err != nil {
		return err
	}
	if len(list.Resources) == 0 {
		return errors.Newf("%s %q not found", args[0], args[1])
	}
	return resource.FormatYAML(c.out, list.Resources)
}

func (c *command) list(ctx context.Context, cl *admin.Client, args []string) error {
	kind, _ := kindAndName(args)
	list, err := cl.List(ctx, kind, "")
	if err != nil {
		return err
	}
	return c.table(func(w io.Writer) {
		fmt.Fprintf(w, "KIND\tNAME\tREVISION %d\n", list.Revision)
		for _, r := range list.Resources {
			fmt.Fprintf(w, "%s\t%s\t%s\n", r.Kind, r.Name, specSummary(r))
		}
	})
}

// specSummary returns the resource's spec as JSON, cut to the width of a table
// column.
func specSummary(r resource.Resource) string {
	const width = 100
	data, err := json.Marshal(r.Spec)
	if err != nil {
		return err.Error()
	}
	if len(data) > width {
		return string(data[:width]) + "..."
	}
	return string(data)
}

func (c *command) table(fill func(io.Writer)) error {
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fill(w)
	return errors.Wrap(w.Flush(), "write table")
}

func kindAndName(args []string) (kind, name string) {
	if len(args) > 0 {
		kind = args[0]
	}
	if len(args) > 1 {
		name = args[1]
	}
	return kind, name
}

func (c *command) watch(ctx context.Context, cl *admin.Client, args []string) error {
	kind, name := kindAndName(args)
	var last *admin.ListResponse
	return cl.Watch(ctx, kind, name, func(list admin.ListResponse) error {
		if last == nil {
			fmt.Fprintf(c.out, "revision %d: %d resources\n", list.Revision, len(list.Resources))
		} else {
			fmt.Fprintf(c.out, "revision %d:\n", list.Revision)
			c.printDifferences(admin.Compare(last.Resources, list.Resources))
		}
		last = &list
		return nil
	})
}

func (c *command) printDifferences(list []admin.Difference) {
	for _, d := range list {
		fmt.Fprintf(c.out, "%s %s %s\n", d.Action, d.Kind, d.Name)
		if d.Action == admin.ActionChange {
			fmt.Fprintln(c.out, indent(d.Diff))
		}
	}
}

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n  ")
}

func (c *command) status(ctx context.Context, cl *admin.Client, _ []string) error {
	st, err := cl.Status(ctx)
	if err != nil {
		return err
	}
	return c.table(func(w io.Writer) {
		fmt.Fprintf(w, "HOST\tDOMAIN\tSTATE\tREVISION\tENTRY\t(as seen by %s, fresh=%t)\n", st.Host, st.Fresh)
		for _, h := range st.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", h.Host, h.FailureDomain, h.State, h.Revision, h.Entry)
		}
	})
}

func (c *command) history(ctx context.Context, cl *admin.Client, _ []string) error {
	list, err := cl.History(ctx)
	if err != nil {
		return err
	}
	return c.table(func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tCHANGED")
		for _, e := range list {
			var names []string
			for _, k := range e.Changed {
				names = append(names, string(k.Kind)+"/"+k.Name)
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", e.Revision, e.Time.Format(time.RFC3339), e.Author, strings.Join(names, " "))
		}
	})
}

// newKey prints a UUIDv7, which contains the time of its creation.
func (c *command) newKey(context.Context, *admin.Client, []string) error {
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "new key")
	}
	_, err = fmt.Fprintln(c.out, id)
	return err
}

// explain queries the host at -addr and then each host of the status list,
// because only the host that served a request has a record of it.
func (c *command) explain(ctx context.Context, cl *admin.Client, args []string) error {
	explanation, err := cl.Explain(ctx, args[0])
	if err != nil {
		st, statusErr := cl.Status(ctx)
		if statusErr != nil {
			return errors.CombineErrors(err, statusErr)
		}
		for _, h := range st.Hosts {
			other := admin.NewClient("http://"+h.Entry, c.key, nil)
			if explanation, err = other.Explain(ctx, args[0]); err == nil {
				break
			}
		}
	}
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(explanation, "", "  ")
	if err != nil {
		return errors.Wrap(err, "format explanation")
	}
	_, err = fmt.Fprintln(c.out, string(data))
	return err
}

// unknownAuthor is used if the name of the user cannot be determined.
const unknownAuthor = "unknown"

// defaultAuthor returns the names of the user and the machine as user@machine.
// $USER is unset in many services and containers, so the user database takes
// precedence.
func defaultAuthor() string {
	name := os.Getenv("USER")
	if u, err := user.Current(); err == nil && u.Username != "" {
		name = u.Username
	}
	if name == "" {
		name = unknownAuthor
	}
	if host, err := os.Hostname(); err == nil && host != "" {
		return name + "@" + host
	}
	return name
}
