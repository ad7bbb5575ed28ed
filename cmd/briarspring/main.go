// Command briarspring is a scheduler for latency-critical services and batch
// jobs that share workers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"briarspring/loader"
)

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2 // Invalid arguments, settings or objects.
	exitConflict = 3 // The change was based on an outdated version.
	exitUnknown  = 4 // It is unknown whether the change took effect.
)

type cli struct {
	Gateway       gatewayCmd                   `cmd:"" help:"Accept callers' requests and route them to executors."`
	Scheduler     schedulerCmd                 `cmd:"" help:"Follow the log, place tasks and serve operators' RPCs."`
	Host          hostCmd                      `cmd:"" help:"Run workflows on the platform: accept jobs, and dispatch tasks to the workers of owned data centres."`
	Trace         traceCmd                     `cmd:"" help:"Print the collected log lines of one request from all hosts."`
	Ctl           ctlCmd                       `cmd:"" help:"Commands for operators."`
	Dev           devCmd                       `cmd:"" help:"Run everything in one process on an embedded platform."`
	CheckSettings checkCmd                     `cmd:"" help:"Check a settings file and print every fault."`
	CheckConfig   checkConfigurationCmd        `cmd:"" name:"check-configuration" help:"Check the operators' configuration record before it is sent, and compare it with the version in force."`
	Certificates  certificatesCmd              `cmd:"" help:"Create a certificate authority and certificates for hosts."`
	Version       versionCmd                   `cmd:"" help:"Print the version."`
	Completion    kongplete.InstallCompletions `cmd:"" name:"install-completions" help:"Print how to install shell completion."`
}

func main() {
	var c cli
	parser := kong.Must(&c,
		kong.Name("briarspring"),
		kong.Description("A scheduler for latency-critical services and batch jobs that share workers."),
		kong.UsageOnError(),
	)
	kongplete.Complete(parser)
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var faults *loader.FaultsError
	if errors.As(err, &faults) {
		return exitUsage
	}
	var findings *FindingsError
	if errors.As(err, &findings) {
		return findings.exitCode()
	}
	return ctlExitCode(err)
}
