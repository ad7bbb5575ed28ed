package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"briarspring"
	"briarspring/auditor"
	"briarspring/platform"
)

// Exit codes of check-configuration.
const (
	exitWarnings = 1
	exitErrors   = 2 // Errors in the record, wrong arguments, or files that can't be read.
)

type checkConfigurationCmd struct {
	File        string           `arg:"" help:"The record that is to be sent (JSON)."`
	Against     string           `help:"The record in force (JSON), as written or as a copy without keys."`
	Workers     string           `help:"Workers' entries: a JSON object of entries by their keys."`
	Task        map[string]int64 `help:"A task of the usual size: cpu in thousandths of a core, memory-mib, accelerators." mapsep:"," placeholder:"cpu=N,memory-mib=N"`
	Requirement []string         `help:"Label that workflows require; checked with --workers."`
	JSON        bool             `name:"json" help:"Print JSON."`
}

// FindingsError reports that a check has findings above notes, or could not be made.
type FindingsError struct {
	File     string
	Errors   int
	Warnings int
	Cause    error // Why the check could not be made, or nil.
}

// Error implements error.
func (e *FindingsError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.File, e.Cause)
	}
	return fmt.Sprintf("%s: errors: %d, warnings: %d", e.File, e.Errors, e.Warnings)
}

// Unwrap returns the cause.
func (e *FindingsError) Unwrap() error { return e.Cause }

func (e *FindingsError) exitCode() int {
	if e.Cause != nil || e.Errors > 0 {
		return exitErrors
	}
	return exitWarnings
}

// Run checks the record and prints all findings. It writes no files and calls nobody.
// The error is a *FindingsError.
func (c *checkConfigurationCmd) Run() error { return c.run(os.Stdout) }

func (c *checkConfigurationCmd) run(out io.Writer) error {
	config := auditor.Config{Requirements: c.Requirement, StartsWorkflowID: platform.StartsJobID}
	var err error
	if config.Task, err = usualTask(c.Task); err != nil {
		return &FindingsError{File: "--task", Cause: err}
	}
	value, err := os.ReadFile(c.File)
	if err != nil {
		return &FindingsError{File: c.File, Cause: err}
	}
	draft := platform.DecodeDraft(value)
	if c.Against != "" {
		inForce, err := readInForce(c.Against)
		if err != nil {
			return &FindingsError{File: c.Against, Cause: err}
		}
		config.Against = &inForce
	}
	if c.Workers != "" {
		data, err := os.ReadFile(c.Workers)
		if err != nil {
			return &FindingsError{File: c.Workers, Cause: err}
		}
		workers, findings, err := platform.DecodeWorkers(data)
		if err != nil {
			return &FindingsError{File: c.Workers, Cause: err}
		}
		config.Workers, config.HasWorkers = workers, true
		draft.Faults = append(draft.Faults, findings...)
	}
	report := auditor.Check(draft, config)
	if err := c.print(out, report); err != nil {
		return &FindingsError{File: "output", Cause: err}
	}
	if report.Level() > auditor.Note {
		return &FindingsError{File: c.File, Errors: report.Count(auditor.Error), Warnings: report.Count(auditor.Warning)}
	}
	return nil
}

func readInForce(file string) (briarspring.Directory, error) {
	value, err := os.ReadFile(file)
	if err != nil {
		return briarspring.Directory{}, err
	}
	return platform.DecodeInForce(value)
}

func usualTask(sizes map[string]int64) (briarspring.Resources, error) {
	var r briarspring.ResourcesConfig
	for name, n := range sizes {
		if n < 0 {
			return briarspring.Resources{}, fmt.Errorf("%s is below zero", name)
		}
		switch name {
		case "cpu":
			r.MilliCPU = n
		case "memory-mib":
			r.MemoryMiB = n
		case "accelerators":
			r.Accelerators = n
		default:
			return briarspring.Resources{}, fmt.Errorf("unknown size %q, expected cpu, memory-mib or accelerators", name)
		}
	}
	return briarspring.NewResources(r), nil
}

func (c *checkConfigurationCmd) print(out io.Writer, r auditor.Report) error {
	if c.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(encodeReport(r))
	}
	text := ""
	for _, f := range r.Findings {
		text += fmt.Sprintf("%-7s  %s: %s\n", f.Level, f.Subject, f.Text)
	}
	if len(r.Findings) == 0 {
		text = c.File + ": no findings\n"
	}
	if d := r.Difference; d != nil {
		text += differenceText(d)
	}
	_, err := io.WriteString(out, text)
	return err
}

func differenceText(d *auditor.Difference) string {
	text := fmt.Sprintf("\nversion %d -> %d\n", d.Before, d.After)
	if d.Empty() {
		return text + "  nothing else differs\n"
	}
	text += fieldsText("  ", d.Fields)
	for _, list := range []struct {
		kind    string
		changes []auditor.Change
	}{{"queue", d.Queues}, {"organisation", d.Organisations}} {
		for _, ch := range list.changes {
			sign := map[auditor.ChangeKind]string{auditor.Added: "+", auditor.Removed: "-", auditor.Changed: "~"}[ch.Kind]
			text += fmt.Sprintf("%s %s %q\n", sign, list.kind, ch.Name) + fieldsText("    ", ch.Fields)
			if ch.KeysAdded > 0 || ch.KeysRemoved > 0 {
				text += fmt.Sprintf("    keys: %d added, %d removed\n", ch.KeysAdded, ch.KeysRemoved)
			}
		}
	}
	return text
}

func fieldsText(indent string, fields []auditor.FieldChange) string {
	text := ""
	for _, f := range fields {
		text += fmt.Sprintf("%s%s: %s -> %s\n", indent, f.Field, f.Before, f.After)
	}
	return text
}
