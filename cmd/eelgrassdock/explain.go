package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/internal/diagnosis"
)

type explainCommand struct {
	Top  bool     `help:"Group the failed requests of the logs by cause instead."`
	Args []string `arg:"" optional:"" help:"ID of the request, unless --top is given, and log files; standard input without files."`
}

func (c *explainCommand) Run(std stdStreams) error {
	var id string
	files := c.Args
	if !c.Top {
		if len(c.Args) == 0 {
			return errors.New("the ID of a request or --top is required")
		}
		id, files = c.Args[0], c.Args[1:]
	}
	var log diagnosis.Log
	if len(files) == 0 {
		if err := log.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		err = log.Read(f)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if log.Unparsed > 0 {
		fmt.Fprintf(std.err, "%d lines are not log lines and were skipped\n", log.Unparsed)
	}
	if c.Top {
		for _, cause := range log.Top() {
			fmt.Fprintf(std.out, "%6d  %s  (such as %s)\n", cause.Count, cause.Text, cause.Example)
		}
		return nil
	}
	found, err := log.Explain(std.out, id)
	if err == nil && !found {
		err = errors.Newf("no log line mentions request %q: its instance may have logged it elsewhere, or its successes were not sampled", id)
		if lost := log.Crashes(); len(lost) > 0 {
			err = errors.WithMessagef(err, "instances ended without logging a stop and logged nothing about the requests in progress: %s", strings.Join(lost, ", "))
		}
	}
	return err
}
