package main

import (
	"fmt"

	"briarspring/loader"
	"briarspring/platform"
)

type checkCmd struct {
	File      string `arg:"" optional:"" help:"Settings file (INI)."`
	Platform  bool   `help:"Check a host's settings file of the platform."`
	Reference bool   `help:"Print the reference of all settings instead of checking a file."`
}

// Run checks the file. If it has faults, all of them are printed and the exit
// code is 2.
func (c *checkCmd) Run() error {
	if c.Reference {
		fmt.Print(loader.Reference() + platform.Reference())
		return nil
	}
	if c.File == "" {
		return &loader.FaultsError{File: "check-settings", Faults: []loader.Fault{{
			Section: "arguments", Expected: "expected a settings file or --reference",
		}}}
	}
	check := func() error { _, err := loader.Load(c.File); return err }
	if c.Platform {
		check = func() error { _, err := platform.LoadSettings(c.File); return err }
	}
	if err := check(); err != nil {
		return err
	}
	fmt.Println(c.File + ": no faults")
	return nil
}
