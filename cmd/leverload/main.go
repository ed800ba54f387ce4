// Command leverload sends a mix of requests to a deployment and prints
// latencies and outcomes by team and rank.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/peterbourgon/ff/v3"

	"github.com/corianderlever/corianderlever/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "leverload:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("leverload", flag.ContinueOnError)
	file := fs.String("mix", "", "YAML mix file")
	records := fs.String("records", "", "file to write one JSON record per request to")
	attempts := fs.Int("attempts", 5, "tries of one request")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("LEVERLOAD")); err != nil {
		return err
	}
	mix, err := load.ReadMix(*file)
	if err != nil {
		return err
	}
	g, err := load.NewGenerator(mix, *attempts)
	if err != nil {
		return err
	}
	journal, err := openJournal(*records)
	if err != nil {
		return err
	}
	summary := load.NewSummary()
	var failed error
	err = g.Run(ctx, func(r load.Record) {
		if e := summary.Add(r); e != nil {
			failed = e
		}
		if journal != nil {
			if e := json.NewEncoder(journal).Encode(r); e != nil {
				failed = e
			}
		}
	})
	if err == nil {
		err = failed
	}
	if journal != nil {
		if e := journal.Close(); err == nil {
			err = e
		}
	}
	if e := summary.Write(os.Stdout); err == nil {
		err = e
	}
	return err
}

func openJournal(file string) (*os.File, error) {
	if file == "" {
		return nil, nil
	}
	return os.Create(file)
}
