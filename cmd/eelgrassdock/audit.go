package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/platform/audit"
)

// errUnreadable marks a file that cannot be read. The exit code is that of wrong arguments,
// so that a script can tell it from a table with errors.
var errUnreadable = errors.New("file cannot be read")

type (
	auditCommand struct {
		File    string `arg:"" help:"Routing table in JSON, as it is sent to the platform."`
		Against string `help:"Table in force, to tell what changes."`
		JSON    bool   `help:"Print one JSON object."`
		Strict  bool   `help:"Fail on warnings too."`
	}

	// auditReport is the JSON output of the audit command.
	auditReport struct {
		Findings []audit.Finding `json:"findings"`
		Errors   int             `json:"errors"`
		Warnings int             `json:"warnings"`
		Changes  int             `json:"changes"`
	}
)

func (c *auditCommand) Run(std stdStreams) error {
	data, err := readTable(c.File)
	if err != nil {
		return err
	}
	findings := append([]audit.Finding{}, audit.Check(data)...) // not null in JSON
	if c.Against != "" {
		old, err := readTable(c.Against)
		if err != nil {
			return err
		}
		findings = append(findings, audit.Compare(data, old)...)
	}
	r := auditReport{
		Findings: findings, Errors: audit.Count(findings, audit.Error),
		Warnings: audit.Count(findings, audit.Warning), Changes: audit.Count(findings, audit.Change),
	}
	if err := r.print(c, std); err != nil {
		return fmt.Errorf("write findings: %w", err)
	}
	if r.Errors > 0 || c.Strict && r.Warnings > 0 {
		return errors.Newf("%s: errors: %d, warnings: %d", c.File, r.Errors, r.Warnings)
	}
	return nil
}

func (r *auditReport) print(c *auditCommand, std stdStreams) error {
	if c.JSON {
		return json.NewEncoder(std.out).Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(std.out, f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(std.out, "%s: errors: %d, warnings: %d, changes: %d\n", c.File, r.Errors, r.Warnings, r.Changes)
	return err
}

// readTable reads a file. The error wraps errUnreadable.
func readTable(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read routing table: %w: %w", errUnreadable, err)
	}
	return data, nil
}
