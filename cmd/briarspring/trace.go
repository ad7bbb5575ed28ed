package main

import (
	"fmt"
	"os"

	"briarspring/explainer"
)

type traceCmd struct {
	ID    string   `required:"" help:"ID of the request."`
	Files []string `arg:"" help:"Collected log files." type:"existingfile"`
}

// Run prints the log lines of one request from all hosts, sorted by time.
func (c *traceCmd) Run() error {
	var lines []explainer.Line
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		found, err := explainer.Read(file, c.ID)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	explainer.Sort(lines)
	for _, l := range lines {
		fmt.Println(l)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line mentions request %s", c.ID)
	}
	return nil
}
