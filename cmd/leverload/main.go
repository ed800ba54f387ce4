// Command leverload is a load generator. It sends a mix of requests to a
// deployment and prints latencies and outcomes by team and rank.
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
	mixFile := fs.String("mix", "", "YAML file that describes the mix of requests")
	recordsFile := fs.String("records", "", "file to write one JSON record per request to")
	attempts := fs.Int("attempts", 5, "maximum number of attempts of one request")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("LEVERLOAD")); err != nil {
		return err
	}
	mix, err := load.ReadMix(*mixFile)
	if err != nil {
		return err
	}
	generator, err := load.NewGenerator(mix, *attempts)
	if err != nil {
		return err
	}
	recordFile, err := openRecords(*recordsFile)
	if err != nil {
		return err
	}
	summary := load.NewSummary()
	var recordErr error
	err = generator.Run(ctx, func(r load.Record) {
		if e := summary.Add(r); e != nil {
			recordErr = e
		}
		if recordFile != nil {
			if e := json.NewEncoder(recordFile).Encode(r); e != nil {
				recordErr = e
			}
		}
	})
	if err == nil {
		err = recordErr
	}
	if recordFile != nil {
		if e := recordFile.Close(); err == nil {
			err = e
		}
	}
	if e := summary.Write(os.Stdout); err == nil {
		err = e
	}
	return err
}

// openRecords creates the file for the records, or returns nil if file is empty.
func openRecords(file string) (*os.File, error) {
	if file == "" {
		return nil, nil
	}
	return os.Create(file)
}
