package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/resource/check"
)

var (
	// ErrFindings reports that check or diff has found something, which it has
	// printed.
	ErrFindings = errors.New("findings")
	// ErrUnreadable reports that check or diff could not read the file or the
	// configuration in force.
	ErrUnreadable = errors.New("cannot check")
)

// Report is the result of a check. Its JSON form is stable.
type Report struct {
	// File is the file that was checked.
	File string `json:"file"`
	// Revision is the configuration in force with which the file was compared, nil
	// if it was not.
	Revision *int64 `json:"revision,omitempty"`
	// Findings are ordered by line; those without a line come last.
	Findings []check.Finding `json:"findings"`
	// Differences are what apply would change. It is empty if there are errors.
	Differences []admin.Difference `json:"differences"`
}

func (c *command) checkCommand() *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	offline := fs.Bool("offline", false, "check the file as a whole configuration, without a host")
	asJSON := fs.Bool("json", false, "print the report as JSON")
	return &ffcli.Command{
		Name: "check", ShortUsage: "leverctl check [-offline] [-json] FILE", FlagSet: fs,
		ShortHelp: "Checks a YAML file of resources before it is applied.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errors.Wrap(ErrUsage, "leverctl check [-offline] [-json] FILE")
			}
			report, err := c.inspect(ctx, args[0], *offline, 0)
			if err != nil {
				return err
			}
			write := c.printReport
			if *asJSON {
				write = c.printJSON
			}
			if err := write(report); err != nil {
				return errors.Mark(err, ErrUnreadable)
			}
			if len(report.Findings) > 0 {
				return ErrFindings
			}
			return nil
		},
	}
}

// diffCommand prints the differences of a report, or the errors that would keep apply
// from making them.
func (c *command) diffCommand() *ffcli.Command {
	fs, file, expect := changeFlags("diff")
	return &ffcli.Command{
		Name: "diff", ShortUsage: "leverctl diff -f FILE", ShortHelp: "Shows what apply would change.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return errors.Wrap(ErrUsage, "leverctl diff -f FILE")
			}
			report, err := c.inspect(ctx, *file, false, *expect)
			if err != nil {
				return err
			}
			c.printDifferences(report.Differences)
			report.Findings = slices.DeleteFunc(report.Findings, func(f check.Finding) bool { return f.Severity != check.SeverityError })
			c.printFindings(report)
			if len(report.Findings) > 0 {
				return ErrFindings
			}
			return nil
		},
	}
}

// inspect checks a file, and unless offline compares it with the configuration in
// force. Its errors are marked with ErrUnreadable.
func (c *command) inspect(ctx context.Context, name string, offline bool, expect int64) (*Report, error) {
	report, err := c.inspectFile(ctx, name, offline, expect)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreadable)
	}
	slices.SortStableFunc(report.Findings, func(a, b check.Finding) int {
		return cmp.Or(cmp.Compare(uint(a.Line-1), uint(b.Line-1)), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return report, nil
}

func (c *command) inspectFile(ctx context.Context, name string, offline bool, expect int64) (*Report, error) {
	in, err := openResources(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	file, err := check.ReadFile(in)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	report := &Report{File: name, Findings: append([]check.Finding{}, file.Findings...), Differences: []admin.Difference{}}
	switch {
	case check.HasErrors(file.Findings):
		// Resources are missing, so that findings about the rest would be wrong.
	case offline:
		report.Findings = append(report.Findings, file.Locate(check.Run(file.Resources))...)
	default:
		err = c.compare(ctx, report, file, expect)
	}
	return report, err
}

// compareAttempts bounds the attempts to read the configuration and its differences
// at the same revision while other operators change it.
const compareAttempts = 3

// compare adds what the file would change in the configuration in force, and the
// findings about the result.
func (c *command) compare(ctx context.Context, report *Report, file *check.File, expect int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cl := c.client()
	for range compareAttempts {
		list, err := cl.List(ctx, "", "")
		if err != nil {
			return err
		}
		report.Revision = &list.Revision
		after := file.Locate(check.Run(admin.Merge(list.Resources, file.Resources, nil)))
		found := check.Introduced(check.Run(list.Resources), after)
		if check.HasErrors(found) {
			report.Findings = append(report.Findings, found...)
			return nil
		}
		resp, err := cl.Apply(ctx, admin.ApplyRequest{
			ExpectRevision: cmp.Or(expect, list.Revision), Set: file.Resources, Author: c.author, DryRun: true,
		})
		if rejection := new(api.Error); errors.As(err, &rejection) && slices.Contains(rejectionCodes, rejection.Code) {
			found = append(found, check.Finding{Code: check.CodeRejected, Severity: check.SeverityError, Message: rejection.Message})
		} else if err != nil {
			return err
		} else if resp.Revision != list.Revision {
			continue
		}
		report.Findings = append(report.Findings, found...)
		report.Differences = append(report.Differences, resp.Differences...)
		return nil
	}
	return errors.Newf("the configuration changed during each of %d attempts to read it", compareAttempts)
}

// rejectionCodes are the codes with which a host rejects a change for its content.
var rejectionCodes = []string{api.CodeInvalidResource, api.CodeMalformed, api.CodeTooLarge}

func (c *command) printJSON(report *Report) error {
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return errors.Wrap(enc.Encode(report), "write report")
}

func (c *command) printReport(report *Report) error {
	c.printFindings(report)
	if len(report.Differences) > 0 {
		fmt.Fprintf(c.out, "differences to revision %d:\n", *report.Revision)
		c.printDifferences(report.Differences)
	}
	failed := 0
	for _, f := range report.Findings {
		if f.Severity == check.SeverityError {
			failed++
		}
	}
	summary := fmt.Sprintf("errors: %d, warnings: %d", failed, len(report.Findings)-failed)
	if report.Revision != nil {
		summary += fmt.Sprintf(", differences: %d", len(report.Differences))
	}
	_, err := fmt.Fprintln(c.out, summary)
	return errors.Wrap(err, "write report")
}

func (c *command) printFindings(report *Report) {
	for _, f := range report.Findings {
		place := report.File
		switch {
		case f.Line > 0:
			place += fmt.Sprintf(":%d", f.Line)
		case f.Kind != "":
			place = "in force"
		}
		fmt.Fprintf(c.out, "%s: %s\n", place, f)
	}
}
