package main

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"

	"briarspring/assembler"
	"briarspring/launcher"
	"briarspring/loader"
)

// settingsArg is the argument of the gateway and scheduler commands.
type settingsArg struct {
	Settings string `arg:"" help:"Settings file (INI)." type:"existingfile"`
}

type gatewayCmd struct{ settingsArg }

// The live heap is a few megabytes, so infrequent garbage collection costs little
// memory and saves CPU time.
const (
	gcPercent   = 400
	memoryLimit = 100 << 20 // Bytes.
)

// Run runs a gateway until SIGTERM or SIGINT.
func (c *gatewayCmd) Run() error { return runProcess(c.Settings, assembler.NewGateway) }

type schedulerCmd struct{ settingsArg }

// Run runs a scheduler until SIGTERM or SIGINT.
func (c *schedulerCmd) Run() error { return runProcess(c.Settings, assembler.NewScheduler) }

func runProcess(path string, build func(loader.Settings, assembler.Dependencies) (*launcher.Launcher, error)) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	settings, err := loader.Load(path)
	if err != nil {
		return err
	}
	l, err := build(settings, assembler.Dependencies{})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l.Run(ctx)
	return nil
}
